package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"cardamompass/internal/edge/dump"
	"cardamompass/internal/edge/entry"
)

const (
	dumpTimeout = 5 * time.Second
	// maxDumpBytes bounds the size of the response of one process.
	maxDumpBytes = 64 << 20
)

// DumpCmd shows the state of entry VMs.
type DumpCmd struct {
	JSON      bool     `help:"Print the whole state as JSON." name:"json"`
	All       bool     `help:"Compare the entry VMs and show their differences."`
	RequestID string   `help:"Show the recent decisions about this request instead."`
	Operators []string `arg:"" help:"Operator addresses of entry VMs, IP address and port."`
}

// Run prints the state of each entry VM, its decisions about one request, or the differences between the entry VMs.
func (cmd *DumpCmd) Run(ctx context.Context, env Env) (err error) {
	if cmd.RequestID != "" {
		return cmd.decisions(ctx, env)
	}
	states := make(map[string]entry.State)
	for _, address := range cmd.Operators {
		var sta entry.State
		if err := getJSON(ctx, address, "/v1/state", &sta); err != nil {
			if !cmd.All {
				return err
			}
			if _, err := fmt.Fprintf(env.Out, "differs=reachable operator=%s reason=%q\n", address, err); err != nil {
				return err
			}
			continue
		}
		states[address] = sta
	}
	if cmd.All {
		return writeDifferences(env.Out, states)
	}
	for _, address := range cmd.Operators {
		if err := cmd.write(env.Out, states[address]); err != nil {
			return err
		}
	}
	return nil
}

func (cmd *DumpCmd) write(out io.Writer, sta entry.State) (err error) {
	if cmd.JSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(sta)
	}
	return writeState(out, sta)
}

func (cmd *DumpCmd) decisions(ctx context.Context, env Env) (err error) {
	enc := json.NewEncoder(env.Out)
	enc.SetIndent("", "  ")
	for _, address := range cmd.Operators {
		var found []dump.Decision
		path := "/v1/decisions?request-id=" + url.QueryEscape(cmd.RequestID)
		if err := getJSON(ctx, address, path, &found); err != nil {
			return err
		}
		for _, dec := range found {
			if err := enc.Encode(dec); err != nil {
				return err
			}
		}
	}
	return nil
}

func getJSON(ctx context.Context, address, path string, value any) (err error) {
	defer func() { err = errors.Wrapf(err, "state of %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	rqs, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(rqs)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("status %s", res.Status)
	}
	return json.NewDecoder(io.LimitReader(res.Body, maxDumpBytes)).Decode(value)
}

// writeState prints a state as readable text.
func writeState(out io.Writer, sta entry.State) (err error) {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tab, "VM %s\tincarnation %d\t%s/%s\tstate %s\n",
		sta.VM.ID, sta.VM.Incarnation, sta.VM.Region, sta.VM.FailureDomain, sta.VM.State)
	fmt.Fprintf(tab, "catalogue\tversion %d\tin force for %s\n", sta.Catalogue.Version, sta.Catalogue.Since)
	fmt.Fprintf(tab, "lease\t%s\tends in %s\n", sta.Shares.LeaseID, sta.Shares.LeaseTimeLeft)
	fmt.Fprintf(tab, "operation records\t%d\n\nmember\tstate\tplace\n", sta.Operations.Records)
	for _, mbr := range sta.Members {
		fmt.Fprintf(tab, "%s\t%s\t%s/%s\n", mbr.ID, mbr.State, mbr.Region, mbr.FailureDomain)
	}
	fmt.Fprintf(tab, "\nresource\tcapacity\towned\tusable\tin use\tlent\tborrowed\n")
	for _, res := range sta.Shares.Resources {
		fmt.Fprintf(tab, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n",
			res.Name, res.Capacity, res.Owned, res.Usable, res.InUse, len(res.Lent), len(res.Borrowed))
	}
	for _, svc := range sta.Services {
		fmt.Fprintf(tab, "\nservice %s\twaiting %d\tusual %s\tp95 %s\n", svc.Name, svc.Waiting, svc.Usual, svc.P95)
		for _, tgt := range svc.Targets {
			fmt.Fprintf(tab, "%s\t%s\t%d of %d slots\t%s\n", tgt.ID, tgt.Region, tgt.InFlight, tgt.Slots, targetFlags(tgt))
		}
	}
	for _, sus := range sta.Suspects {
		fmt.Fprintf(tab, "\ncontent %s\tblocked %v\ttime left %s\n", sus.Content, sus.Blocked, sus.TimeLeft)
	}
	return tab.Flush()
}

func targetFlags(tgt entry.TargetState) string {
	var list []string
	for flag, set := range map[string]bool{
		"leaving": tgt.Leaving, "failing": tgt.Failing, "straggler": tgt.Straggler, "cold": tgt.Cold,
	} {
		if set {
			list = append(list, flag)
		}
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// writeDifferences prints the groups of entry VMs that differ in the active catalogue, the members or the leaving targets. It
// returns an error if there is more than one group.
func writeDifferences(out io.Writer, states map[string]entry.State) (err error) {
	type view struct{ catalogue, members, leaving string }
	views := make(map[view][]string)
	for _, sta := range states {
		var vew view
		vew.catalogue = fmt.Sprintf("%d/%x", sta.Catalogue.Version, sta.Catalogue.Digest)
		for _, mbr := range sta.Members {
			vew.members += fmt.Sprintf("%s=%s ", mbr.ID, mbr.State)
		}
		for _, svc := range sta.Services {
			for _, tgt := range svc.Targets {
				if tgt.Leaving {
					vew.leaving += string(tgt.ID) + " "
				}
			}
		}
		views[vew] = append(views[vew], string(sta.VM.ID))
	}
	if len(views) <= 1 {
		_, err = fmt.Fprintf(out, "differs=nothing entry-vms=%d\n", len(states))
		return err
	}
	for vew, vms := range views {
		slices.Sort(vms)
		if _, err := fmt.Fprintf(out, "differs=view entry-vms=%s catalogue=%s members=%q leaving-targets=%q\n",
			strings.Join(vms, ","), vew.catalogue, strings.TrimSpace(vew.members), strings.TrimSpace(vew.leaving)); err != nil {
			return err
		}
	}
	return errors.New("the entry VMs differ")
}
