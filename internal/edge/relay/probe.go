package relay

import (
	"context"
	"syscall"

	"github.com/pkg/errors"

	"cardamompass"
)

// ProbeResult tells what became of a trial connection to a target.
type ProbeResult int

const (
	// ProbeAccepted means that the target accepted the connection: an earlier break was a cut.
	ProbeAccepted ProbeResult = iota
	// ProbeRefused means that the target's VM refused the connection: no process listens, as after a crash.
	ProbeRefused
	// ProbeNoResult means that no answer came before the dial timeout, or that the network failed.
	ProbeNoResult
)

// String returns the kebab-case name of the reach.
func (rch ProbeResult) String() string {
	switch rch {
	case ProbeAccepted:
		return "open"
	case ProbeRefused:
		return "refused"
	case ProbeNoResult:
		return "unclear"
	default:
		return "invalid"
	}
}

// Probe opens and closes one new connection to tgt, outside its pools. After an UnknownOutcomeError with Broken set it
// tells a crash of the target from a cut of one connection.
func (rly *Relay) Probe(ctx context.Context, tgt cardamompass.Target) (rch ProbeResult) {
	con, err := rly.dial(ctx, "tcp", tgt.Address, 0)
	switch {
	case err == nil:
		con.Close() //nolint:errcheck // nothing was sent
		return ProbeAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return ProbeRefused
	default:
		return ProbeNoResult
	}
}
