package oper_test

import (
	"errors"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/edge/oper"
)

// FuzzParseTicket guards against two text forms of the same ticket, and against parse errors other than InvalidError.
func FuzzParseTicket(f *testing.F) {
	seeds := []string{
		"gulf-1/1700000000000000000/1700000000000", "a/1/1", "", "/", "//", "a/1", "a/1/1/1", "a/01/1", "a/1/+1", "a/0/1",
		"a/1/0", "a/-1/1", "a/1/1 ", " a/1/1", "a b/1/1", "a/18446744073709551615/9223372036854775807",
		"a/18446744073709551616/1", "a/1/9223372036854775808", "ä/1/1", "a/1/0x1", "a/1_0/1",
	}
	for _, seed := range seeds {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		tkt, err := oper.ParseTicket(text)
		var ive *cardamompass.InvalidError
		if err != nil && !errors.As(err, &ive) {
			t.Fatalf("%q: error %v", text, err)
		}
		if err == nil && tkt.String() != text {
			t.Fatalf("%q parsed as %q", text, tkt)
		}
	})
}

// Guards against a ticket that changes when it is formatted and parsed again.
func TestTicketRoundTrip(t *testing.T) {
	tkt := oper.Issue(cardamompass.VM{
		ID:          "gulf-1",
		Incarnation: 42,
	}, time.UnixMilli(1700000000000))
	got, err := oper.ParseTicket(tkt.String())
	if err != nil || got != tkt || tkt.String() != "gulf-1/42/1700000000000" {
		t.Fatalf("%v parsed as %v, %v", tkt, got, err)
	}
}
