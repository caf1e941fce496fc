// Package traffic sends requests of a deployment's customers to a running fleet. It
// compares each answer with the request, checks afterwards what the back ends have
// received, and counts the results for the demo's table.
//
// # Usage
//
//	tally := traffic.NewTally()
//	traffic.NewRun(f, tally).Send(ctx)
//	tally.Print(os.Stdout)
//
// The official client of the chat completions API sends the chat requests; all other
// requests, and some invalid chat requests, are sent with net/http.
package traffic
