package relay

import (
	"context"
	"syscall"

	"github.com/pkg/errors"

	"cardamompass"
)

// ProbeResult is the result of a probe connection to a target.
type ProbeResult int

const (
	// ProbeAccepted means that the target accepted the connection, so an earlier connection broke without a crash.
	ProbeAccepted ProbeResult = iota
	// ProbeRefused means that the target's VM refused the connection: no process listens, as after a crash.
	ProbeRefused
	// ProbeNoResult means that the dial timed out or the network failed.
	ProbeNoResult
)

// String returns the kebab-case name of the result.
func (res ProbeResult) String() string {
	switch res {
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

// Probe opens and closes a new connection to tgt, outside the pools. After an UnknownOutcomeError with Broken set it distinguishes
// a crash of the target from a broken connection.
func (rly *Relay) Probe(ctx context.Context, tgt cardamompass.Target) (res ProbeResult) {
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
