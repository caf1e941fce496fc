// Command agent runs beside an endpoint. It is the only process that sends orders and
// requests to the endpoint's engine.
//
// # Usage
//
//	agent --settings agent.json
//	agent --settings agent.json --check
//
// With --check it checks the settings and exits.
package main

import (
	"os"

	"github.com/knapweedpulley/knapweedpulley/agent"
	"github.com/knapweedpulley/knapweedpulley/agent/process"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/program"
)

func main() {
	os.Exit(program.Run("agent", "Sends orders and requests to the engine beside it.", start))
}

func start(s agent.Settings) (program.Process, error) {
	log := logbook.New(os.Stderr, logbook.Level(s.LogLevel), "agent", string(s.Endpoint))
	cleanup, err := process.Start(s, log)
	return program.Process{Cleanup: cleanup}, err
}
