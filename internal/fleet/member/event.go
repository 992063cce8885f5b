package member

import (
	"time"

	"cardamompass"
)

// Event is an input of Machine.Apply.
type Event interface{ at() time.Time }

// Tick tells that time has passed. The driver sends it at the time that Machine.Next returned.
type Tick struct {
	// Now is the current time.
	Now time.Time
}

// PingReceived is a probe from another VM. It has a Reply effect.
type PingReceived struct {
	// Now is the current time.
	Now time.Time
	// Message is the probe.
	Message Message
}

// RelayReceived is the request of another VM to probe a target. It has a Reply effect and a Ping effect with Relay set.
type RelayReceived struct {
	// Now is the current time.
	Now time.Time
	// Request is the request.
	Request RelayRequest
}

// ProbeAnswered is the answer to a Ping, or to a PingReq whose target was reached.
type ProbeAnswered struct {
	// Now is the current time.
	Now time.Time
	// Probe is the number in the effect.
	Probe uint64
	// Message is the answer.
	Message Message
}

// ProbeFailed is the end of a Ping or PingReq without an answer of the target.
type ProbeFailed struct {
	// Now is the current time.
	Now time.Time
	// Probe is the number in the effect.
	Probe uint64
}

// VMsListed is the platform's list of VMs, reduced to entry VMs.
type VMsListed struct {
	// Now is the current time.
	Now time.Time
	// VMs is the list.
	VMs []cardamompass.ListedVM
}

// LeaveRequested starts or completes the planned stop of this VM.
type LeaveRequested struct {
	// Now is the current time.
	Now time.Time
	// Successor answers for this VM's operations; empty while unknown.
	Successor cardamompass.VMID
	// Final is set when the stop is complete.
	Final bool
}

func (evt Tick) at() time.Time           { return evt.Now }
func (evt PingReceived) at() time.Time   { return evt.Now }
func (evt RelayReceived) at() time.Time  { return evt.Now }
func (evt ProbeAnswered) at() time.Time  { return evt.Now }
func (evt ProbeFailed) at() time.Time    { return evt.Now }
func (evt VMsListed) at() time.Time      { return evt.Now }
func (evt LeaveRequested) at() time.Time { return evt.Now }

// Effect is an output of Machine.Apply.
type Effect interface{ effect() }

// Ping asks the driver to send a probe and to report Answered or Missed.
type Ping struct {
	// Probe numbers the probe.
	Probe uint64
	// Address is the peer address of the target.
	Address string
	// Timeout bounds the call.
	Timeout time.Duration
	// Message is the probe.
	Message Message
	// Relay is set when the probe serves a RelayArrived.
	Relay bool
	// Leave is set when the probe announces that this VM left.
	Leave bool
}

// PingReq asks the driver to have a target probed by another member and to report Answered or Missed.
type PingReq struct {
	// Probe numbers the probe.
	Probe uint64
	// Address is the peer address of the member that shall probe.
	Address string
	// Timeout bounds the call.
	Timeout time.Duration
	// Request is the request.
	Request RelayRequest
}

// Reply is the answer to the event's message.
type Reply struct {
	// Message is the answer.
	Message Message
}

// Changed tells that the record of a member changed or was forgotten.
type Changed struct {
	// Member is the new record; the last one if Forgotten is set.
	Member cardamompass.Member
	// Forgotten is set when the record was dropped after its retention.
	Forgotten bool
}

// Superseded tells that another process runs under this VM's id with a later incarnation.
type Superseded struct {
	// By is the record of the later incarnation.
	By cardamompass.Member
}

func (Ping) effect()       {}
func (PingReq) effect()    {}
func (Reply) effect()      {}
func (Changed) effect()    {}
func (Superseded) effect() {}
