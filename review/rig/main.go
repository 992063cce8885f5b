//go:build review

// Command rig shows cases of the review. Each case starts entry VMs as processes, plays the store, the endpoints and the clients itself,
// and checks one rule by what clients and endpoints have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseTime bounds a case. The processes are ended when it is over.
const caseTime = 110 * time.Second

// verdict is the result of a case: what broke the rule, empty if it held.
type verdict struct {
	broken  []string
	summary string
}

// cases are the cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(ctx context.Context, rec *record, trouble bool) (ver verdict, err error){
	"crash-grey":   crashGrey,
	"cold-again":   coldAgain,
	"cold-restart": coldRestart,
	"slow-readers": slowReaders,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTime)
	defer cancel()
	rec := newRecord()
	ver, err := cases[name](ctx, rec, os.Getenv("TROUBLE") != "0")
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		rec.add("not run: %v", err)
	}
	rec.add("%s", ver.summary)
	for _, text := range ver.broken {
		rec.add("BROKEN: %s", text)
	}
	if werr := rec.write(filepath.Join(folder, "record.txt")); werr != nil {
		fmt.Fprintln(os.Stderr, werr)
		return 2
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	case len(ver.broken) > 0:
		fmt.Println("broken:", ver.broken[0])
		fmt.Println(ver.summary)
		return 1
	default:
		fmt.Println("held;", ver.summary)
		return 0
	}
}
