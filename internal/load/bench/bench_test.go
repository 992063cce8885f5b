package bench_test

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"cardamompass/internal/load/bench"
)

func TestArrivalsAreAPoissonProcess(t *testing.T) {
	const rate, count = 500.0, 200_000
	arr := bench.NewArrivals(rate, 7)
	var last time.Duration
	var sum, squares float64
	for range count {
		next := arr.Next()
		if next < last {
			t.Fatalf("arrival at %v after one at %v", next, last)
		}
		gap := (next - last).Seconds()
		sum += gap
		squares += gap * gap
		last = next
	}
	mean := sum / count
	if math.Abs(mean*rate-1) > 0.02 {
		t.Errorf("mean gap %v s, want %v", mean, 1/rate)
	}
	// Gaps of equal length would hide queues that bursts cause; an exponential gap's deviation equals its mean.
	if dev := math.Sqrt(squares/count - mean*mean); math.Abs(dev/mean-1) > 0.03 {
		t.Errorf("deviation of gaps %v s, want the mean %v", dev, mean)
	}
}

func TestArrivalsRepeatWithTheirSeed(t *testing.T) {
	one, two, other := bench.NewArrivals(100, 3), bench.NewArrivals(100, 3), bench.NewArrivals(100, 4)
	same := true
	for range 100 {
		at := one.Next()
		if got := two.Next(); got != at {
			t.Fatalf("arrival at %v with the same seed, want %v", got, at)
		}
		same = same && other.Next() == at
	}
	if same {
		t.Error("another seed gives the same arrivals")
	}
}

func TestLatencyCountsFromScheduledArrival(t *testing.T) {
	for _, row := range []struct {
		name             string
		scheduled, ended time.Duration
		ok               bool
		want             float64
	}{
		{name: "a stall before the sending is hidden", scheduled: time.Second, ended: 1500 * time.Millisecond, ok: true, want: 500},
		{name: "a refusal counts as fast", scheduled: 0, ended: 2 * time.Second, want: 2000},
		{name: "a longer latency than the histogram holds is lost", scheduled: 0, ended: time.Hour, ok: true, want: 120_000},
	} {
		t.Run(row.name, func(t *testing.T) {
			rcd := bench.NewRecorder()
			rcd.Add(row.scheduled, row.ended, bench.Outcome{
				OK: row.ok,
			})
			if got := rcd.Quantile(100); math.Abs(got/row.want-1) > 0.002 {
				t.Errorf("latency %v ms, want %v", got, row.want)
			}
			if rcd.Sent() != 1 || rcd.OK() != map[bool]int{true: 1}[row.ok] {
				t.Errorf("sent %d, answered %d", rcd.Sent(), rcd.OK())
			}
		})
	}
}

func TestGoalsDecideByTheirSide(t *testing.T) {
	most := bench.Goal{
		Kind:  bench.AtMost,
		Limit: 1.5,
	}
	least := bench.Goal{
		Kind:  bench.AtLeast,
		Limit: 99,
	}
	if most.Met(1.6) || !most.Met(1.5) || least.Met(98) || !least.Met(99) {
		t.Error("a missed goal counts as met, or a met one as missed")
	}
}

func TestTableNamesMissedGoals(t *testing.T) {
	missed := false
	rep := bench.Report{
		Scenario: "stragglers",
		Rows: []bench.Row{{
			Measure: "p99",
			Unit:    "ms",
			Current: &bench.Summary{
				Median: 212,
				Low:    187,
				High:   262,
			},
			Goal: "<= 100",
			Met:  &missed,
		}},
	}
	var buf bytes.Buffer
	if err := rep.WriteTable(&buf); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"212 (187 to 262)", "<= 100", "missed"} {
		if !strings.Contains(buf.String(), part) {
			t.Errorf("table lacks %q:\n%s", part, buf.String())
		}
	}
}
