package limit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/edge/lookup"
	"cardamompass/internal/load/caller"
	"cardamompass/internal/stand/procs"
	"cardamompass/internal/stand/target"
)

// maxSendings bounds the requests of one load.
const maxSendings = 200_000

// loadConfig describes callers that send requests one after the other, each to a random entry VM.
type loadConfig struct {
	// Name begins the names of the operations.
	Name    string
	VMs     []*procs.VM
	Region  cardamompass.Region
	Service cardamompass.ServiceName
	Callers int
	Timeout time.Duration
	// Pause is the time between two requests of a caller.
	Pause  time.Duration
	Header map[string]string
	Random *rand.Rand
}

// sending is one request that was sent once.
type sending struct {
	operation string
	vm        cardamompass.VMID
	began     time.Time
	ended     time.Time
	rsp       caller.Response
	err       error
}

// load is a set of callers that send until they are stopped.
type load struct {
	cfg    loadConfig
	clr    *caller.Caller
	num    atomic.Int64
	wtg    sync.WaitGroup
	cancel context.CancelFunc
	mut    sync.Mutex
	sent   []sending
}

// startLoad starts callers. They end with the test at the latest.
func startLoad(tst *testing.T, cfg loadConfig) (lod *load) {
	tst.Helper()
	clr, cleanup := caller.New(caller.Config{
		Region: cfg.Region,
	})
	ctx, cancel := context.WithCancel(context.Background())
	lod = &load{
		cfg:    cfg,
		clr:    clr,
		cancel: cancel,
	}
	for range cfg.Callers {
		rnd := rand.New(rand.NewPCG(cfg.Random.Uint64(), 0))
		lod.wtg.Go(func() { lod.run(ctx, rnd) })
	}
	tst.Cleanup(func() {
		lod.stop()
		cleanup()
	})
	return lod
}

// stop ends the callers and returns all that was sent.
func (lod *load) stop() []sending {
	lod.cancel()
	lod.wtg.Wait()
	return lod.sent
}

func (lod *load) run(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		num := lod.num.Add(1)
		if num > maxSendings {
			return
		}
		vmp := lod.cfg.VMs[rnd.IntN(len(lod.cfg.VMs))]
		snd := send(ctx, lod.clr, vmp, caller.Request{
			ID:         cardamompass.RequestID(fmt.Sprintf("%s-%d", lod.cfg.Name, num)),
			Service:    lod.cfg.Service,
			Method:     http.MethodGet,
			Path:       "/items/" + strconv.FormatInt(num, 10),
			Header:     lod.cfg.header(),
			Idempotent: true,
			Timeout:    lod.cfg.Timeout,
		})
		lod.mut.Lock()
		lod.sent = append(lod.sent, snd)
		lod.mut.Unlock()
		if snd.err != nil {
			// A caller that can't reach its entry VM would spin otherwise.
			pass(10 * time.Millisecond)
		}
		pass(lod.cfg.Pause)
	}
}

func (cfg *loadConfig) header() (hdr http.Header) {
	hdr = make(http.Header)
	for name, value := range cfg.Header {
		hdr.Set(name, value)
	}
	return hdr
}

// send sends a request once to an entry VM. Its id names the operation in the targets' records.
func send(ctx context.Context, clr *caller.Caller, vmp *procs.VM, req caller.Request) (snd sending) {
	snd = sending{
		operation: string(req.ID),
		vm:        vmp.Place.ID,
		began:     time.Now(),
	}
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header.Set(target.HeaderOperation, snd.operation)
	snd.rsp, snd.err = clr.SendTo(ctx, lookup.VMRecord{
		ID:      vmp.Place.ID,
		Address: vmp.CallerAddress,
	}, req, "", 1)
	snd.ended = time.Now()
	return snd
}
