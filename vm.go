package cardamompass

import (
	"context"
	"time"
)

// VM describes one entry VM.
type VM struct {
	// ID identifies the VM.
	ID VMID
	// Incarnation is the incarnation of its process.
	Incarnation Incarnation
	// Region and FailureDomain are its location.
	Region        Region
	FailureDomain FailureDomain
	// CallerAddress is the host:port for callers, with an IP address as the host.
	CallerAddress string
	// PeerAddress is the host:port for other entry VMs, with an IP address as the host.
	PeerAddress string
	// Capacity is the number of requests per second that it can handle, estimated from its processor and its link; 0 if
	// unknown.
	Capacity float64
}

// MemberState is the state of an entry VM in the membership.
type MemberState int

// The member states in the order of their precedence at equal incarnation and refutation counter.
const (
	// StateAlive is a member that responds to probes.
	StateAlive MemberState = iota
	// StateSuspect is a member that did not respond to a probe and may still refute the suspicion.
	StateSuspect
	// StateLeaving is a member in a planned stop: it serves requests but is not returned by look-ups.
	StateLeaving
	// StateDead is a member that did not refute a suspicion in time.
	StateDead
	// StateLeft is a member that completed its planned stop.
	StateLeft
)

// String returns the kebab-case name of the state.
func (mst MemberState) String() string {
	switch mst {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateLeaving:
		return "leaving"
	case StateDead:
		return "dead"
	case StateLeft:
		return "left"
	default:
		return "invalid"
	}
}

// Member is the membership's record of one entry VM.
type Member struct {
	VM    VM
	State MemberState
	// Refutation is the number of suspicions that the member refuted in this incarnation.
	Refutation uint64
	// Successor is the VM that took over the operation records of a member that left; empty otherwise.
	Successor VMID
}

// WithState returns a copy in state mst.
func (mbr Member) WithState(mst MemberState) Member {
	mbr.State = mst
	return mbr
}

// WithSuccessor returns a copy with successor vid.
func (mbr Member) WithSuccessor(vid VMID) Member {
	mbr.Successor = vid
	return mbr
}

// Serving reports whether the member may receive requests.
func (mbr Member) Serving() bool {
	return mbr.State == StateAlive || mbr.State == StateSuspect || mbr.State == StateLeaving
}

// Membership is one entry VM's view of all entry VMs. Implementations are safe for concurrent use.
type Membership interface {
	// Self returns this VM's own record.
	Self() Member
	// Members returns all known members, including this VM, sorted by id.
	Members() []Member
}

// PeerCaller calls methods of other entry VMs. Implementations are safe for concurrent use.
//
// A PeerUnsentError means that no byte of the call was sent. After any other error it is unknown whether the peer ran
// the call, unless the peer returned a typed error.
type PeerCaller interface {
	// Call calls method ("Service.Method") at address with a deadline taken from ctx.
	Call(ctx context.Context, address, method string, args, reply any) (err error)
}

// PeerUnsentError reports a call to a peer of which no byte was sent.
type PeerUnsentError struct {
	// Address is the peer's address.
	Address string
	// Err is the cause.
	Err error
}

func (err *PeerUnsentError) Error() string {
	return "call to " + err.Address + " not sent: " + err.Err.Error()
}

// Unwrap returns the cause.
func (err *PeerUnsentError) Unwrap() error { return err.Err }

// ListedVM is one VM in the platform's list. The list contains entry VMs and the VMs of targets and may be out of date.
type ListedVM struct {
	// Name is the platform's name for the VM: the VMID of an entry VM or the TargetID of a target.
	Name string
	// Address is its host:port, with an IP address as the host.
	Address string
	// Leaving is set while a planned stop of the VM is under way.
	Leaving bool
}

// VMLister reads the platform's list of running and leaving VMs.
type VMLister interface {
	// List returns the list and its age as reported by the platform.
	List(ctx context.Context) (vms []ListedVM, age time.Duration, err error)
}
