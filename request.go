package cardamompass

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// Names of the HTTP headers exchanged with callers and targets.
const (
	// HeaderRequestID carries the caller's request id. In requests to targets it is the id of the attempt, which the
	// target echoes.
	HeaderRequestID = "Cardamompass-Request-Id"
	// HeaderTimeout carries the time that remains for the response, in whole milliseconds.
	HeaderTimeout = "Cardamompass-Timeout-Ms"
	// HeaderIdempotent is "true" for a request that may run more than once and "false" for one that must not.
	HeaderIdempotent = "Cardamompass-Idempotent"
	// HeaderTicket carries the ticket of a non-idempotent request.
	HeaderTicket = "Cardamompass-Ticket"
	// HeaderAttempt is the number of the caller's attempt to send the request, starting at 1.
	HeaderAttempt = "Cardamompass-Attempt"
	// HeaderCallerRegion is the caller's region, for callers whose address does not determine it.
	HeaderCallerRegion = "Cardamompass-Caller-Region"
	// HeaderOutcome is the Outcome, in responses to callers.
	HeaderOutcome = "Cardamompass-Outcome"
	// HeaderShed is "true" in a target's 503 response when the target did not run the request.
	HeaderShed = "Cardamompass-Shed"
	// HeaderState is "draining" in responses of a target that is leaving.
	HeaderState = "Cardamompass-State"
)

// Outcome is the result of a request as reported to its caller.
type Outcome string

const (
	// OutcomeAnswered marks a response that a target produced.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun marks a request that is known not to have run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown marks a request that may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeInvalid marks a request that is malformed or not allowed; it did not run.
	OutcomeInvalid Outcome = "invalid"
)

// Request is one request of a caller as an entry VM received it. It is immutable.
type Request struct {
	ID           RequestID
	Service      ServiceName
	Method       string
	Path         string // starts with "/"
	RawQuery     string
	Header       http.Header // end-to-end headers only, without those of this package
	Body         []byte
	Idempotent   bool
	Attempt      int    // number of the caller's attempt, from 1; 0 if not specified
	Ticket       string // empty for an idempotent request
	CallerRegion Region
	Deadline     time.Time
}

// WithAttempt returns a copy with the given attempt number.
func (req Request) WithAttempt(attempt int) Request {
	req.Attempt = attempt
	return req
}

// Response is the response of a target. The receiver must close Body.
type Response struct {
	Status int
	Header http.Header
	// Body reads the whole body followed by io.EOF, or returns an error if the response is truncated.
	Body io.ReadCloser
	// Length is the length of the body in bytes, -1 if it is not known in advance.
	Length int64
	// Target is the target that produced the response.
	Target TargetID
}

// NotRunError reports a request that is known not to have run.
type NotRunError struct {
	// Reason explains to a caller or operator why, for example "no target with free capacity before the deadline".
	Reason string
	// Target is the target that shed the request, if one did.
	Target TargetID
}

func (err *NotRunError) Error() string { return "not run: " + err.Reason }

// UnknownOutcomeError reports a request that may have run.
type UnknownOutcomeError struct {
	// Reason explains to a caller or operator why the outcome is unknown.
	Reason string
	// Target is the target to which the request may have been sent, if known.
	Target TargetID
	// Broken is set when the connection was lost before the response, as happens when the target crashes.
	Broken bool
}

func (err *UnknownOutcomeError) Error() string { return "outcome unknown: " + err.Reason }

// InvalidError reports a request, setting or catalogue that is malformed or not allowed. It had no effect.
type InvalidError struct {
	// Field is the name of the invalid field.
	Field string
	// Reason explains why the value is invalid and what is expected.
	Reason string
}

func (err *InvalidError) Error() string { return fmt.Sprintf("%s: %s", err.Field, err.Reason) }
