// Command standin runs one case of the review: it starts the project's programs as separate
// processes, stands in for the store, the servers and the clients, and checks one rule.
//
//	standin CASE ROOT RECORD
//
// ROOT is the root of the repository, RECORD the file for what was sent, answered and run. With
// TROUBLE=0 in the environment, the disruption is left out. It exits with 1 if the rule was broken,
// 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// runLimit is when a run is given up.
const runLimit = 115 * time.Second

// cases lists the cases by name. A case returns a description of each breach of its rule.
var cases = map[string]func(d *deployment, trouble bool) ([]string, error){
	"early-answer": earlyAnswer,
	"cut-off":      cutOff,
	"late-order":   lateOrder,
	"refused":      refusedForGood,
	"moved-key":    movedKey,
}

func main() {
	os.Exit(execute())
}

func execute() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(directory) }()
	}
	d, err := newDeployment(os.Args[2], directory, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	rec.printf("case %s, trouble %t", os.Args[1], trouble)
	type result struct {
		breaches []string
		err      error
	}
	done := make(chan result, 1)
	go func() {
		b, err := cases[os.Args[1]](d, trouble)
		done <- result{b, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-stop:
		r.err = fmt.Errorf("stopped by a signal")
	case <-time.After(runLimit):
		r.err = fmt.Errorf("not done after %s", runLimit)
	}
	if r.err != nil {
		rec.printf("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return 2
	}
	for _, b := range r.breaches {
		rec.printf("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if len(r.breaches) > 0 {
		return 1
	}
	rec.printf("held")
	fmt.Println("held")
	return 0
}
