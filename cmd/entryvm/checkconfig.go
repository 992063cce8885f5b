package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/conf/audit"
	"cardamompass/platform"
)

// Exit statuses of check-config.
const (
	statusFindings   = 1
	statusUnreadable = 2
)

// CheckConfigCmd checks a configuration that operators are about to write to the store.
type CheckConfigCmd struct {
	File    string `arg:"" help:"Configuration, the JSON document of the store." type:"path"`
	InForce string `help:"Configuration in force, to show what changes." type:"path"`
	JSON    bool   `help:"Print the result as JSON."`
}

// configReport is the result of check-config.
type configReport struct {
	Findings []audit.Finding `json:"findings"`
	// Changes are the differences from the configuration in force. They are no findings.
	Changes []audit.Change `json:"changes"`
}

// statusError ends the process with an exit status.
type statusError struct {
	status int
	reason string
}

func (err *statusError) Error() string { return err.reason }

// ExitCode implements kong.ExitCoder.
func (err *statusError) ExitCode() int { return err.status }

// Run prints the findings and, if the configuration in force is given, the changes. The error has the exit status.
func (cmd *CheckConfigCmd) Run(kctx *kong.Context) (err error) {
	var rep configReport
	var cur *cardamompass.RoutingTable
	if cmd.InForce != "" {
		if cur, err = readTable(cmd.InForce); err != nil {
			return unreadable(err)
		}
	}
	tbl, err := readTable(cmd.File)
	var rejected *platform.TableError
	switch {
	case errors.As(err, &rejected):
		rep.Findings = []audit.Finding{{
			Code:    audit.CodeRejected,
			Place:   rejected.Place,
			Problem: rejected.Problem,
			Remedy:  rejected.Remedy,
		}}
	case err != nil:
		return unreadable(err)
	default:
		rep.Findings = audit.Check(tbl, cur)
		if cur != nil {
			rep.Changes = audit.Compare(cur, tbl)
		}
	}
	if err = cmd.print(kctx.Stdout, rep); err != nil {
		return err
	}
	if count := len(rep.Findings); count > 0 {
		return &statusError{
			status: statusFindings,
			reason: fmt.Sprintf("%s: findings: %d", cmd.File, count),
		}
	}
	return nil
}

func (cmd *CheckConfigCmd) print(out io.Writer, rep configReport) (err error) {
	if cmd.JSON {
		rep.Findings = append([]audit.Finding{}, rep.Findings...) // an empty list instead of null
		rep.Changes = append([]audit.Change{}, rep.Changes...)
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(rep)
	}
	for _, fnd := range rep.Findings {
		fmt.Fprintf(out, "finding: %s: %s: %s; %s\n", fnd.Place, fnd.Code, fnd.Problem, fnd.Remedy)
	}
	for _, chg := range rep.Changes {
		fmt.Fprintf(out, "%s: %s", chg.Kind, chg.Item)
		switch {
		case chg.Old != "":
			fmt.Fprintf(out, ": %s %s -> %s", chg.Field, chg.Old, chg.New)
		case chg.Field != "":
			fmt.Fprintf(out, ": %s %s", chg.Field, chg.New)
		}
		fmt.Fprintln(out)
	}
	if len(rep.Findings) == 0 {
		fmt.Fprintf(out, "%s: no findings\n", cmd.File)
	}
	return nil
}

// readTable reads and decodes a configuration. The error for a document that is not JSON of the right form has its line and column.
func readTable(path string) (tbl *cardamompass.RoutingTable, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	tbl, err = platform.DecodeTable(data)
	place := path
	var syntax *json.SyntaxError
	var mistyped *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		place += position(data, syntax.Offset)
	case errors.As(err, &mistyped):
		place += position(data, mistyped.Offset)
	}
	return tbl, errors.Wrap(err, place)
}

// position formats the line and column of the last of the bytes that were read.
func position(data []byte, bytesRead int64) (text string) {
	before := data[:min(max(bytesRead-1, 0), int64(len(data)))]
	line := bytes.Count(before, []byte("\n")) + 1
	return fmt.Sprintf(":%d:%d", line, len(before)-bytes.LastIndexByte(before, '\n'))
}

func unreadable(err error) error {
	return &statusError{
		status: statusUnreadable,
		reason: err.Error(),
	}
}
