package cardamompass_test

import (
	"math"
	"testing"

	"cardamompass"
)

// Guards against sending requests to a member that is dead or has left.
func TestMemberServing(t *testing.T) {
	tests := []struct {
		state cardamompass.MemberState
		want  bool
	}{
		{state: cardamompass.StateAlive, want: true},
		{state: cardamompass.StateSuspect, want: true},
		{state: cardamompass.StateLeaving, want: true},
		{state: cardamompass.StateDead, want: false},
		{state: cardamompass.StateLeft, want: false},
	}
	for _, tst := range tests {
		t.Run(tst.state.String(), func(t *testing.T) {
			mbr := cardamompass.Member{}.WithState(tst.state)
			if got := mbr.Serving(); got != tst.want {
				t.Fatalf("Serving() = %v, want %v", got, tst.want)
			}
		})
	}
}

// Guards against a capacity that is not limited by the slower of processor and link, and against a capacity computed
// although one of them is unknown.
func TestCapacity(t *testing.T) {
	tests := []struct {
		name  string
		cores float64
		bits  float64
		want  float64
	}{
		{"slow link", 0.8, 20e6, 20e6 / (8 * 16 << 10)},
		{"slow processor", 0.32, 1e9, 800},
		{"unknown link", 0.8, 0, 0},
		{"unknown processor", 0, 1e9, 0},
	}
	for _, tst := range tests {
		set := cardamompass.VMSettings{
			Cores:             tst.cores,
			LinkBitsPerSecond: tst.bits,
		}
		if got := set.Capacity(); math.Abs(got-tst.want) > 1e-6 {
			t.Errorf("%s: %v requests per second, want %v", tst.name, got, tst.want)
		}
	}
}
