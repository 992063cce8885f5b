// Package guard detects requests whose content crashes the targets that run them, and refuses such requests.
//
// Model: when a target crashes, every content in flight on it becomes a suspect. A suspect runs only on a target without
// another suspect in flight from this VM, and one copy at a time. A response clears the suspect if it shows that the target
// has survived the request. When the target of such
// a run crashes, the suspect is blocked for 10 minutes. Each crash yields a Report, which must reach the other VMs before
// the caller gets the outcome.
//
// Guarantees, with reports delivered: a caller that re-sends after each outcome crashes at most two targets, whichever
// VMs it uses; copies that run at the same time on different VMs add at most one crash each. A content whose run as a
// suspect ends with a response is not blocked. When the reports of a VM are lost, the bound holds for each VM
// separately: at most two crashes for each VM without a report about the content, 14 for 7 VMs. A VM keeps the records
// of the crashes that it saw itself.
//
// Limits: memory is bounded by Config.MaxRecords; when that many contents are suspects or blocked, the oldest suspect,
// or else the block that ends first, is evicted, and its content may crash two more targets. A content that crashes only
// some of its runs is cleared by each run that succeeds. An Arbiter keeps suspects of different VMs off the same target.
// When a VM can't reach it, suspects of two VMs may run on one target. If that target crashes, both are blocked, unless
// one got a response since its first crash.
//
// A Guard is safe for concurrent use. It does no I/O and reads no clock.
package guard

import (
	"sync"
	"time"

	"cardamompass"
)

const (
	// DefaultTTL is the time for which a content stays a suspect or blocked.
	DefaultTTL = 10 * time.Minute
	// DefaultMaxRecords bounds the suspects and blocked contents of a VM. One crash of a target makes at most some
	// tens of suspects, so that the bound covers about a hundred crashes in ten minutes.
	DefaultMaxRecords = 4096
	// crashGrace is the time for which a run that ended without a response still counts as in flight when its target
	// crashes. The connections of a crashed target break one by one, and the crash is detected only when a new connection
	// is refused.
	crashGrace = 2 * time.Second
	// maxSuspicions bounds the suspicions of one record. A content can cause more crashes before its first run as a suspect
	// only if as many copies run at the same time.
	maxSuspicions = 16
)

// Config describes a guard.
type Config struct {
	// Self and Incarnation identify the VM's process in reports.
	Self        cardamompass.VMID
	Incarnation cardamompass.Incarnation
	// TTL and MaxRecords replace the defaults when they are positive.
	TTL        time.Duration
	MaxRecords int
}

// Action is the decision about a request.
type Action uint8

const (
	// Run means that the request may run on the target. It counts as in flight until Succeeded, Ended, Withdrawn or Crashed.
	Run Action = iota
	// WaitCopy means that the request must wait until another copy of the suspect has ended.
	WaitCopy
	// WaitOtherSuspect means that the request needs another target, or must wait until another suspect on this target has
	// ended.
	WaitOtherSuspect
	// Refuse means that the content is blocked.
	Refuse
)

// String returns the kebab-case name of the action.
func (act Action) String() (name string) {
	switch act {
	case Run:
		return "run"
	case WaitCopy:
		return "wait-copy"
	case WaitOtherSuspect:
		return "wait-neighbour"
	case Refuse:
		return "refuse"
	default:
		return "invalid"
	}
}

// MarshalText implements encoding.TextMarshaler for the state dump.
func (act Action) MarshalText() (text []byte, err error) { return []byte(act.String()), nil }

// Verdict is the result of Admit.
type Verdict struct {
	Action Action
	// Reason explains the action to a caller or operator; empty for Run.
	Reason string
	// Until is the end of the block for Refuse, zero otherwise.
	Until time.Time
	// Suspect is set when the request runs as a suspect and must not be hedged.
	Suspect bool
}

// SuspicionID identifies one suspicion: one crash that one VM saw, for one content.
type SuspicionID struct {
	VM          cardamompass.VMID
	Incarnation cardamompass.Incarnation
	Seq         uint64
}

// Suspicion reports a content that was in flight on a target that crashed.
type Suspicion struct {
	Key    Key
	Mark   SuspicionID
	Target cardamompass.TargetID
	// Left is the time until the suspicion ends. It is relative, so that the clocks of the VMs need not agree.
	Left time.Duration
}

// Block reports a blocked content.
type Block struct {
	Key  Key
	Left time.Duration
}

// Clear reports that a suspect ran and its target did not crash. It ends the suspicions in Marks, which are those that the
// reporting VM had.
type Clear struct {
	Key   Key
	Marks []SuspicionID
}

// Report is the message of one VM to the others about suspects and blocked contents. Merging a report twice has no further
// effect.
type Report struct {
	Suspicions []Suspicion
	Blocks     []Block
	Clears     []Clear
}

// Empty reports whether the report has no content and need not be sent.
func (rep *Report) Empty() (yes bool) {
	return len(rep.Suspicions) == 0 && len(rep.Blocks) == 0 && len(rep.Clears) == 0
}

// Entry is one suspect or blocked content, for the state dump.
type Entry struct {
	Key        Key
	Blocked    bool
	Until      time.Time
	Suspicions int
}

// Guard is the guard of one VM.
type Guard struct {
	mut sync.Mutex
	sta state
}

// New returns a guard without suspects.
func New(cfg Config) (grd *Guard) {
	if cfg.TTL <= 0 {
		cfg.TTL = DefaultTTL
	}
	if cfg.MaxRecords <= 0 {
		cfg.MaxRecords = DefaultMaxRecords
	}
	return &Guard{
		sta: newState(cfg),
	}
}

// Admit decides whether a request with the content may run on the target now, and counts it as in flight if so.
func (grd *Guard) Admit(key Key, tid cardamompass.TargetID, now time.Time) (ver Verdict) {
	grd.mut.Lock()
	defer grd.mut.Unlock()
	return grd.sta.admit(key, tid, now)
}

// Succeeded ends a run with a response that shows that the target has survived the request. Call Ended instead for an error of
// the target, which may have come before the part of the work that crashes it, and for a shed request, which did not run. The
// report is empty unless the content was a suspect.
func (grd *Guard) Succeeded(key Key, tid cardamompass.TargetID, now time.Time) (rep Report) {
	grd.mut.Lock()
	defer grd.mut.Unlock()
	return grd.sta.succeeded(key, tid, now)
}

// Ended ends a run that shows nothing: it was shed, cancelled or timed out, its connection broke, or the target had an error. For another 2 s it
// counts as in flight if the target crashes.
func (grd *Guard) Ended(key Key, tid cardamompass.TargetID, now time.Time) {
	grd.mut.Lock()
	defer grd.mut.Unlock()
	grd.sta.ended(key, tid, now)
}

// Withdrawn ends a run of which nothing was sent to the target. It does not become a suspect if the target crashes.
func (grd *Guard) Withdrawn(key Key, tid cardamompass.TargetID) {
	grd.mut.Lock()
	defer grd.mut.Unlock()
	grd.sta.withdrawn(key, tid)
}

// Crashed records that the target crashed: at the time broke, a connection broke before its response, and a new one was
// refused. The contents in flight are those that were admitted up to that time and have no response. Runs that began
// later are not affected, so that several connections may report one crash. The report must be sent to all peers before
// any caller gets the outcome.
func (grd *Guard) Crashed(tid cardamompass.TargetID, broke, now time.Time) (rep Report) {
	grd.mut.Lock()
	defer grd.mut.Unlock()
	return grd.sta.crashed(tid, broke, now)
}

// Merge applies the report of a peer.
func (grd *Guard) Merge(rep Report, now time.Time) {
	grd.mut.Lock()
	defer grd.mut.Unlock()
	grd.sta.merge(rep, now)
}

// Entries returns the suspects and blocked contents in the order of their keys.
func (grd *Guard) Entries(now time.Time) (ents []Entry) {
	grd.mut.Lock()
	defer grd.mut.Unlock()
	return grd.sta.entries(now)
}
