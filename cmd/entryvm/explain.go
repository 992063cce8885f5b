package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"cardamompass/internal/obs/trace"
)

// ExplainCmd tells the story of a request.
type ExplainCmd struct {
	Request string   `arg:"" help:"Id of the request."`
	Logs    []string `arg:"" optional:"" help:"Log files of one or more VMs; standard input if none is given." type:"existingfile"`
}

// Run prints the lines of the request in order, what its VMs believed, and the cause of its end.
func (cmd *ExplainCmd) Run() (err error) {
	logs := []io.Reader{os.Stdin}
	if len(cmd.Logs) > 0 {
		logs = nil
	}
	for _, path := range cmd.Logs {
		fil, err := os.Open(path)
		if err != nil {
			return err
		}
		defer fil.Close() //nolint:errcheck // only read
		logs = append(logs, fil)
	}
	sty, err := trace.Read(cmd.Request, logs...)
	if err != nil {
		return err
	}
	for _, lin := range sty.StateChanges {
		printLine("before ", lin)
	}
	for _, lin := range sty.Lines {
		printLine("request", lin)
	}
	if sty.Unreadable > 0 {
		fmt.Printf("%d lines could not be read\n", sty.Unreadable)
	}
	fmt.Println("cause:", sty.Cause())
	return nil
}

func printLine(label string, lin trace.Line) {
	var text strings.Builder
	for _, fld := range lin.Fields {
		switch fld.Key {
		case "time", "event", "request", "level":
		default:
			fmt.Fprintf(&text, " %s=%s", fld.Key, fld.Value)
		}
	}
	fmt.Printf("%s %s %s:%s\n", lin.Time.Format("15:04:05.000"), label, lin.Event, text.String())
}
