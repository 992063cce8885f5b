package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"cardamompass/internal/obs/trace"
)

// ExplainCmd explains from log files how a request was handled and why it ended as it did.
type ExplainCmd struct {
	Request string   `arg:"" help:"Id of the request."`
	Logs    []string `arg:"" optional:"" help:"Log files of one or more VMs; standard input if none is given." type:"existingfile"`
}

// Run prints the preceding state changes of the request's VMs, the lines of the request sorted by time, and the cause.
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
		defer fil.Close() //nolint:errcheck // opened for reading only
		logs = append(logs, fil)
	}
	tml, err := trace.Read(cmd.Request, logs...)
	if err != nil {
		return err
	}
	for _, lin := range tml.StateChanges {
		printLine("before ", lin)
	}
	for _, lin := range tml.Lines {
		printLine("request", lin)
	}
	if tml.Unreadable > 0 {
		fmt.Printf("%d lines could not be parsed\n", tml.Unreadable)
	}
	fmt.Println("cause:", tml.Cause())
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
