//go:build review

// Command drill plays the cases of review/ that are scripts: small deployments of real processes with stand-ins of the platform's store, of
// endpoints and of clients.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

func main() {
	cases := map[string]func(rec *record, trouble bool) (verdict int, err error){
		"restore": restore,
		"release": release,
		"stop":    stop,
		"crash":   crash,
		"leave":   leave,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		os.Exit(statusFailed)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusFailed)
	}
	verdict, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		os.Exit(statusFailed)
	case verdict == statusBroken:
		rec.say("verdict: the rule was broken")
	case verdict == statusHeld:
		rec.say("verdict: the rule held")
	}
	os.Exit(verdict)
}
