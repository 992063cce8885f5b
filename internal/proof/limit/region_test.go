package limit_test

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/load/caller"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/fault"
	"cardamompass/internal/stand/procs"
	"cardamompass/internal/stand/target"
)

const (
	// busyTime is the service time of the requests of an overload, busyTimeout their timeout.
	busyTime    = 100 * time.Millisecond
	busyTimeout = time.Second
)

// busySite starts a site for an overload. Its targets run any number of requests at once, so that a count of what runs is
// not bounded by the targets themselves; the catalogue gives each 6 slots.
func busySite(tst *testing.T) (sit *procs.Site) {
	tst.Helper()
	cfg := siteConfig(tst)
	cfg.PeerProxies = true
	cfg.Settings = map[string]any{
		"steering": map[string]any{"hedge-percent": 0}, // a cancelled hedge ends at an unknown time
	}
	cfg.TargetFlags = func(cardamompass.Target) []string { return []string{"--slots", "1000"} }
	sit = procs.ForTest(tst, cfg)
	settle(tst, sit)
	return sit
}

func overload(tst *testing.T, sit *procs.Site, rnd *rand.Rand) (lod *load) {
	tst.Helper()
	return startLoad(tst, loadConfig{
		Name:    "busy",
		VMs:     sit.VMs,
		Region:  "gulf",
		Service: demo.Short,
		Callers: 80,
		Timeout: busyTimeout,
		Header: map[string]string{
			target.HeaderServiceTime: strconv.FormatInt(busyTime.Milliseconds(), 10),
		},
		Random: rnd,
	})
}

// TestRegions guards against more requests in a region than its slots when the load is above the capacity, load and health
// reports are late or wrong, entry VMs lose each other and several targets seem to leave; and against a refusal as not run
// of a request that ran.
func TestRegions(tst *testing.T) {
	rnd := newRandom(tst)
	sit := busySite(tst)
	lod := overload(tst, sit, rnd)
	pass(3 * time.Second)
	for _, tgt := range sit.Targets {
		must(tst, tgt.SetBehaviour(map[string]any{
			"load-in-flight": 0,
			"load-lag-ms":    4000,
			"health-lag-ms":  4000,
		}))
	}
	order := rnd.Perm(len(sit.VMs))
	sit.VMs[order[0]].PeerProxy.Cut()
	sit.VMs[order[1]].PeerProxy.Cut()
	sit.VMs[order[2]].PeerProxy.Drop(fault.Up)
	pass(4 * time.Second)
	seeming := []cardamompass.TargetID{"kiosk-core-gulf-a", "kiosk-core-delta-b"}
	for _, tid := range seeming {
		setListed(tst, sit, tid, true)
	}
	pass(4 * time.Second)
	for _, num := range order[:3] {
		must(tst, sit.VMs[num].PeerProxy.Heal())
	}
	for _, tid := range seeming {
		setListed(tst, sit, tid, false)
	}
	pass(3 * time.Second)
	sent := lod.stop()
	for _, reg := range []cardamompass.Region{"gulf", "delta"} {
		tgts := targetsOf(sit, reg)
		slots := 0
		for _, tgt := range tgts {
			slots += tgt.Target.Slots
		}
		peak := peakOf(tst, sent, tgts)
		tst.Logf("%s: at most %d requests at once, %d slots", reg, peak, slots)
		if peak > slots {
			tst.Errorf("%d requests ran at once in %s, which has %d slots", peak, reg, slots)
		}
	}
	checkRefusals(tst, sit, sent)
}

// TestTargetSlots guards against more requests on one target than its slots when the load is above the capacity of its
// region.
func TestTargetSlots(tst *testing.T) {
	rnd := newRandom(tst)
	sit := busySite(tst)
	lod := overload(tst, sit, rnd)
	pass(6 * time.Second)
	checkSlots(tst, sit)
	lod.stop()
}

// peakOf returns the largest number of requests that certainly ran at once on the targets: those that were answered after one run, for
// as long as they certainly ran.
func peakOf(tst *testing.T, sent []sending, tgts []*procs.Target) (peak int) {
	tst.Helper()
	sendings := make(map[string]sending)
	for _, snd := range sent {
		sendings[snd.operation] = snd
	}
	var runs []span
	for _, tgt := range tgts {
		rec, err := tgt.Runs()
		must(tst, err)
		for _, run := range rec.Last {
			snd := sendings[run.Operation]
			if snd.rsp.Outcome == cardamompass.OutcomeAnswered && rec.ByOperation[run.Operation] == 1 {
				runs = append(runs, span{
					from: run.At,
					to:   endOf(snd, run.At),
				})
			}
		}
	}
	return mostAtOnce(runs)
}

// endOf returns a time until which an answered request certainly ran. A target ends a run at its deadline with an answer of its own, so
// that not every answered request ran for the whole service time.
func endOf(snd sending, began time.Time) (end time.Time) {
	end = began.Add(busyTime)
	if snd.rsp.Status == http.StatusOK {
		return end
	}
	// The entry VM counts the timeout from a later moment, and each side rounds the time left down to milliseconds.
	if deadline := snd.began.Add(busyTimeout - 2*time.Millisecond); deadline.Before(end) {
		return deadline
	}
	return end
}

// mostAtOnce returns the largest number of spans that have a moment in common. A span does not contain its end.
func mostAtOnce(spans []span) (most int) {
	steps := make(map[int64]int) // by nanoseconds since the Unix epoch
	for _, spn := range spans {
		if spn.from.Before(spn.to) {
			steps[spn.from.UnixNano()]++
			steps[spn.to.UnixNano()]--
		}
	}
	count := 0
	for _, tim := range slices.Sorted(maps.Keys(steps)) {
		count += steps[tim]
		most = max(most, count)
	}
	return most
}

// TestMostAtOnce guards against a count of requests at once that misses one, or takes one that has ended for one that runs.
func TestMostAtOnce(tst *testing.T) {
	start := time.Unix(1000, 0)
	spn := func(from, to int) span {
		return span{
			from: start.Add(time.Duration(from) * time.Millisecond),
			to:   start.Add(time.Duration(to) * time.Millisecond),
		}
	}
	tests := []struct {
		name  string
		spans []span
		want  int
	}{
		{"none", nil, 0},
		{"one after the other", []span{spn(0, 100), spn(100, 200)}, 1},
		{"one within another", []span{spn(0, 100), spn(20, 40), spn(50, 60)}, 2},
		{"the same span twice", []span{spn(0, 100), spn(0, 100), spn(99, 150)}, 3},
		{"an empty span", []span{spn(0, 100), spn(50, 50)}, 1},
		{"ended before it began", []span{spn(0, 100), spn(50, 20)}, 1},
	}
	for _, tcs := range tests {
		tst.Run(tcs.name, func(tst *testing.T) {
			if got := mostAtOnce(tcs.spans); got != tcs.want {
				tst.Errorf("%d at once, want %d", got, tcs.want)
			}
		})
	}
}

// TestEndOf guards against a run that a target ended at its deadline and that is taken for one of the whole service time.
func TestEndOf(tst *testing.T) {
	sent := time.Unix(1000, 0)
	tests := []struct {
		name   string
		status int
		began  time.Duration
		want   time.Duration
	}{
		{"answered", http.StatusOK, 950 * time.Millisecond, 950*time.Millisecond + busyTime},
		{"ended at the deadline", http.StatusGatewayTimeout, 950 * time.Millisecond, busyTimeout - 2*time.Millisecond},
		{"failed long before the deadline", http.StatusInternalServerError, 0, busyTime},
	}
	for _, tcs := range tests {
		tst.Run(tcs.name, func(tst *testing.T) {
			snd := sending{
				began: sent,
				rsp: caller.Response{
					Status: tcs.status,
				},
			}
			if got := endOf(snd, sent.Add(tcs.began)).Sub(sent); got != tcs.want {
				tst.Errorf("it ran until %v, want %v", got, tcs.want)
			}
		})
	}
}

// setListed changes a target in the platform's list.
func setListed(tst *testing.T, sit *procs.Site, tid cardamompass.TargetID, leaving bool) {
	tst.Helper()
	must(tst, sit.PutListed(cardamompass.ListedVM{
		Name:    string(tid),
		Address: sit.Targets[tid].Target.Address,
		Leaving: leaving,
	}))
}

// checkSlots checks that no target had more requests at once than slots.
func checkSlots(tst *testing.T, sit *procs.Site) {
	tst.Helper()
	for _, tgt := range sit.Targets {
		runs, err := tgt.Runs()
		must(tst, err)
		if runs.MaxPresent > tgt.Target.Slots {
			tst.Errorf("%s had %d requests at once and has %d slots", tgt.Name(), runs.MaxPresent, tgt.Target.Slots)
		}
		tst.Logf("%s: %d runs, at most %d present", tgt.Name(), runs.Total, runs.MaxPresent)
	}
}

// checkRefusals checks that no request that was refused as not run has run, and that the load was above the capacity.
func checkRefusals(tst *testing.T, sit *procs.Site, sent []sending) {
	tst.Helper()
	runs, err := sit.RunsByOperation()
	must(tst, err)
	counts := make(map[cardamompass.Outcome]int)
	for _, snd := range sent {
		counts[snd.rsp.Outcome]++
		if snd.rsp.Outcome == cardamompass.OutcomeNotRun && runs[snd.operation] > 0 {
			tst.Errorf("%s was refused as not run (%s) and ran %d times", snd.operation, snd.rsp.Reason, runs[snd.operation])
		}
	}
	tst.Logf("outcomes: %v", counts)
	if counts[cardamompass.OutcomeNotRun] == 0 || counts[cardamompass.OutcomeAnswered] == 0 {
		tst.Error("the load was not above the capacity")
	}
}

const (
	// rampSlots are the slots of a region in TestRampUp, rampTime is the time of the ramp.
	rampSlots = 64
	rampTime  = 10 * time.Second
)

// TestRampUp guards against a shift that brings its whole load onto cold targets at once, and against a ramp that does not
// end.
func TestRampUp(tst *testing.T) {
	rnd := newRandom(tst)
	cfg := siteConfig(tst)
	cfg.TargetProxies = true
	for num := range cfg.Targets {
		cfg.Targets[num].Slots = rampSlots / 2
	}
	sit := procs.ForTest(tst, cfg)
	settle(tst, sit)
	leaveGulf(tst, sit)
	awaitAvoided(tst, sit, "gulf")
	began := time.Now()
	// A request takes longer than the time until the reading, so that the count of running requests only grows.
	lod := startLoad(tst, loadConfig{
		Name:    "ramp",
		VMs:     sit.VMs,
		Region:  "gulf",
		Service: demo.Short,
		Callers: 150,
		Timeout: 4500 * time.Millisecond,
		Header: map[string]string{
			target.HeaderServiceTime: "2500",
		},
		Random: rnd,
	})
	pass(2 * time.Second)
	early := running(tst, sit)
	past := time.Since(began)
	part := min(1, 0.25+0.75*past.Seconds()/rampTime.Seconds())
	tst.Logf("%d requests run in delta %v after the begin of the shift, allowed are %.1f", early, past, part*rampSlots)
	if float64(early) > part*rampSlots {
		tst.Errorf("%d requests run, the ramp allows %.1f", early, part*rampSlots)
	}
	if early == 0 {
		tst.Error("no request shifted")
	}
	must(tst, procs.Await(time.Minute, func() (missing string) {
		if running(tst, sit) < rampSlots*3/4 {
			return "the shift does not use three quarters of the slots"
		}
		return ""
	}))
	lod.stop()
}

// running returns the number of requests that run in delta.
func running(tst *testing.T, sit *procs.Site) (count int) {
	tst.Helper()
	for _, tgt := range targetsOf(sit, "delta") {
		runs, err := tgt.Runs()
		must(tst, err)
		count += runs.Running
	}
	return count
}
