package relay

import (
	"context"
	"syscall"

	"github.com/pkg/errors"

	"cardamompass"
)

// Reach tells what became of a trial connection to a target.
type Reach int

const (
	// ReachOpen means that the target accepted the connection: an earlier break was a cut.
	ReachOpen Reach = iota
	// ReachRefused means that the target's VM refused the connection: no process listens, as after a crash.
	ReachRefused
	// ReachUnclear means that no answer came before the dial timeout, or that the network failed.
	ReachUnclear
)

// String returns the kebab-case name of the reach.
func (rch Reach) String() string {
	switch rch {
	case ReachOpen:
		return "open"
	case ReachRefused:
		return "refused"
	case ReachUnclear:
		return "unclear"
	default:
		return "invalid"
	}
}

// Probe opens and closes one new connection to tgt, outside its pools. After an UnknownOutcomeError with Broken set it
// tells a crash of the target from a cut of one connection.
func (rly *Relay) Probe(ctx context.Context, tgt cardamompass.Target) (rch Reach) {
	con, err := rly.dial(ctx, "tcp", tgt.Address, 0)
	switch {
	case err == nil:
		con.Close() //nolint:errcheck // nothing was sent
		return ReachOpen
	case errors.Is(err, syscall.ECONNREFUSED):
		return ReachRefused
	default:
		return ReachUnclear
	}
}
