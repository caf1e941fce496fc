// Command entry serves the callers of model endpoints and plain services: it
// authenticates their requests, decides where they run and returns the answers. It
// runs on the entry VMs.
//
// # Usage
//
//	entry --settings entry.json
//	entry --settings entry.json --check
//
// With --check it checks the settings and exits.
package main

import (
	"os"

	"github.com/knapweedpulley/knapweedpulley/entry"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/program"
)

func main() {
	os.Exit(program.Run("entry", "Serves callers and dispatches their requests to endpoints.", start))
}

func start(s entry.Settings) (program.Process, error) {
	e, cleanup, err := entry.New(s, logbook.New(os.Stderr, logbook.Level(s.LogLevel), "entry", string(s.ID)))
	if err != nil {
		return program.Process{}, err
	}
	return program.Process{Cleanup: cleanup, Ended: e.Ended()}, nil
}
