package tokens_test

import (
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cardamompass"
	"cardamompass/internal/edge/tokens"
	"cardamompass/internal/steer/quota"
)

// clock is a clock that tests set.
type clock struct {
	cardamompass.SystemClock

	mu  sync.Mutex
	now time.Time
}

func (clk *clock) Now() (now time.Time) {
	clk.mu.Lock()
	defer clk.mu.Unlock()
	return clk.now
}

func (clk *clock) advance(ela time.Duration) {
	clk.mu.Lock()
	defer clk.mu.Unlock()
	clk.now = clk.now.Add(ela)
}

// fleet is an Exchange of Limiters without a network. full makes it refuse to send grants.
type fleet struct {
	self     cardamompass.VMID
	limiters map[cardamompass.VMID]*tokens.Limiter
	sent     *int
	full     *bool
}

func (flt fleet) SendAsks(to cardamompass.VMID, asks quota.Asks) (ok bool) {
	*flt.sent++
	flt.limiters[to].HandleAsks(flt.self, asks)
	return true
}

func (flt fleet) SendGrants(to cardamompass.VMID, grs quota.Grants) (ok bool) {
	grs.From = flt.self
	flt.limiters[to].HandleGrants(grs)
	return true
}

func (flt fleet) MaySendGrants(cardamompass.VMID, int) (ok bool) { return !*flt.full }

// newFleet returns three connected Limiters, the number of asks sent and a switch for grants.
func newFleet(clk *clock, log *zap.Logger) (flt fleet) {
	flt = fleet{
		limiters: make(map[cardamompass.VMID]*tokens.Limiter),
		sent:     new(int),
		full:     new(bool),
	}
	var vms []cardamompass.VM
	for _, id := range []string{"a", "b", "c"} {
		vms = append(vms, cardamompass.VM{
			ID:            cardamompass.VMID(id),
			Incarnation:   cardamompass.Incarnation(id[0]) << 32,
			Region:        "r",
			FailureDomain: "d",
		})
	}
	for num, vmc := range vms {
		others := append(append([]cardamompass.VM(nil), vms[:num]...), vms[num+1:]...)
		lim := tokens.New(tokens.Config{
			Self:        vmc,
			Regions:     map[cardamompass.FailureDomain]cardamompass.Region{"d": "r"},
			OtherVMs:    func() []cardamompass.VM { return append([]cardamompass.VM(nil), others...) },
			StoreAge:    func() time.Duration { return 0 },
			StoreOutage: func() time.Duration { return 0 },
			Clock:       clk,
			Log:         log,
			Scope:       tally.NoopScope,
		})
		peers := flt
		peers.self = vmc.ID
		lim.Connect(peers)
		flt.limiters[vmc.ID] = lim
	}
	return flt
}

func (flt fleet) setTeams(version uint64, teams ...*cardamompass.Team) {
	tbl := &cardamompass.RoutingTable{
		Version: version,
		Teams:   make(map[cardamompass.TeamName]*cardamompass.Team),
	}
	for _, tea := range teams {
		tbl.Teams[tea.Name] = tea
	}
	for _, lim := range flt.limiters {
		lim.SetTable(tbl)
	}
}

// run lets time pass and takes tokens at one VM at each tick. It returns how many it got.
func (flt fleet) run(clk *clock, ticks, takes int) (taken int) {
	for range ticks {
		clk.advance(tokens.TickInterval)
		for _, lim := range flt.limiters {
			lim.Tick()
		}
		for range takes {
			if ok, _ := flt.limiters["a"].Take("t"); ok {
				taken++
			}
		}
	}
	return taken
}

// Guards against a team whose callers use one VM and get only that VM's share, and against more than its rate.
func TestTokensReachTheVMThatNeedsThem(t *testing.T) {
	clk := &clock{
		now: time.Unix(1e9, 0),
	}
	flt := newFleet(clk, zap.NewNop())
	flt.setTeams(1, &cardamompass.Team{Name: "t", Rate: 100, Burst: 100})
	flt.run(clk, 100, 1)
	if taken := flt.run(clk, 100, 6); taken < 590 {
		t.Fatalf("%d of 600 requests at one of three VMs, at 60%% of the rate", taken)
	}
	flt.run(clk, 100, 100)
	if taken := flt.run(clk, 50, 100); taken > 570 {
		t.Fatalf("%d requests within 5 s at a rate of 100", taken)
	}
}

// Guards against traffic, or refusals, in a deployment in which no team has a limit.
func TestNothingIsSentWithoutLimits(t *testing.T) {
	clk := &clock{
		now: time.Unix(1e9, 0),
	}
	flt := newFleet(clk, zap.NewNop())
	flt.setTeams(1, &cardamompass.Team{Name: "t"})
	if taken := flt.run(clk, 100, 100); taken != 100*100 {
		t.Fatalf("%d of 10000 requests of a team without a limit", taken)
	}
	if *flt.sent > 0 || flt.limiters["a"].Dump() != nil {
		t.Fatalf("%d datagrams, dump %+v", *flt.sent, flt.limiters["a"].Dump())
	}
}

// Guards against log lines for each refused request, and against a first limit that finds VMs that do not know their shares.
func TestRefusalsAreLoggedOnce(t *testing.T) {
	clk := &clock{
		now: time.Unix(1e9, 0),
	}
	cor, logs := observer.New(zap.InfoLevel)
	flt := newFleet(clk, zap.New(cor))
	flt.setTeams(1)
	flt.run(clk, 100, 0)
	flt.setTeams(2, &cardamompass.Team{Name: "t", Rate: 10, Burst: 10})
	if taken := flt.run(clk, 1, 1); taken != 1 {
		t.Fatal("the first request after a limit was set is refused")
	}
	flt.run(clk, 20, 100)
	flt.run(clk, 100, 0)
	if logs.FilterMessage("quota refusals begin").Len() != 1 || logs.FilterMessage("quota refusals end").Len() != 1 {
		t.Fatalf("log %+v", logs.All())
	}
	// The end is logged also when the team has lost its limit meanwhile; otherwise it counts as refusing in the metrics for good.
	flt.run(clk, 20, 100)
	flt.setTeams(3)
	flt.run(clk, 100, 0)
	if logs.FilterMessage("quota refusals begin").Len() != 2 || logs.FilterMessage("quota refusals end").Len() != 2 {
		t.Fatalf("log %+v", logs.All())
	}
}

// Guards against tokens that are subtracted when they can't be sent.
func TestGivesNothingThatCannotBeSent(t *testing.T) {
	clk := &clock{
		now: time.Unix(1e9, 0),
	}
	flt := newFleet(clk, zap.NewNop())
	flt.setTeams(1, &cardamompass.Team{Name: "t", Rate: 100, Burst: 100})
	*flt.full = true
	flt.run(clk, 100, 20)
	if dmp := flt.limiters["b"].Dump(); dmp.Teams[0].Given > 0 {
		t.Fatalf("dump %+v", dmp)
	}
}

// BenchmarkRefusals measures refusals of a team that is over its quota, on all processors.
func BenchmarkRefusals(b *testing.B) {
	clk := &clock{
		now: time.Unix(1e9, 0),
	}
	flt := newFleet(clk, zap.NewNop())
	flt.setTeams(1, &cardamompass.Team{Name: "t", Rate: 1, Burst: 1})
	b.RunParallel(func(pbn *testing.PB) {
		for pbn.Next() {
			flt.limiters["a"].Take("t")
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "refusals/s")
}

// Guards against a share that stays as it was after VMs have vanished, because the store has nothing to report: a watch without changes
// lasts up to 10 s, and the time since its last response was taken for an outage.
func TestShareRisesWhileTheStoreIsQuiet(t *testing.T) {
	for _, tst := range []struct {
		name   string
		outage time.Duration
		want   float64
	}{
		{"the store answers", 0, 0.7},
		{"outage", time.Minute, 0.5},
	} {
		t.Run(tst.name, func(t *testing.T) {
			clk := &clock{
				now: time.Unix(1e9, 0),
			}
			begin := clk.Now()
			other := []cardamompass.VM{{ID: "b", Region: "r", FailureDomain: "d"}}
			outage := time.Duration(0)
			lim := tokens.New(tokens.Config{
				Self:        cardamompass.VM{ID: "a", Region: "r", FailureDomain: "d"},
				Regions:     map[cardamompass.FailureDomain]cardamompass.Region{"d": "r"},
				OtherVMs:    func() []cardamompass.VM { return append([]cardamompass.VM(nil), other...) },
				StoreAge:    func() time.Duration { return clk.Now().Sub(begin) % (6700 * time.Millisecond) },
				StoreOutage: func() time.Duration { return outage },
				Clock:       clk,
				Log:         zap.NewNop(),
				Scope:       tally.NoopScope,
			})
			lim.SetTable(&cardamompass.RoutingTable{
				Version: 1,
				Teams:   map[cardamompass.TeamName]*cardamompass.Team{"t": {Name: "t", Rate: 100}},
			})
			flt := fleet{
				limiters: map[cardamompass.VMID]*tokens.Limiter{"a": lim},
			}
			flt.run(clk, 400, 0)
			other, outage = nil, tst.outage
			flt.run(clk, 600, 0)
			if shr := lim.Dump().Share; shr != tst.want {
				t.Errorf("share %v a minute after the other VM vanished, want %v", shr, tst.want)
			}
		})
	}
}
