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
	"cardamompass/internal/edge/lookup"
	"cardamompass/internal/stand/procs"
)

// TestStartRefusals guards against a valid request that is refused as invalid by an entry VM that has just started and
// puts its first catalogue in force: its caller would not send it again.
func TestStartRefusals(tst *testing.T) {
	const starts, senders = 10, 16
	newSeed(tst) // the starts come in turn; the seed only names the run
	sit := procs.ForTest(tst, site(tst, places))
	vmp := sit.VM("gulf-a-1")
	ctx, cancel := context.WithCancel(context.Background())
	var (
		fls      failures
		wgr      sync.WaitGroup
		answered atomic.Int64
		refused  atomic.Int64
	)
	for num := range senders {
		clr, stop := sit.Caller("gulf")
		defer stop()
		wgr.Go(func() {
			for seq := 0; ctx.Err() == nil; seq++ {
				req := shortRequest(fmt.Sprintf("start-%d-%d", num, seq))
				req.Timeout = time.Second
				rsp, err := clr.SendTo(ctx, lookup.VMRecord{
					ID:      vmp.Place.ID,
					Address: vmp.CallerAddress,
				}, req, "", 1)
				switch {
				case err != nil:
					pause(ctx, time.Millisecond)
				case rsp.Outcome == cardamompass.OutcomeInvalid:
					fls.add(errors.Errorf("%s: refused as invalid: %s", req.ID, rsp.Reason))
				case rsp.Outcome == cardamompass.OutcomeAnswered:
					answered.Add(1)
				default:
					refused.Add(1)
				}
			}
		})
	}
	for range starts {
		must(tst, vmp.Kill())
		must(tst, vmp.Start())
		must(tst, sit.AwaitReady())
		before := answered.Load()
		must(tst, procs.Await(giveUp, func() string {
			if answered.Load() == before {
				return "no request is answered after the start"
			}
			return ""
		}))
	}
	cancel()
	wgr.Wait()
	fls.report(tst)
	tst.Logf("%d starts, %d requests answered, %d refused", starts, answered.Load(), refused.Load())
}
