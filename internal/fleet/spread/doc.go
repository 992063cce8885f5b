// Package spread disseminates one document, the catalogue, from the store to all entry VMs and back.
//
// The first few live VMs in the rendezvous order of the document's key watch the store. Each VM that learns something
// new pushes the changed part to a few random peers. A summary of the document travels on the membership's probes; a VM
// that sees a peer with more pulls the difference. The two repair each other: push is fast and may miss VMs, the
// exchange of summaries is slower and misses none that can be reached.
//
// # Model
//
// Core is a pure state machine: Apply takes an event, which carries the time, and returns effects. It does no I/O and
// reads no clock. Agent is the driver. The document is known only by the small interface Doc and by a Codec.
//
// # Guarantees
//
//   - The document in force only moves forward: it is replaced only by its merge with another document.
//   - A part of a document is merged only into a document that has everything the part builds on, so that a version
//     number is never claimed without its content.
//   - Readers never wait.
//   - VMs that do not watch call the store only at their start and only while no peer has the document.
//   - When the store holds less than the document in force, as after a restoration to an older state, a watcher writes
//     the merge back by compare-and-swap.
package spread

import (
	"encoding/binary"

	"cardamompass"
)

// Doc is a document that can be merged. Values are immutable. Merge must be commutative, associative and idempotent.
type Doc[D any] interface {
	// Merge returns the union of both documents; the later version of each entry wins.
	Merge(other D) (merged D)
	// Digest identifies the content. Documents with equal content have equal digests.
	Digest() (sum uint64)
	// Version is the version of the last edit in the document; at least 1.
	Version() (version int64)
	// Delta returns the part of the document that was edited after version since, as a document to be merged.
	Delta(since int64) (part D)
}

// Adopter is a Doc that can tell which edits the store accepted after it was restored to an older state.
type Adopter[D any] interface {
	// Adopt returns the stored document, changed so that such edits win in a merge with the receiver.
	Adopt(stored D) (adopted D)
}

// Codec converts documents to and from the form in which the store and messages carry them.
type Codec[D any] struct {
	// Encode returns the encoded document.
	Encode func(doc D) (data []byte, err error)
	// Decode returns the document; it must not keep data.
	Decode func(data []byte) (doc D, err error)
}

// Summary tells which document a VM has. The zero value stands for none.
type Summary struct {
	// Version is the version of the document.
	Version int64
	// Digest is its digest.
	Digest uint64
}

const summaryBytes = 16

// Bytes returns the form in which a probe carries the summary.
func (sum Summary) Bytes() (data []byte) {
	data = binary.BigEndian.AppendUint64(make([]byte, 0, summaryBytes), uint64(sum.Version))
	return binary.BigEndian.AppendUint64(data, sum.Digest)
}

// ParseSummary reads the form that Bytes returns.
func ParseSummary(data []byte) (sum Summary, ok bool) {
	if len(data) != summaryBytes {
		return Summary{}, false
	}
	return Summary{
		Version: int64(binary.BigEndian.Uint64(data)),
		Digest:  binary.BigEndian.Uint64(data[8:]),
	}, true
}

// PushRequest carries a change to a peer.
type PushRequest struct {
	// From is the sender.
	From cardamompass.VMID
	// Base is the version that the sender had before the change.
	Base int64
	// Summary is the sender's document after the change.
	Summary Summary
	// Data is the part after Base; empty when it is too large to be sent unasked.
	Data []byte
}

// PushReply answers a PushRequest.
type PushReply struct {
	// Summary is the receiver's document after the push.
	Summary Summary
}

// PullRequest asks a peer for what the sender lacks.
type PullRequest struct {
	// Summary is the sender's document.
	Summary Summary
	// Full asks for the whole document, because the part after a version did not make the documents equal.
	Full bool
}

// PullReply answers a PullRequest.
type PullReply struct {
	// Summary is the answering VM's document.
	Summary Summary
	// Data is the whole document or the part after the asking VM's version; empty when both have the same.
	Data []byte
	// Whole is set when Data is the whole document.
	Whole bool
}
