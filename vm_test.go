package cardamompass_test

import (
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
