package cardamompass

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// Header names of the interfaces towards callers and targets.
const (
	// HeaderRequestID carries the caller's request id; towards targets, the id of the attempt, which they echo.
	HeaderRequestID = "Cardamompass-Request-Id"
	// HeaderTimeout carries the time that is left for the answer, in whole milliseconds.
	HeaderTimeout = "Cardamompass-Timeout-Ms"
	// HeaderIdempotent is "true" for a request that may run more than once, "false" for one that may not.
	HeaderIdempotent = "Cardamompass-Idempotent"
	// HeaderTicket carries the ticket of a non-idempotent request.
	HeaderTicket = "Cardamompass-Ticket"
	// HeaderAttempt counts the caller's sendings of one request from 1.
	HeaderAttempt = "Cardamompass-Attempt"
	// HeaderCallerRegion names the region of the caller where its address does not tell.
	HeaderCallerRegion = "Cardamompass-Caller-Region"
	// HeaderOutcome tells the caller the Outcome.
	HeaderOutcome = "Cardamompass-Outcome"
	// HeaderShed is "true" on a target's 503 answer when the target did not run the request.
	HeaderShed = "Cardamompass-Shed"
	// HeaderState is "draining" on an answer of a target that leaves.
	HeaderState = "Cardamompass-State"
)

// Outcome tells a caller what became of its request.
type Outcome string

const (
	// OutcomeAnswered marks the target's own answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun marks a request that certainly did not run.
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
	Attempt      int    // counted by the caller from 1; 0 when it did not say
	Ticket       string // empty for an idempotent request
	CallerRegion Region
	Deadline     time.Time
}

// WithAttempt returns a copy with the given attempt count.
func (req Request) WithAttempt(attempt int) Request {
	req.Attempt = attempt
	return req
}

// Response is the answer of a target. The receiver must close Body.
type Response struct {
	Status int
	Header http.Header
	// Body yields the whole body and io.EOF, or an error if the answer is cut.
	Body io.ReadCloser
	// Length is the length of the body in bytes, -1 if it is not known in advance.
	Length int64
	// Target produced the answer.
	Target TargetID
}

// NotRunError reports a request that certainly did not run.
type NotRunError struct {
	// Reason tells a caller or operator why, for example "no room in any region before the deadline".
	Reason string
	// Target is the target that shed the request, if one did.
	Target TargetID
}

func (err *NotRunError) Error() string { return "not run: " + err.Reason }

// UnknownOutcomeError reports a request that may have run.
type UnknownOutcomeError struct {
	// Reason tells a caller or operator why.
	Reason string
	// Target is the target to which the request may have been sent, if known.
	Target TargetID
	// Broken is set when the connection broke before the answer, as it does when the target crashes.
	Broken bool
}

func (err *UnknownOutcomeError) Error() string { return "outcome unknown: " + err.Reason }

// InvalidError reports a request, setting or catalogue that is malformed or not allowed. Nothing was done.
type InvalidError struct {
	// Field names what is wrong.
	Field string
	// Reason says why, and what would be right.
	Reason string
}

func (err *InvalidError) Error() string { return fmt.Sprintf("%s: %s", err.Field, err.Reason) }
