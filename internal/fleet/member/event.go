package member

import (
	"time"

	"cardamompass"
)

// Event is an input of Machine.Apply.
type Event interface{ at() time.Time }

// Tick reports that time has passed. The driver applies it at the time that Machine.Next returned.
type Tick struct {
	Now time.Time
}

// PingReceived is a probe from another VM. It causes a Reply effect.
type PingReceived struct {
	Now     time.Time
	Message Message
}

// RelayReceived is the request of another VM to probe a target. It causes a Reply effect and a Ping effect with Relay set.
type RelayReceived struct {
	Now     time.Time
	Request RelayRequest
}

// ProbeAnswered is the reply to a Ping, or to a PingReq whose target was reached.
type ProbeAnswered struct {
	Now time.Time
	// Probe is the number of the probe in the effect.
	Probe   uint64
	Message Message
}

// ProbeFailed is the end of a Ping or PingReq without a reply of the target.
type ProbeFailed struct {
	Now time.Time
	// Probe is the number of the probe in the effect.
	Probe uint64
}

// VMsListed is the platform's list of VMs, reduced to entry VMs.
type VMsListed struct {
	Now time.Time
	VMs []cardamompass.ListedVM
}

// LeaveRequested begins or completes the planned stop of this VM.
type LeaveRequested struct {
	Now time.Time
	// Successor is the VM that takes over this VM's operation records; empty while unknown.
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

// Ping requests the driver to send a probe and to report ProbeAnswered or ProbeFailed.
type Ping struct {
	// Probe is the number of the probe.
	Probe uint64
	// Address is the peer address of the target.
	Address string
	// Timeout bounds the call.
	Timeout time.Duration
	Message Message
	// Relay is set when the probe is sent on behalf of another VM because of RelayReceived.
	Relay bool
	// Leave is set when the probe announces that this VM left.
	Leave bool
}

// PingReq requests the driver to let another member probe a target and to report ProbeAnswered or ProbeFailed.
type PingReq struct {
	// Probe is the number of the probe.
	Probe uint64
	// Address is the peer address of the member that probes the target.
	Address string
	// Timeout bounds the call.
	Timeout time.Duration
	Request RelayRequest
}

// Reply is the reply to the message of the event.
type Reply struct {
	Message Message
}

// Changed reports that the record of a member changed or was removed.
type Changed struct {
	// Member is the new record, or the last one if Forgotten is set.
	Member cardamompass.Member
	// Forgotten is set when the record was removed after its retention time.
	Forgotten bool
}

// Superseded reports that another process runs under this VM's id with a later incarnation.
type Superseded struct {
	// By is the record of the later incarnation.
	By cardamompass.Member
}

func (Ping) effect()       {}
func (PingReq) effect()    {}
func (Reply) effect()      {}
func (Changed) effect()    {}
func (Superseded) effect() {}
