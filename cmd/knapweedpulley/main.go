// Command knapweedpulley is the command-line program with which operators change the configuration
// and print the versions that are in force. Package command describes it.
//
// # Usage
//
//	knapweedpulley --settings operator.json apply workshop.json --set rate=200
//	knapweedpulley --settings operator.json status
package main

import (
	"os"

	"github.com/knapweedpulley/knapweedpulley/cmd/knapweedpulley/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
