package cardamompass

import (
	"context"
	"time"
)

// VM describes one entry VM.
type VM struct {
	// ID names the VM.
	ID VMID
	// Incarnation is the run of its process.
	Incarnation Incarnation
	// Region and FailureDomain are its place.
	Region        Region
	FailureDomain FailureDomain
	// CallerAddress is the host:port, by IP number, at which callers reach it.
	CallerAddress string
	// PeerAddress is the host:port, by IP number, at which other entry VMs reach it.
	PeerAddress string
	// Capacity is the number of requests a second that it can carry, estimated from its processor and its link; 0 if it is not known.
	Capacity float64
}

// MemberState is the state of an entry VM in the membership.
type MemberState int

// The member states in the order of their precedence at equal incarnation and refutation counter.
const (
	// StateAlive is a member that answers.
	StateAlive MemberState = iota
	// StateSuspect is a member that missed a probe and may still refute the suspicion.
	StateSuspect
	// StateLeaving is a member in a planned stop: it serves but look-ups do not name it.
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

// Member is one entry VM as the membership sees it.
type Member struct {
	// VM describes the member.
	VM VM
	// State is its state.
	State MemberState
	// Refutation counts how often the member refuted a suspicion in this incarnation.
	Refutation uint64
	// Successor answers for the operations of a member that left; empty otherwise.
	Successor VMID
}

// WithState returns a copy in state mst.
func (mbr Member) WithState(mst MemberState) Member {
	mbr.State = mst
	return mbr
}

// WithSuccessor returns a copy whose operations are answered for by vid.
func (mbr Member) WithSuccessor(vid VMID) Member {
	mbr.Successor = vid
	return mbr
}

// Serving reports whether the member may receive requests.
func (mbr Member) Serving() bool {
	return mbr.State == StateAlive || mbr.State == StateSuspect || mbr.State == StateLeaving
}

// Membership is the view of the entry VMs that one entry VM has. Implementations are safe for concurrent use.
type Membership interface {
	// Self returns this VM's own record.
	Self() Member
	// Members returns all known members, this VM included, in the order of their ids.
	Members() []Member
}

// PeerCaller calls a method of another entry VM. Implementations are safe for concurrent use.
//
// A PeerUnsentError means that no byte of the call left this process; any other error leaves open whether the
// peer ran it, unless the peer itself answered with a typed error.
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

// ListedVM is one VM in the platform's list. The list covers entry VMs and the VMs of targets, and it lags.
type ListedVM struct {
	// Name is the platform's name for the VM: the VMID of an entry VM or the TargetID of a target.
	Name string
	// Address is its IP number and port.
	Address string
	// Leaving is set while a planned stop of the VM is under way.
	Leaving bool
}

// VMLister reads the platform's list of live and leaving VMs.
type VMLister interface {
	// List returns the list and the age that the platform states for it.
	List(ctx context.Context) (vms []ListedVM, age time.Duration, err error)
}
