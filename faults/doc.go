// Package faults injects each fault at each step of each flow and checks the
// invariants.
//
// Each row of the matrix is a fault at a step of a flow, and each column is an
// invariant. A row runs its flow in virtual time and returns its observations,
// which the check of each invariant evaluates. If a row made no observation
// that an invariant applies to, the cell is missing and does not count as held.
//
// # Usage
//
//	make faults
//
// To add a flow, write a function that returns its rows and add a call of it to
// the list in matrix_test.go:
//
//	func wakeRows() []faults.Row {
//		return []faults.Row{{Flow: "wake", Fault: "store down", Step: "permit", Run: runWake}}
//	}
package faults
