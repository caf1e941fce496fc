// Command demo runs complete deployments on the loopback interface. The subcommand
// run sends traffic to each of them, checks the answers and prints a table of the
// results; local keeps a small fleet running for manual use.
//
// # Usage
//
//	demo run --bin .build
//	demo local --bin .build
package main

import (
	"os"

	"github.com/knapweedpulley/knapweedpulley/cmd/demo/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
