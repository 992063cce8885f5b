// Package dump records the recent routing decisions of an entry VM for operators.
package dump

import (
	"sync"
	"time"

	"cardamompass"
)

// Attempt is one attempt to run a request on a target.
type Attempt struct {
	Target cardamompass.TargetID `json:"target"`
	Region cardamompass.Region   `json:"region"`
	// Reason is the reason why the target was chosen.
	Reason string `json:"reason"`
	Hedge  bool   `json:"hedge,omitempty"`
	// Result is "answered" or the error of the attempt.
	Result   string `json:"result"`
	Duration string `json:"duration"`
}

// Rejection is the reason why the last routing decision of a request that found no capacity rejected a region or target.
type Rejection struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
}

// Decision records how an entry VM routed one request, and why.
type Decision struct {
	RequestID    cardamompass.RequestID   `json:"request-id"`
	Service      cardamompass.ServiceName `json:"service"`
	CallerRegion cardamompass.Region      `json:"caller-region"`
	At           time.Time                `json:"at"`
	Duration     string                   `json:"duration"`
	Attempts     []Attempt                `json:"attempts,omitempty"`
	Rejected     []Rejection              `json:"rejected,omitempty"`
	Outcome      cardamompass.Outcome     `json:"outcome"`
	Reason       string                   `json:"reason,omitempty"`
}

// DecisionLog is a ring buffer of the most recent decisions. It is safe for concurrent use.
type DecisionLog struct {
	mtx  sync.Mutex
	ring []Decision
	next int
	full bool
}

// NewDecisionLog returns a DecisionLog with capacity for count decisions, at least one.
func NewDecisionLog(count int) *DecisionLog {
	return &DecisionLog{
		ring: make([]Decision, max(1, count)),
	}
}

// Add adds a decision and overwrites the oldest one if the log is full.
func (dlg *DecisionLog) Add(dec Decision) {
	dlg.mtx.Lock()
	defer dlg.mtx.Unlock()
	dlg.ring[dlg.next] = dec
	dlg.next++
	if dlg.next == len(dlg.ring) {
		dlg.next, dlg.full = 0, true
	}
}

// Find returns the decisions for a request id, or all decisions for an empty id, newest first.
func (dlg *DecisionLog) Find(rid cardamompass.RequestID) (found []Decision) {
	dlg.mtx.Lock()
	defer dlg.mtx.Unlock()
	count := dlg.next
	if dlg.full {
		count = len(dlg.ring)
	}
	for num := range count {
		pos := (dlg.next - 1 - num + len(dlg.ring)) % len(dlg.ring)
		if rid == "" || dlg.ring[pos].RequestID == rid {
			found = append(found, dlg.ring[pos])
		}
	}
	return found
}
