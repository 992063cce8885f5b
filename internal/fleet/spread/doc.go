// Package spread disseminates one document, the catalogue, from the store to all entry VMs and back.
//
// The first few live VMs in the rendezvous order of the document's key watch the store. A VM whose document changed
// pushes the change to a few random peers. A summary of the document is piggybacked on the membership's probes; a VM
// that receives the summary of a later document pulls the difference. Push is fast but may miss VMs; the exchange of
// summaries is slower but reaches every VM that can be reached.
//
// # Model
//
// Core is a pure state machine: Apply takes an event, which carries the time, and returns effects. It does no I/O and
// reads no clock. Agent is the driver. The package accesses the document only through the interface Doc and a Codec.
//
// # Guarantees
//
//   - The active document never goes back: it is replaced only by its merge with another document.
//   - A delta is merged only into a document that contains everything the delta is based on, so that a document never
//     has a version without the content of that version.
//   - Readers never block.
//   - VMs that do not watch call the store only at their start and only while no peer has the document.
//   - When the store lacks part of the active document, for example after it was restored to an older state, a watcher
//     writes the merged document back by compare-and-swap.
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
	// Delta returns the entries that were edited after version since, as a document to be merged.
	Delta(since int64) (part D)
}

// Rebaser is a Doc that can identify the edits that the store accepted after it was restored to an older state.
type Rebaser[D any] interface {
	// Rebase returns the stored document, changed so that these edits win in a merge with the receiver.
	Rebase(stored D) (rebased D)
}

// Codec converts documents to and from the encoding used in the store and in messages.
type Codec[D any] struct {
	// Encode returns the encoded document.
	Encode func(doc D) (data []byte, err error)
	// Decode returns the document; it must not keep data.
	Decode func(data []byte) (doc D, err error)
}

// Summary identifies the document of a VM. The zero value means that the VM has none.
type Summary struct {
	// Version is the version of the document.
	Version int64
	// Digest is its digest.
	Digest uint64
}

const summaryBytes = 16

// Bytes returns the encoding of the summary in probes.
func (sum Summary) Bytes() (data []byte) {
	data = binary.BigEndian.AppendUint64(make([]byte, 0, summaryBytes), uint64(sum.Version))
	return binary.BigEndian.AppendUint64(data, sum.Digest)
}

// ParseSummary parses the encoding returned by Bytes.
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
	// Data is the delta since Base; empty when it is too large to be pushed.
	Data []byte
}

// PushReply is the reply to a PushRequest.
type PushReply struct {
	// Summary is the receiver's document after the push.
	Summary Summary
}

// PullRequest requests from a peer the part of its document that the sender lacks.
type PullRequest struct {
	// Summary is the sender's document.
	Summary Summary
	// Full requests the whole document. It is set when a delta did not make the documents equal.
	Full bool
}

// PullReply is the reply to a PullRequest.
type PullReply struct {
	// Summary is the replying VM's document.
	Summary Summary
	// Data is the whole document or the delta since the requesting VM's version; empty when both have the same document.
	Data []byte
	// Whole is set when Data is the whole document.
	Whole bool
}
