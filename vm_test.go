package cardamompass_test

import (
	"math"
	"testing"

	"cardamompass"
)

// Guards against a dead or departed member that still counts as a place to send requests.
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

// Guards against a capacity that ignores the narrower of processor and link, or is made up where one of them is not known.
func TestCapacity(t *testing.T) {
	tests := []struct {
		name  string
		cores float64
		bits  float64
		want  float64
	}{
		{"narrow link", 0.8, 20e6, 20e6 / (8 * 16 << 10)},
		{"small processor", 0.32, 1e9, 800},
		{"no link known", 0.8, 0, 0},
		{"no processor known", 0, 1e9, 0},
	}
	for _, tst := range tests {
		set := cardamompass.VMSettings{
			Cores:             tst.cores,
			LinkBitsPerSecond: tst.bits,
		}
		if got := set.Capacity(); math.Abs(got-tst.want) > 1e-6 {
			t.Errorf("%s: %v requests a second, want %v", tst.name, got, tst.want)
		}
	}
}
