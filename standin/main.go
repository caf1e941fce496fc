// Command standin runs simulations of the platform's services and of back ends, so that the
// system can be run and tested without them.
//
// # Usage
//
//	standin objectStore --listen 127.0.0.1:9000
//	standin engine --listen 127.0.0.1:9001
package main

import (
	"os"

	"github.com/knapweedpulley/knapweedpulley/standin/program"
)

func main() {
	os.Exit(program.Run(os.Args[1:], os.Stderr))
}
