package quota_test

import (
	"math"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/steer/quota"
)

// newLedger returns a ledger with half of all tokens and full buckets, and the current time.
func newLedger(all ...*cardamompass.Team) (ldg *quota.Ledger, now time.Time) {
	now = time.Unix(1e6, 0)
	ldg = quota.New(quota.Config{
		Incarnation: 7,
	})
	setTeams(ldg, now, all...)
	for range 30 {
		ldg.SetShare(quota.Share{Now: 0.5, Future: 0.5}, now)
		now = now.Add(time.Second)
	}
	return ldg, now
}

func setTeams(ldg *quota.Ledger, now time.Time, all ...*cardamompass.Team) {
	byName := make(map[cardamompass.TeamName]*cardamompass.Team)
	for _, tea := range all {
		byName[tea.Name] = tea
	}
	ldg.SetTeams(byName, now)
}

func tokensOf(ldg *quota.Ledger, now time.Time) (count float64) { return ldg.Dump(now).Teams[0].Tokens }

func takeAll(ldg *quota.Ledger, now time.Time) (count int) {
	for {
		if ok, _ := ldg.Take("t", now); !ok {
			return count
		}
		count++
	}
}

// Guards against tokens that are added on their way: twice, after their life, or in a process that did not ask.
func TestGrantsAreAppliedOnceAndInTime(t *testing.T) {
	giver, now := newLedger(team("t", 100, 100))
	asker, _ := newLedger(team("t", 100, 100))
	takeAll(asker, now)
	asks := asker.Asks(now)
	if len(asks.Asks) != 1 {
		t.Fatalf("asks %+v", asks)
	}
	before := tokensOf(giver, now)
	grt, ok := giver.Give(asks.Asks[0], now)
	if left := tokensOf(giver, now); !ok || math.Abs(before-left-grt.Tokens) > 1e-9 {
		t.Fatalf("grant %+v of %v left %v", grt, before, left)
	}
	grs := quota.Grants{From: "vm-1", Incarnation: 1, Number: 1, Round: asks.Round, Grants: []quota.Grant{grt}}
	foreign := grs
	foreign.Round++
	if asker.Receive(foreign, now) {
		t.Fatal("a grant for another round is taken")
	}
	had := tokensOf(asker, now)
	if !asker.Receive(grs, now) || asker.Receive(grs, now) {
		t.Fatal("a grant is taken twice or not at all")
	}
	if got := tokensOf(asker, now) - had; math.Abs(got-grt.Tokens) > 1e-9 {
		t.Fatalf("%v tokens of %v", got, grt.Tokens)
	}
	late := grs
	late.Number, late.Grants = 2, []quota.Grant{{Team: grt.Team, Tokens: 5, Life: 600 * time.Millisecond}}
	now = now.Add(600 * time.Millisecond)
	had = tokensOf(asker, now)
	asker.Receive(late, now)
	if got := tokensOf(asker, now); got > had {
		t.Fatalf("tokens after their life: %v, before %v", got, had)
	}
	// The giver can't fill the place of a grant before its life ends.
	if dmp := giver.Dump(now.Add(-time.Millisecond)).Teams[0]; dmp.Tokens+dmp.Given > dmp.Storage+1e-9 {
		t.Fatalf("giver %+v", dmp)
	}
}

// Guards against a lower limit that applies only after the tokens of the higher one are used, and a limit that can be refilled by removing
// and adding the team.
func TestChangesOfLimits(t *testing.T) {
	ldg, now := newLedger(team("t", 400, 400))
	setTeams(ldg, now, team("t", 10, 10))
	if taken := takeAll(ldg, now); taken > 20 {
		t.Fatalf("%d requests at once after the limit was lowered", taken)
	}
	setTeams(ldg, now)
	setTeams(ldg, now, team("t", 10, 10))
	if taken := takeAll(ldg, now); taken > 0 {
		t.Fatalf("%d requests after the team was removed and added", taken)
	}
	if ok, _ := ldg.Take("other", now); !ok {
		t.Fatal("a team without a limit is refused")
	}
}

// Guards against a process that starts with tokens which its predecessor may have used, or keeps them while it is stopped.
func TestNoTokensAfterStartAndFreeze(t *testing.T) {
	now := time.Unix(1e6, 0)
	ldg := quota.New(quota.Config{})
	if ok, retryAfter := ldg.Take("t", now); ok || retryAfter <= 0 {
		t.Fatal("a request before the teams are known is allowed")
	}
	setTeams(ldg, now, team("t", 100, 100))
	ldg.SetShare(quota.Share{Now: 1, Future: 1}, now)
	if taken := takeAll(ldg, now); taken > 0 {
		t.Fatalf("%d requests at the start", taken)
	}
	full, now := newLedger(team("t", 100, 100))
	if taken := takeAll(full, now.Add(10*time.Second)); taken > 0 {
		t.Fatalf("%d requests after the process was stopped for 10 s", taken)
	}
}

// Guards against callers that are told to return at the same time, or later than a few seconds, and lost tokens of requests not sent.
func TestRefusedCallersAreSpread(t *testing.T) {
	ldg, now := newLedger(team("t", 100, 100))
	takeAll(ldg, now)
	times := make(map[time.Duration]int)
	for range 100 {
		_, retryAfter := ldg.Take("t", now)
		if retryAfter < 50*time.Millisecond || retryAfter > 3*time.Second {
			t.Fatalf("Retry-After %v", retryAfter)
		}
		times[retryAfter.Truncate(100*time.Millisecond)]++
	}
	if len(times) < 15 { // half of 100 requests per second for up to 3 s
		t.Fatalf("callers by Retry-After %v", times)
	}
	ldg.Return("t", now)
	if ok, _ := ldg.Take("t", now); !ok {
		t.Fatal("a returned token is lost")
	}
}

// Guards against shares that add up to more than 1 while VMs vanish, are cut off or become named by look-ups.
func TestSharesOfAFleet(t *testing.T) {
	now := time.Unix(1e6, 0)
	flt := quota.NewFleet("a", now)
	observe := func(fresh bool, length time.Duration, weights map[cardamompass.VMID]float64) (shr float64) {
		for end := now.Add(length); now.Before(end); now = now.Add(200 * time.Millisecond) {
			shr = flt.Observe(quota.Observation{Weights: weights, Domains: 1, Fresh: fresh}, now).Now
		}
		return shr
	}
	three := map[cardamompass.VMID]float64{"a": 1, "b": 1, "c": 1}
	if shr := observe(true, time.Second, three); shr != 0 {
		t.Fatalf("share %v before the others know the VM", shr)
	}
	for _, stp := range []struct {
		what    string
		fresh   bool
		length  time.Duration
		weights map[cardamompass.VMID]float64
		want    float64
	}{
		{"all", true, 20 * time.Second, three, 1. / 3},
		{"one of three vanished", true, time.Minute, map[cardamompass.VMID]float64{"a": 1, "b": 1}, 0.35},
		{"two vanished a moment ago", true, 20 * time.Second, map[cardamompass.VMID]float64{"a": 1}, 0.35},
		{"two vanished", true, 20 * time.Second, map[cardamompass.VMID]float64{"a": 1}, 0.7},
		{"two vanished an hour ago", true, time.Hour, map[cardamompass.VMID]float64{"a": 1}, 1},
		{"another one", true, time.Second, map[cardamompass.VMID]float64{"a": 1, "d": 1}, 0.5},
		{"cut off from the store", false, 10 * time.Minute, map[cardamompass.VMID]float64{"a": 1}, 0.5},
		{"less weight", true, time.Minute, map[cardamompass.VMID]float64{"a": 0.25, "d": 1}, 0.14},
		{"more weight a moment ago", true, time.Second, map[cardamompass.VMID]float64{"a": 1, "d": 1}, 0.125},
		{"more weight", true, 2 * time.Second, map[cardamompass.VMID]float64{"a": 1, "d": 1}, 0.5},
	} {
		if shr := observe(stp.fresh, stp.length, stp.weights); math.Abs(shr-stp.want) > 0.001 {
			t.Fatalf("%s: share %v, want %v", stp.what, shr, stp.want)
		}
	}
}

// BenchmarkRefusals measures refusals of a team that is over its quota.
func BenchmarkRefusals(b *testing.B) {
	ldg, now := newLedger(team("t", 1, 1))
	takeAll(ldg, now)
	for b.Loop() {
		ldg.Take("t", now)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "refusals/s")
}
