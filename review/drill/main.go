// Command drill runs the scripted cases of a review: it starts the project's programs as separate processes
// on loopback addresses, plays the platform, the servers and the clients, and checks one rule.
//
//	drill CASE RECORD
//	drill serve ADDRESS ID BORN EVERY    # a model server, which the case starts
//
// With TROUBLE=0 it does the same without the disruption. The exit status is 1 if the rule was broken, 0 if it
// held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) == 6 && os.Args[1] == "serve" {
		born, _ := strconv.ParseInt(os.Args[4], 10, 64)
		every, _ := strconv.Atoi(os.Args[5])
		serveModels(os.Args[2], os.Args[3], born, every)
	}
	cases := map[string]func(*site, bool){"memory": memory, "stray": stray, "cut": cut, "copy": staleCopy, "odd": odd}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		os.Exit(2)
	}
	time.AfterFunc(118*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		abort()
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		abort()
	}()
	cases[os.Args[1]](newSite(os.Args[2]), os.Getenv("TROUBLE") != "0")
}
