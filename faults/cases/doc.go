// Package cases runs the cases of the reviews against the programs of the working tree.
//
// Each case starts gateways, keepers and stand-ins on loopback addresses, causes one
// disruption, and checks one rule of the platform. The cases themselves are in the folder
// review, with a claim and a script for each. The package copies the working tree, builds the
// programs by the command of the deploy file and the stand-ins by the reviews' scripts, and runs
// the script of each case, so that a case that no longer starts is a failed test.
//
// # Usage
//
//	go test -count=1 ./faults/cases
//	go test -count=1 -run 'TestCases/case_2' ./faults/cases
package cases
