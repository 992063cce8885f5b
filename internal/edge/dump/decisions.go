// Package dump keeps the recent decisions of an entry VM and forms the state dump of its process.
package dump

import (
	"sync"
	"time"

	"cardamompass"
)

// Attempt is one try to run a request.
type Attempt struct {
	Target cardamompass.TargetID `json:"target"`
	Region cardamompass.Region   `json:"region"`
	// Reason says why the target was chosen.
	Reason string `json:"reason"`
	Hedge  bool   `json:"hedge,omitempty"`
	// Result is "answered", or the error of the attempt.
	Result   string `json:"result"`
	Duration string `json:"duration"`
}

// Rejection says what became of a region or target in the last decision of a request that found no room.
type Rejection struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
}

// Decision is what an entry VM decided about one request, with the reasons.
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

// DecisionLog holds the last decisions. It is safe for concurrent use.
type DecisionLog struct {
	mtx  sync.Mutex
	ring []Decision
	next int
	full bool
}

// NewDecisionLog returns a Recent for count decisions, at least one.
func NewDecisionLog(count int) *DecisionLog {
	return &DecisionLog{
		ring: make([]Decision, max(1, count)),
	}
}

// Add keeps a decision in place of the oldest one.
func (rct *DecisionLog) Add(dec Decision) {
	rct.mtx.Lock()
	defer rct.mtx.Unlock()
	rct.ring[rct.next] = dec
	rct.next++
	if rct.next == len(rct.ring) {
		rct.next, rct.full = 0, true
	}
}

// Find returns the decisions for a request id, or all of them for an empty one, the latest first.
func (rct *DecisionLog) Find(rid cardamompass.RequestID) (found []Decision) {
	rct.mtx.Lock()
	defer rct.mtx.Unlock()
	count := rct.next
	if rct.full {
		count = len(rct.ring)
	}
	for num := range count {
		pos := (rct.next - 1 - num + len(rct.ring)) % len(rct.ring)
		if rid == "" || rct.ring[pos].RequestID == rid {
			found = append(found, rct.ring[pos])
		}
	}
	return found
}
