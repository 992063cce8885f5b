package proof_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/load/caller"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/procs"
	"cardamompass/internal/stand/target"
)

var (
	seedFlag  = flag.Uint64("proof.seed", 0, "seed of the tests, 0 for a new one")
	stopsFlag = flag.Int("proof.stops", 10, "number of planned stops")
	chaosFlag = flag.Duration("proof.chaos", 20*time.Second, "time of faults in each run of operations")
)

func TestMain(mmm *testing.M) { os.Exit(procs.Main(mmm)) }

// newSeed returns the seed of a test and prints it.
func newSeed(tst *testing.T) (seed uint64) {
	tst.Helper()
	seed = *seedFlag
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	fmt.Printf("%s: seed %d, repeat with -proof.seed=%d\n", tst.Name(), seed, seed)
	return seed
}

// stream returns the random numbers of one part of a test, which do not depend on how the parts interleave.
func stream(seed uint64, part int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(part))) }

const (
	// shortBytes and longBytes are the sizes of answers.
	shortBytes = 512
	longBytes  = 4 << 20
	// shortSlots and longSlots are the slots of each of the two targets of a region. Together a region has as many as
	// the first users have there. With fewer, entry VMs that start often own none for a minute, and requests wait.
	shortSlots = 20
	longSlots  = 6
)

// places are three entry VMs in three regions; sevenPlaces are those of the first users.
var (
	places = []procs.Place{
		place("gulf", "a", 1), place("delta", "a", 1), place("piedmont", "a", 1),
	}
	sevenPlaces = []procs.Place{
		place("gulf", "a", 1), place("gulf", "b", 1), place("gulf", "a", 2),
		place("delta", "a", 1), place("delta", "b", 1),
		place("piedmont", "a", 1), place("piedmont", "b", 1),
	}
)

func place(reg cardamompass.Region, dom cardamompass.FailureDomain, num int) procs.Place {
	return procs.Place{
		ID:            cardamompass.VMID(fmt.Sprintf("%s-%s-%d", reg, dom, num)),
		Region:        reg,
		FailureDomain: dom,
	}
}

// site returns the configuration of a site with the catalogue and the targets of the demo.
func site(tst *testing.T, vms []procs.Place) (cfg procs.Config) {
	tst.Helper()
	sml, err := demo.Small(nil)
	if err != nil {
		tst.Fatal(err)
	}
	targets := sml.Targets
	for num := range targets {
		targets[num].Slots = shortSlots
		if targets[num].Service == demo.Long {
			targets[num].Slots = longSlots
		}
	}
	return procs.Config{
		VMs:      vms,
		Document: sml.Document,
		Targets:  targets,
		TargetFlags: func(tgt cardamompass.Target) []string {
			if tgt.Service == demo.Long {
				return []string{"--service-time", "20ms", "--answer-bytes", fmt.Sprint(longBytes)}
			}
			return []string{"--service-time", "5ms", "--answer-bytes", fmt.Sprint(shortBytes)}
		},
	}
}

// undivided returns cfg for a test that ends no entry VM, and so need not wait until the caps are divided.
func undivided(cfg procs.Config) procs.Config {
	cfg.SkipAwaitShares = true
	return cfg
}

func shortRequest(id string) caller.Request {
	return caller.Request{
		ID:         cardamompass.RequestID(id),
		Service:    demo.Short,
		Method:     http.MethodGet,
		Path:       "/stock/" + id,
		Idempotent: true,
		Timeout:    5 * time.Second,
	}
}

func longRequest(id string) caller.Request {
	return caller.Request{
		ID:         cardamompass.RequestID(id),
		Service:    demo.Long,
		Method:     http.MethodGet,
		Path:       "/maps/" + id,
		Idempotent: true,
		Timeout:    time.Minute,
	}
}

// operation is a request that must not run twice. Its header names it in the targets' records.
func operation(id string) caller.Request {
	return caller.Request{
		ID:      cardamompass.RequestID(id),
		Service: demo.Short,
		Method:  http.MethodPost,
		Path:    "/rentals/" + id,
		Header: http.Header{
			target.HeaderOperation: {id},
		},
		Body:    []byte(`{"umbrella":"` + id + `"}`),
		Timeout: 5 * time.Second,
	}
}

// content returns the whole answer of the request.
func content(req caller.Request) []byte {
	size := int64(shortBytes)
	if req.Service == demo.Long {
		size = longBytes
	}
	return target.Content(target.ContentKey(req.Method, req.Path, req.Body), size)
}

// whole returns an error unless the request has its own whole answer.
func whole(req caller.Request, rsp caller.Response, err error) error {
	switch {
	case err != nil:
		return err
	case rsp.Outcome != cardamompass.OutcomeAnswered:
		return errors.Errorf("%s: outcome %s: %s", req.ID, rsp.Outcome, rsp.Reason)
	case rsp.Status != http.StatusOK:
		return errors.Errorf("%s: status %d", req.ID, rsp.Status)
	case !bytes.Equal(rsp.Body, content(req)):
		return errors.Errorf("%s: the answer of %d bytes is not the request's own", req.ID, len(rsp.Body))
	}
	return nil
}

// failures collects what went wrong in several goroutines.
type failures struct {
	mut  sync.Mutex
	list []string
}

func (fls *failures) add(err error) {
	if err == nil {
		return
	}
	fls.mut.Lock()
	defer fls.mut.Unlock()
	fls.list = append(fls.list, err.Error())
}

// report fails the test with the first failures.
func (fls *failures) report(tst *testing.T) {
	tst.Helper()
	fls.mut.Lock()
	defer fls.mut.Unlock()
	for num, text := range fls.list {
		if num == 10 {
			tst.Errorf("and %d more", len(fls.list)-num)
			return
		}
		tst.Error(text)
	}
}

// must ends the test on an error.
func must(tst *testing.T, err error) {
	tst.Helper()
	if err != nil {
		tst.Fatal(err)
	}
}

// pause waits for a time that the fault plan wants, not for something to happen.
func pause(ctx context.Context, dur time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(dur):
	}
}
