package proof_test

import (
	"context"
	"testing"

	"cardamompass"
	"cardamompass/internal/edge/lookup"
	"cardamompass/internal/load/caller"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/procs"
)

// TestRefusalWithoutCatalogue guards against an entry VM that has no catalogue yet and says of an operation that it was
// not run, though an earlier sending of it ran at its home.
func TestRefusalWithoutCatalogue(tst *testing.T) {
	cfg := site(tst, []procs.Place{place("gulf", "a", 1), place("gulf", "b", 1)})
	cfg.NotStarted = []cardamompass.VMID{"gulf-b-1"}
	cfg.StoreProxies, cfg.PeerProxies, cfg.SkipAwaitShares = true, true, true
	sit := procs.ForTest(tst, cfg)
	clr, stop := sit.Caller("gulf", sit.VM("gulf-a-1"))
	defer stop()
	lkp, err := clr.Lookup(context.Background(), demo.Short)
	must(tst, err)
	home, alone := sit.VM("gulf-a-1"), sit.VM("gulf-b-1")
	alone.StoreProxy.Cut()
	home.PeerProxy.Cut()
	must(tst, alone.Start())
	send := func(vmp *procs.VM, req caller.Request, attempt int) caller.Response {
		rsp, err := clr.SendTo(context.Background(), lookup.VMRecord{
			ID:      vmp.Place.ID,
			Address: vmp.CallerAddress,
		}, req, lkp.Ticket, attempt)
		must(tst, err)
		return rsp
	}
	ran := operation("ran")
	must(tst, whole(ran, send(home, ran, 1), nil))
	for _, row := range []struct {
		name    string
		req     caller.Request
		attempt int
		want    cardamompass.Outcome
	}{
		{name: "a later sending says that the operation was not run", req: ran, attempt: 2, want: cardamompass.OutcomeUnknown},
		{name: "a first sending is not refused for certain", req: operation("first"), attempt: 1, want: cardamompass.OutcomeNotRun},
		{name: "a later sending that may run again is uncertain", req: shortRequest("idempotent"), attempt: 2, want: cardamompass.OutcomeNotRun},
	} {
		tst.Run(row.name, func(tst *testing.T) {
			if rsp := send(alone, row.req, row.attempt); rsp.Outcome != row.want {
				tst.Errorf("outcome %s, want %s: %s", rsp.Outcome, row.want, rsp.Reason)
			}
		})
	}
}
