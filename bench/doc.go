// Package bench measures the system against committed bounds.
//
// The bounds are in bounds.json. Each bound is derived from a target rather than
// from a measurement, and is a ratio or a count, so that it holds on any machine.
// Tests record figures in a [Recorder]. The last line of a run states how many
// bounded figures there are and how many of them are out of bounds.
//
// Every test run measures the short figures. The long figures are measured only
// if the environment variable named by [FullVariable] is set, which the make
// target does.
//
// # Usage
//
//	make bench
package bench
