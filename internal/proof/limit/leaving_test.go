package limit_test

import (
	"context"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/edge/entry"
	"cardamompass/internal/fleet/peer"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/procs"
)

const (
	// signTime is the time after the first sign from which a leaving target gets no new work.
	signTime = 3 * time.Second
	// quietTime is the time for which the test then looks for new work. Together with signTime it is shorter than the life
	// of a peer's report, the sign that ends first.
	quietTime = 4 * time.Second
	// forgetTime bounds the wait for new work after a sign has ended. The longest life of a sign is 30 s.
	forgetTime = 90 * time.Second
	// leavingKey is the shared key of the entry VMs of TestLeaving.
	leavingKey = "leaving-key-for-loopback-only"
)

// leavingSign is one sign that a target leaves, alone: all other sources say that the target serves.
type leavingSign struct {
	name   string
	target cardamompass.TargetID
	begin  func(tst *testing.T, sit *procs.Site, tgt *procs.Target)
	end    func(tst *testing.T, sit *procs.Site, tgt *procs.Target)
}

func leavingSigns() []leavingSign {
	return []leavingSign{
		{
			name:   "VM list",
			target: "by-list",
			begin: func(tst *testing.T, sit *procs.Site, _ *procs.Target) {
				setListed(tst, sit, "by-list", true)
			},
			end: func(tst *testing.T, sit *procs.Site, _ *procs.Target) {
				setListed(tst, sit, "by-list", false)
			},
		},
		{
			name:   "drain answer",
			target: "by-drain",
			begin: func(tst *testing.T, _ *procs.Site, tgt *procs.Target) {
				must(tst, tgt.SetBehaviour(map[string]any{"health-state": "serving"}))
				must(tst, tgt.SetDraining(true))
			},
			end: func(tst *testing.T, _ *procs.Site, tgt *procs.Target) {
				must(tst, tgt.SetDraining(false))
			},
		},
		{
			name:   "health endpoint",
			target: "by-health",
			begin: func(tst *testing.T, _ *procs.Site, tgt *procs.Target) {
				must(tst, tgt.SetBehaviour(map[string]any{"health-state": "draining"}))
			},
			end: func(tst *testing.T, _ *procs.Site, tgt *procs.Target) {
				must(tst, tgt.SetBehaviour(map[string]any{"health-state": ""}))
			},
		},
		{
			name:   "peer's report",
			target: "by-peer",
			begin: func(tst *testing.T, sit *procs.Site, _ *procs.Target) {
				reportLeaving(tst, sit, "by-peer")
			},
			end: func(*testing.T, *procs.Site, *procs.Target) {},
		},
	}
}

// reportLeaving tells every entry VM as one of its peers that a target leaves.
func reportLeaving(tst *testing.T, sit *procs.Site, tid cardamompass.TargetID) {
	tst.Helper()
	cli, stop, err := peer.NewClient(peer.ClientConfig{
		Key: []byte(leavingKey),
	})
	must(tst, err)
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, vmp := range sit.VMs {
		must(tst, cli.Call(ctx, vmp.PeerAddress, "Signs.Leaving", &entry.LeavingArgs{
			Target: tid,
		}, &entry.EmptyReply{}))
	}
}

// TestLeaving guards against new work for a leaving target later than 3 s after the first sign, whichever sign it is, and
// against a target that stays without work after a false sign has ended.
func TestLeaving(tst *testing.T) {
	rnd := newRandom(tst)
	cfg := siteConfig(tst)
	cfg.Settings = map[string]any{
		"peer-key": leavingKey,
	}
	for _, sgn := range leavingSigns() {
		cfg.Targets = append(cfg.Targets, cardamompass.Target{
			ID:            sgn.target,
			Service:       demo.Short,
			Region:        "gulf",
			FailureDomain: "a",
			Slots:         14,
			Connections:   330,
		})
	}
	sit := procs.ForTest(tst, cfg)
	settle(tst, sit)
	startLoad(tst, loadConfig{
		Name:    "leaving",
		VMs:     sit.VMs,
		Region:  "gulf",
		Service: demo.Short,
		Callers: 50,
		Timeout: time.Second,
		Pause:   2 * time.Millisecond,
		Random:  rnd,
	})
	for _, sgn := range leavingSigns() {
		awaitWork(tst, sit, sgn, 0)
	}
	for _, sgn := range leavingSigns() {
		sgn.begin(tst, sit, sit.Targets[sgn.target])
	}
	pass(signTime)
	before := make(map[cardamompass.TargetID]int)
	for _, sgn := range leavingSigns() {
		before[sgn.target] = work(tst, sit, sgn)
	}
	pass(quietTime)
	for _, sgn := range leavingSigns() {
		if got := work(tst, sit, sgn) - before[sgn.target]; got != 0 {
			tst.Errorf("%s: the target got %d requests later than %v after the sign", sgn.name, got, signTime)
		}
		sgn.end(tst, sit, sit.Targets[sgn.target])
	}
	ended := time.Now()
	for _, sgn := range leavingSigns() {
		awaitWork(tst, sit, sgn, before[sgn.target])
		tst.Logf("%s: new work at most %v after the end of the sign", sgn.name, time.Since(ended).Round(time.Second))
	}
}

// work returns the number of requests that the target got, those that it refused included.
func work(tst *testing.T, sit *procs.Site, sgn leavingSign) (count int) {
	tst.Helper()
	runs, err := sit.Targets[sgn.target].Runs()
	must(tst, err)
	return runs.Total + runs.Shed
}

func awaitWork(tst *testing.T, sit *procs.Site, sgn leavingSign, before int) {
	tst.Helper()
	must(tst, procs.Await(forgetTime, func() (missing string) {
		if work(tst, sit, sgn) <= before {
			return sgn.name + ": the target gets no work"
		}
		return ""
	}))
}
