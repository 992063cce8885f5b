package proof_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamompass/internal/fleet/share"
	"cardamompass/internal/load/caller"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/procs"
)

// TestWholePath guards against parts that work alone and not together: look-up, short request, long download and
// operation through entry VMs, store and targets in processes of their own.
func TestWholePath(tst *testing.T) {
	sit := procs.ForTest(tst, undivided(site(tst, places)))
	clr, stop := sit.Caller("gulf")
	defer stop()
	ctx := context.Background()
	lkp, err := clr.Lookup(ctx, demo.Short)
	must(tst, err)
	if len(lkp.VMs) != len(places) || lkp.VMs[0].Region != "gulf" {
		tst.Fatalf("look-up names %v, want %d entry VMs, that of gulf first", lkp.VMs, len(places))
	}
	for _, req := range []caller.Request{shortRequest("one"), longRequest("two"), operation("three")} {
		rsp, err := clr.Do(ctx, req)
		must(tst, whole(req, rsp, err))
	}
	runs, err := sit.RunsByOperation()
	must(tst, err)
	if runs["three"] != 1 {
		tst.Errorf("the operation ran %d times, want once", runs["three"])
	}
}

// TestKillUnderStream guards against idempotent requests that are lost with the entry VM that they were sent to, though
// their caller sends them again.
func TestKillUnderStream(tst *testing.T) {
	const callers, perCaller = 6, 150
	seed := newSeed(tst)
	sit := procs.ForTest(tst, site(tst, places))
	killAt := int64(100 + stream(seed, 0).IntN(callers*perCaller/2))
	var (
		fls  failures
		wgr  sync.WaitGroup
		sent atomic.Int64
		kill = make(chan struct{})
		over = make(chan error, 1)
		many atomic.Int64
	)
	for num := range callers {
		clr, stop := sit.Caller("gulf")
		defer stop()
		wgr.Go(func() {
			for seq := range perCaller {
				if sent.Add(1) == killAt {
					close(kill)
				}
				req := shortRequest(fmt.Sprintf("kill-%d-%d", num, seq))
				rsp, err := clr.Do(context.Background(), req)
				fls.add(whole(req, rsp, err))
				if rsp.Attempts > 1 {
					many.Add(1)
				}
			}
		})
	}
	<-kill
	go func() { over <- sit.VM("gulf-a-1").Kill() }()
	wgr.Wait()
	must(tst, <-over)
	fls.report(tst)
	tst.Logf("killed after %d of %d requests; %d were sent more than once", killAt, callers*perCaller, many.Load())
	if many.Load() == 0 {
		tst.Error("no request met the kill: the test shows nothing")
	}
}

// TestKillBeforeDivision guards against a new site that loses its capacity with the entry VM that came first: that one
// owns all units until the caps are divided, and nobody owns them while the lease of a dead owner lives.
func TestKillBeforeDivision(tst *testing.T) {
	newSeed(tst) // nothing is drawn; the seed only names the run
	sit := procs.ForTest(tst, undivided(site(tst, places)))
	var (
		first *procs.VM
		most  int64
	)
	// A VM that serves may not own units yet: it reads the ledgers once it has the catalogue.
	must(tst, procs.Await(time.Minute, func() (missing string) {
		for _, vmp := range sit.VMs {
			sta, err := vmp.State()
			if err != nil {
				return err.Error()
			}
			for _, res := range sta.Shares.Resources {
				if res.Name == share.SlotsName(demo.Short, "gulf") && res.Owned > most {
					first, most = vmp, res.Owned
				}
			}
		}
		if first == nil {
			return "no entry VM owns slots"
		}
		return ""
	}))
	must(tst, first.Kill())
	clr, stop := sit.Caller("gulf")
	defer stop()
	for num := range 3 {
		req := shortRequest(fmt.Sprintf("undivided-%d", num))
		rsp, err := clr.Do(context.Background(), req)
		if err = whole(req, rsp, err); err != nil {
			tst.Errorf("%s owned %d slots: %v", first.Name(), most, err)
		}
	}
}
