// Command gateway serves the callers of a platform: it admits their requests, routes them to
// endpoints and returns the answers. It runs on the entry VMs.
//
// # Usage
//
//	gateway --settings gateway.json
//	gateway --settings gateway.json --check
//
// Without --settings, KNAPWEEDPULLEY_CONFIG names the settings file.
package main

import (
	"os"

	"github.com/knapweedpulley/knapweedpulley/program"
)

func main() {
	os.Exit(program.Run[Settings]("gateway", "Answers the callers of a platform.", start))
}
