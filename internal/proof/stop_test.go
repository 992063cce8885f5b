package proof_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/load/caller"
	"cardamompass/internal/stand/procs"
)

// stopLoad is the load during planned stops.
type stopLoad struct {
	sit  *procs.Site
	fls  failures
	sent atomic.Int64
}

// follow sends requests of one kind, each once, to the entry VM that a look-up answer names first while it may be used.
func (lod *stopLoad) follow(ctx context.Context, reg cardamompass.Region, name string, newRequest func(id string) caller.Request) {
	var entries []string
	for _, vmp := range lod.sit.VMs {
		entries = append(entries, vmp.CallerAddress)
	}
	clr, stop := caller.New(caller.Config{
		Entries:     entries,
		Region:      reg,
		MaxAttempts: 1,
	})
	defer stop()
	for seq := 0; ctx.Err() == nil; seq++ {
		req := newRequest(fmt.Sprintf("%s-%s-%d", reg, name, seq))
		began := time.Now()
		rsp, err := clr.Do(context.Background(), req)
		lod.sent.Add(1)
		if err = whole(req, rsp, err); err != nil {
			lod.fls.add(errors.Wrapf(err, "%s began %s at %s", req.ID, began.UTC().Format(time.RFC3339Nano), rsp.VM))
		}
		pause(ctx, 5*time.Millisecond)
	}
}

// TestPlannedStops guards against requests that a planned stop or the start after it cuts or refuses. Their callers send
// each once and use no look-up answer after its max-age. All entry VMs stop in turn.
func TestPlannedStops(tst *testing.T) {
	newSeed(tst) // the stops come in turn; the seed only names the run
	cfg := site(tst, sevenPlaces)
	cfg.Settings = map[string]any{
		"lookup-max-age": "1s",
	}
	sit := procs.ForTest(tst, cfg)
	lod := &stopLoad{
		sit: sit,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wgr sync.WaitGroup
	for _, reg := range []cardamompass.Region{"gulf", "delta", "piedmont"} {
		wgr.Go(func() { lod.follow(ctx, reg, "short-one", shortRequest) })
		wgr.Go(func() { lod.follow(ctx, reg, "short-two", shortRequest) })
		wgr.Go(func() { lod.follow(ctx, reg, "long", longRequest) })
		wgr.Go(func() { lod.follow(ctx, reg, "operation", operation) })
	}
	stops := 0
	for stops < *stopsFlag && !tst.Failed() {
		vmp := sit.VMs[stops%len(sit.VMs)]
		before := time.Now()
		if err := vmp.Stop(); err != nil {
			tst.Error(err)
		}
		stopped := time.Now()
		if err := vmp.Start(); err != nil {
			tst.Error(err)
			break
		}
		if err := sit.AwaitReady(); err != nil {
			tst.Error(err)
		}
		stops++
		tst.Logf("stop %d of %s took %v, its start %v; %d requests so far", stops, vmp.Name(),
			stopped.Sub(before).Round(time.Millisecond), time.Since(stopped).Round(time.Millisecond), lod.sent.Load())
	}
	cancel()
	wgr.Wait()
	lod.fls.report(tst)
	runs, err := sit.RunsByOperation()
	must(tst, err)
	for id, num := range runs {
		if num > 1 {
			tst.Errorf("operation %s ran %d times", id, num)
		}
	}
	tst.Logf("%d stops, %d requests, %d operations", stops, lod.sent.Load(), len(runs))
}
