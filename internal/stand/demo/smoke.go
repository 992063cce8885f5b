package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/load/caller"
)

const (
	// stepTimeout bounds one step of SmokeTest.
	stepTimeout = 10 * time.Second
	// leaveTime is the time after which a draining target gets no more requests.
	leaveTime = 3 * time.Second
	// pollTime is the interval at which an awaited condition is checked.
	pollTime = 2 * time.Millisecond
)

// SmokeTest sends requests of each kind, edits the catalogue and drains a target through the whole system. It prints one line
// per step and returns an error if a step failed.
func (sit *Site) SmokeTest(out io.Writer) (err error) {
	clr, stop := sit.Caller("gulf")
	defer stop()
	failed := 0
	for _, step := range []struct {
		name string
		run  func(clr *caller.Caller) (note string, err error)
	}{
		{name: "short-request", run: sit.checkShort},
		{name: "long-request", run: sit.checkLong},
		{name: "operation", run: sit.checkOperation},
		{name: "edit", run: sit.checkEdit},
		{name: "drain", run: sit.checkDrain},
	} {
		note, err := step.run(clr)
		outcome := "ok"
		if err != nil {
			outcome, note = "failed", err.Error()
			failed++
		}
		if _, err := fmt.Fprintf(out, "step=%s outcome=%s note=%q\n", step.name, outcome, note); err != nil {
			return err
		}
	}
	if failed > 0 {
		return errors.Errorf("%d steps failed", failed)
	}
	return nil
}

// expect returns an error unless a request was answered.
func expect(rsp caller.Response, err error) error {
	if err != nil {
		return err
	}
	if rsp.Outcome != cardamompass.OutcomeAnswered || rsp.Status != http.StatusOK {
		return errors.Errorf("outcome %s, status %d: %s", rsp.Outcome, rsp.Status, rsp.Reason)
	}
	return nil
}

func (sit *Site) checkShort(clr *caller.Caller) (note string, err error) {
	rsp, err := clr.Do(context.Background(), caller.Request{
		ID:         "demo-short",
		Service:    Short,
		Method:     http.MethodGet,
		Path:       "/stock/7",
		Idempotent: true,
		Timeout:    2 * time.Second,
	})
	return fmt.Sprintf("%d bytes through %s", len(rsp.Body), rsp.VM), expect(rsp, err)
}

func (sit *Site) checkLong(clr *caller.Caller) (note string, err error) {
	const want = 4 << 20
	rsp, err := clr.Do(context.Background(), caller.Request{
		ID:         "demo-long",
		Service:    Long,
		Method:     http.MethodGet,
		Path:       "/maps/gulf.pack",
		Idempotent: true,
		Timeout:    stepTimeout,
	})
	if err := expect(rsp, err); err != nil {
		return "", err
	}
	if len(rsp.Body) != want {
		return "", errors.Errorf("%d bytes, want %d", len(rsp.Body), want)
	}
	return fmt.Sprintf("%d bytes through %s", len(rsp.Body), rsp.VM), nil
}

// checkOperation sends an operation twice, through different entry VMs. It must run once and get equal responses.
func (sit *Site) checkOperation(clr *caller.Caller) (note string, err error) {
	const operation = "demo-rental"
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	lkp, err := clr.Lookup(ctx, Short)
	if err != nil {
		return "", err
	}
	req := caller.Request{
		ID:      operation,
		Service: Short,
		Method:  http.MethodPost,
		Path:    "/rentals",
		Header: http.Header{
			"Stand-Operation": {operation},
		},
		Body:    []byte(`{"umbrella":7}`),
		Timeout: 2 * time.Second,
	}
	var bodies [][]byte
	for num, vmr := range lkp.VMs[:2] {
		rsp, err := clr.SendTo(ctx, vmr, req, lkp.Ticket, num+1)
		if err := expect(rsp, err); err != nil {
			return "", errors.Wrapf(err, "attempt %d", num+1)
		}
		bodies = append(bodies, rsp.Body)
	}
	if runs := sit.Runs(operation); runs != 1 {
		return "", errors.Errorf("operation ran %d times", runs)
	}
	if !bytes.Equal(bodies[0], bodies[1]) {
		return "", errors.New("the two attempts got different responses")
	}
	return fmt.Sprintf("ran once, sent through %s and %s", lkp.VMs[0].ID, lkp.VMs[1].ID), nil
}

// checkEdit changes an entry and waits until the edit is active on every entry VM.
func (sit *Site) checkEdit(*caller.Caller) (note string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	doc, _, err := sit.Editor.Get(ctx)
	if err != nil {
		return "", err
	}
	ent, _ := doc.Entry(catlg.ServiceEntry(Short))
	acc, err := sit.Editor.Put(ctx, catlg.Edit{
		Base:   doc,
		Edited: doc.WithEntry(ent.WithOwner("kiosk-team")),
	})
	if err != nil {
		return "", err
	}
	accepted := time.Now()
	err = await(ctx, func() bool {
		for _, prc := range sit.VMs {
			if prc.State().Catalogue.Version < acc.Version {
				return false
			}
		}
		return true
	})
	took := time.Since(accepted).Round(time.Millisecond)
	return fmt.Sprintf("version %d in force at %d entry VMs after %v", acc.Version, len(sit.VMs), took),
		errors.Wrap(err, "edit is not active on every entry VM")
}

// checkDrain drains a target and checks that it gets no more requests after 3 s.
func (sit *Site) checkDrain(clr *caller.Caller) (note string, err error) {
	tgt := sit.Targets["kiosk-core-gulf-a"]
	tgt.SetDraining(true)
	answered, before := 0, 0
	began := time.Now()
	for num := 0; time.Since(began) < leaveTime+time.Second; num++ {
		rsp, err := clr.Do(context.Background(), caller.Request{
			ID:         cardamompass.RequestID(fmt.Sprint("demo-drain-", num)),
			Service:    Short,
			Method:     http.MethodGet,
			Path:       fmt.Sprint("/stock/", num),
			Idempotent: true,
			Timeout:    2 * time.Second,
		})
		if err := expect(rsp, err); err != nil {
			return "", err
		}
		answered++
		if time.Since(began) < leaveTime {
			before = tgt.Runs().Total + tgt.Runs().Shed
		}
	}
	if after := tgt.Runs().Total + tgt.Runs().Shed; after != before {
		return "", errors.Errorf("the draining target got %d requests after %v", after-before, leaveTime)
	}
	return fmt.Sprintf("%d requests answered meanwhile, none by the target", answered), nil
}

// await waits until ready returns true.
func await(ctx context.Context, ready func() bool) (err error) {
	for !ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollTime):
		}
	}
	return nil
}
