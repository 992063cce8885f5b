package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompass"
)

// Names of the rpc methods.
const (
	// ServiceName is the name under which Agent.Service is registered at the peer server.
	ServiceName   = "Member"
	methodPing    = ServiceName + ".Ping"
	methodPingReq = ServiceName + ".PingReq"
)

// Update is the record of a member as it travels between VMs.
type Update struct {
	// Member is the record.
	Member cardamompass.Member
	// AgeSeconds is the time since the member died or left, so that no VM keeps the record longer because it learnt it
	// later.
	AgeSeconds uint32
}

// Payload is the opaque content of another subsystem that travels on probes and their answers.
type Payload struct {
	// Name is the subsystem's name.
	Name string
	// Data is the content, at most MaxPayloadBytes.
	Data []byte
}

// Message is a probe or the answer to one.
type Message struct {
	// From is the sender's own record.
	From cardamompass.Member
	// Updates are records that the sender passes on; in a full message, all that it has.
	Updates []Update
	// Full marks a probe that carries all records and asks for all records.
	Full bool
	// Digest is the digest of the sender's view.
	Digest uint64
	// Settled is set when the sender has no records left to pass on.
	Settled bool
	// Payloads are the contents of other subsystems.
	Payloads []Payload
}

// RelayRequest asks a member to probe another one.
type RelayRequest struct {
	// Message is the sender's probe of the relay.
	Message Message
	// Target is the member to probe.
	Target cardamompass.Member
}

// RelayReply answers a RelayRequest.
type RelayReply struct {
	// Message is the relay's answer.
	Message Message
	// Reached is set when the target answered the relay.
	Reached bool
	// Target is the record that the target answered with.
	Target cardamompass.Member
}

// Supersedes reports whether record mbr replaces record old of the same member. The order is total: a later
// incarnation first, then StateLeft, then the refutation counter, then the state, then the successor.
func Supersedes(mbr, old cardamompass.Member) bool {
	if mbr.VM.Incarnation != old.VM.Incarnation {
		return mbr.VM.Incarnation > old.VM.Incarnation
	}
	if left := mbr.State == cardamompass.StateLeft; left != (old.State == cardamompass.StateLeft) {
		return left
	}
	if mbr.Refutation != old.Refutation {
		return mbr.Refutation > old.Refutation
	}
	if mbr.State != old.State {
		return mbr.State > old.State
	}
	return mbr.Successor > old.Successor
}

// viewHash is the part of a record in the digest of a view. Suspicions and refutations are left out because they pass
// too quickly to be worth a full exchange; ended members are left out because VMs forget them at different moments.
func viewHash(mbr cardamompass.Member) uint64 {
	if !mbr.Serving() {
		return 0
	}
	var buf [64]byte
	txt := append(buf[:0], mbr.VM.ID...)
	for shift := 0; shift < 64; shift += 8 {
		txt = append(txt, byte(mbr.VM.Incarnation>>shift))
	}
	if mbr.State == cardamompass.StateLeaving {
		txt = append(txt, 'l')
	}
	return xxhash.Sum64(txt)
}

func ended(mbr cardamompass.Member) bool {
	return mbr.State == cardamompass.StateDead || mbr.State == cardamompass.StateLeft
}

func ageSeconds(since, now time.Time) uint32 {
	return uint32(max(0, now.Sub(since)) / time.Second)
}
