package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompass"
)

// Names of the RPC methods.
const (
	// ServiceName is the name under which Agent.Service is registered at the peer server.
	ServiceName   = "Member"
	methodPing    = ServiceName + ".Ping"
	methodPingReq = ServiceName + ".PingReq"
)

// Update is the record of a member in a message.
type Update struct {
	Member cardamompass.Member
	// AgeSeconds is the time since the member died or left. It ensures that a VM that receives the record later does not
	// keep it longer.
	AgeSeconds uint32
}

// Payload is the opaque data of another subsystem that is piggybacked on probes and their replies.
type Payload struct {
	// Name is the subsystem's name.
	Name string
	// Data is at most MaxPayloadBytes long.
	Data []byte
}

// Message is a probe or the reply to one.
type Message struct {
	// From is the sender's own record.
	From cardamompass.Member
	// Updates are records that the sender has queued; in a full message, all its records.
	Updates []Update
	// Full marks a message of a full exchange: a probe with all records, which requests all records of the receiver.
	Full bool
	// Digest is the digest of the sender's view.
	Digest uint64
	// Settled is set when the sender has no queued records.
	Settled bool
	// Payloads are the payloads of other subsystems.
	Payloads []Payload
}

// RelayRequest requests a member, the relay, to probe another member.
type RelayRequest struct {
	// Message is the sender's probe of the relay.
	Message Message
	// Target is the member to probe.
	Target cardamompass.Member
}

// RelayReply is the reply to a RelayRequest.
type RelayReply struct {
	// Message is the relay's reply to the probe.
	Message Message
	// Reached is set when the target replied to the relay.
	Reached bool
	// Target is the target's own record from that reply.
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

// viewHash returns the contribution of a record to the digest of a view. Suspicions and refutations are excluded because
// they are too short-lived to justify a full exchange. Members that died or left are excluded because VMs remove their
// records at different times.
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
