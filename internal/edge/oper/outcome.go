package oper

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/http"

	"cardamompass"
)

// MaxRecordResponseBytes bounds the response that a record stores, body and header together.
const MaxRecordResponseBytes = 64 << 10

// State is the state of an operation.
type State int

const (
	// StateAbsent is an operation without a record, which may still arrive.
	StateAbsent State = iota
	// StateRunning is an operation that is running.
	StateRunning
	// StateAnswered is an operation whose response is stored.
	StateAnswered
	// StateRan is an operation that ran and whose response is not stored.
	StateRan
	// StateNotRun is an operation that did not run. It may run if the caller sends it again.
	StateNotRun
	// StateUnknown is an operation that may have run.
	StateUnknown
)

// String returns the kebab-case name of the state.
func (stt State) String() string {
	switch stt {
	case StateAbsent:
		return "absent"
	case StateRunning:
		return "running"
	case StateAnswered:
		return "answered"
	case StateRan:
		return "ran"
	case StateNotRun:
		return "not-run"
	case StateUnknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Outcome is the outcome of an operation, with the complete response if it is stored. It is immutable.
type Outcome struct {
	State  State
	Status int
	Header http.Header
	Body   []byte
	Reason string
	Target cardamompass.TargetID
	Broken bool
	Field  string // set for an operation that did not run because it is malformed or not allowed
}

// RanError reports an operation that ran and whose response is not stored.
type RanError struct {
	// Status is the HTTP status of the response.
	Status int
	// Target is the target that produced the response.
	Target cardamompass.TargetID
}

func (err *RanError) Error() string {
	return fmt.Sprintf("operation ran with status %d; its answer is no longer held", err.Status)
}

// Err returns the outcome as a typed error, nil for StateAnswered.
func (oct Outcome) Err() (err error) {
	if oct.State == StateNotRun && oct.Field != "" {
		return &cardamompass.InvalidError{
			Field:  oct.Field,
			Reason: oct.Reason,
		}
	}
	switch oct.State {
	case StateAnswered:
		return nil
	case StateRan:
		return &RanError{
			Status: oct.Status,
			Target: oct.Target,
		}
	case StateNotRun:
		return &cardamompass.NotRunError{
			Reason: oct.Reason,
			Target: oct.Target,
		}
	default:
		return &cardamompass.UnknownOutcomeError{
			Reason: oct.Reason,
			Target: oct.Target,
			Broken: oct.Broken,
		}
	}
}

// size returns the size of the outcome's response in bytes.
func (oct Outcome) size() (bytes int) {
	for name, values := range oct.Header {
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	return bytes + len(oct.Body)
}

// withoutResponse returns the outcome with StateRan and without the response.
func (oct Outcome) withoutResponse() Outcome {
	return Outcome{
		State:  StateRan,
		Status: oct.Status,
		Target: oct.Target,
	}
}

// unknown returns the outcome of an operation that may have run.
func unknown(reason string) Outcome {
	return Outcome{
		State:  StateUnknown,
		Reason: reason,
	}
}

func notRun(reason string) Outcome {
	return Outcome{
		State:  StateNotRun,
		Reason: reason,
	}
}

// Hash is a hash of an operation's content.
type Hash [sha256.Size]byte

// Sum returns the hash of a request's content: service, method, path, query and body.
func Sum(req cardamompass.Request) (hsh Hash) {
	sum := sha256.New()
	var size [8]byte
	for _, part := range []string{string(req.Service), req.Method, req.Path, req.RawQuery} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		sum.Write(size[:])
		sum.Write([]byte(part))
	}
	sum.Write(req.Body)
	sum.Sum(hsh[:0])
	return hsh
}
