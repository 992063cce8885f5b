package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/load/caller"
)

// EntryFlags select the entry VMs for look-ups and the caller's region.
type EntryFlags struct {
	Entry  []string            `help:"Address of an entry VM, IP address and port; may be repeated." required:""`
	Region cardamompass.Region `help:"Region of the caller. Default: the region of the caller's address."`
}

func (flg EntryFlags) caller() (clr *caller.Caller, cleanup func()) {
	return caller.New(caller.Config{
		Entries: flg.Entry,
		Region:  flg.Region,
	})
}

// LookupCmd looks up the entry VMs of a service.
type LookupCmd struct {
	EntryFlags
	Service cardamompass.ServiceName `arg:"" help:"Service to look up."`
}

// Run prints the look-up response as JSON.
func (cmd *LookupCmd) Run(ctx context.Context, env Env) (err error) {
	clr, cleanup := cmd.caller()
	defer cleanup()
	rsp, err := clr.Lookup(ctx, cmd.Service)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(env.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(rsp)
}

// RequestCmd sends a request.
type RequestCmd struct {
	EntryFlags
	Method    string                   `help:"HTTP method." default:"GET"`
	Data      string                   `help:"Body of the request."`
	Timeout   time.Duration            `help:"Time allowed for the response, including all attempts." default:"5s"`
	Operation bool                     `help:"The request may run at most once (not idempotent)."`
	ID        cardamompass.RequestID   `help:"Request id. Default: a random one."`
	Service   cardamompass.ServiceName `arg:"" help:"Service to which the request is addressed."`
	Path      string                   `arg:"" help:"Path and query, starting with a slash."`
}

// Run prints the outcome as one line to env.Err and the response body to env.Out.
func (cmd *RequestCmd) Run(ctx context.Context, env Env) (err error) {
	clr, cleanup := cmd.caller()
	defer cleanup()
	if cmd.ID == "" {
		cmd.ID = cardamompass.RequestID("cli-" + strconv.FormatUint(rand.Uint64(), 36))
	}
	rsp, err := clr.Do(ctx, caller.Request{
		ID:         cmd.ID,
		Service:    cmd.Service,
		Method:     cmd.Method,
		Path:       cmd.Path,
		Body:       []byte(cmd.Data),
		Idempotent: !cmd.Operation,
		Timeout:    cmd.Timeout,
	})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(env.Err, "outcome=%s status=%d vm=%s sendings=%d request-id=%s ticket=%s reason=%q\n",
		rsp.Outcome, rsp.Status, rsp.VM, rsp.Attempts, cmd.ID, rsp.Ticket, rsp.Reason); err != nil {
		return err
	}
	if rsp.Outcome != cardamompass.OutcomeAnswered {
		return errors.Errorf("outcome %s", rsp.Outcome)
	}
	_, err = env.Out.Write(rsp.Body)
	return err
}
