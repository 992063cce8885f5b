package budget_test

import (
	"flag"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"cardamompass"
	"cardamompass/internal/steer/budget"
)

var seed = flag.Int64("seed", time.Now().UnixNano(), "seed of the properties")

// Guards against a burst of extra requests in any window for any mix of requests and failures. Each step is a gap in
// milliseconds; its remainder selects between a request and an attempt to take an extra one.
func TestBudgetHoldsOverAnyWindow(t *testing.T) {
	prm := gopter.DefaultTestParametersWithSeed(*seed)
	prm.MinSize, prm.MaxSize = 50, 900
	prs := gopter.NewProperties(prm)
	for name, cfg := range map[string]budget.Config{
		"retry": budget.RetryConfig(),
		"hedge": budget.HedgeConfig(),
	} {
		prs.Property(name, prop.ForAll(func(gaps []int, busy int) bool {
			start := time.Unix(1_700_000_000, 0)
			now := start
			bud := budget.New(cfg, now)
			var requests, extras []time.Time
			for i, gap := range gaps {
				now = now.Add(time.Duration(gap) * time.Millisecond)
				// Every other 150 steps consist of requests only, which must not accumulate tokens for a burst.
				if i/150%2 == 0 || gap%10 < busy {
					bud.Request(now)
					requests = append(requests, now)
				} else if bud.TakeExtra(now) {
					extras = append(extras, now)
				}
			}
			return boundHolds(cfg, requests, extras)
		}, gen.SliceOf(gen.IntRange(0, 30)), gen.IntRange(0, 10)))
	}
	prs.TestingRun(t)
}

// boundHolds checks the bound for each interval that begins and ends at an extra request. These are the tightest ones.
func boundHolds(cfg budget.Config, requests, extras []time.Time) bool {
	for i, from := range extras {
		for j := i; j < len(extras) && extras[j].Sub(from) <= cfg.Window; j++ {
			count := 0
			for _, req := range requests {
				if !req.Before(from) && !req.After(extras[j]) {
					count++
				}
			}
			if 100*(j-i+1) > 100*cfg.Minimum+cfg.Percent*count {
				return false
			}
		}
	}
	return true
}

// Guards against a hedge of a request that must not run twice, that is long, or for which there is no free capacity, and
// against a budget that is charged for a hedge that is not sent.
func TestTryHedge(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	good := budget.HedgeInput{
		Idempotent:  true,
		Class:       cardamompass.ClassShort,
		Age:         30 * time.Millisecond,
		Delay:       budget.HedgeDelay(25*time.Millisecond, 10*time.Millisecond),
		Left:        time.Second,
		Usual:       10 * time.Millisecond,
		HasCapacity: true,
	}
	tests := []struct {
		name   string
		change func(inp *budget.HedgeInput)
		want   budget.HedgeReason
	}{
		{"hedge denied without reason", func(*budget.HedgeInput) {}, budget.HedgeAllowed},
		{"operation run twice", func(inp *budget.HedgeInput) { inp.Idempotent = false }, budget.HedgeNotIdempotent},
		{"download doubled", func(inp *budget.HedgeInput) { inp.Class = cardamompass.ClassLong }, budget.HedgeNotShort},
		{"hedge before the delay", func(inp *budget.HedgeInput) { inp.Age = 0 }, budget.HedgeTooEarly},
		{"hedge that cannot finish", func(inp *budget.HedgeInput) { inp.Left = 0 }, budget.HedgeNoTime},
		{"hedge into a full region", func(inp *budget.HedgeInput) { inp.HasCapacity = false }, budget.HedgeNoCapacity},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			bud := budget.New(budget.HedgeConfig(), now)
			before := bud.State().Tokens()
			inp := good
			tst.change(&inp)
			got := bud.TryHedge(inp, now)
			if got != tst.want {
				t.Fatalf("got %v, want %v", got, tst.want)
			}
			if charged := bud.State().Tokens() != before; charged != (got == budget.HedgeAllowed) {
				t.Fatalf("charged %v for %v", charged, got)
			}
		})
	}
}

// Guards against a changed budget that stays as it was, and against extra requests that a change allows at once.
func TestChangedConfig(t *testing.T) {
	now := time.Unix(1000, 0)
	old := budget.Config{Percent: 20, Minimum: 20, Window: 10 * time.Second}
	tests := []struct {
		name     string
		next     budget.Config
		atOnce   int // extra requests after the change
		requests int // that follow
		then     int // extra requests after these
	}{
		{"the same", old, 10, 50, 10},
		{"a smaller minimum", budget.Config{Percent: 20, Minimum: 8, Window: 10 * time.Second}, 4, 50, 4},
		{"a greater minimum", budget.Config{Percent: 20, Minimum: 60, Window: 10 * time.Second}, 10, 50, 20},
		{"no part of the requests", budget.Config{Percent: 0, Minimum: 20, Window: 10 * time.Second}, 10, 50, 10},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			bud := budget.New(old, now)
			bud.SetConfig(tst.next, now)
			if got := bud.State().Tokens(); got != tst.atOnce {
				t.Fatalf("%d extra requests at once, want %d", got, tst.atOnce)
			}
			for range tst.requests {
				bud.Request(now)
			}
			if got := bud.State().Tokens(); got != tst.then {
				t.Fatalf("%d extra requests after %d requests, want %d", got, tst.requests, tst.then)
			}
		})
	}
}
