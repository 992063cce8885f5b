package spread

import (
	"time"

	"cardamompass"
)

// Event is an input of Core.Apply.
type Event interface{ at() time.Time }

// Tick reports that time has passed. The driver applies it at the time that Core.Next returned.
type Tick struct {
	Now time.Time
}

// PeersChanged reports the VMs that serve.
type PeersChanged struct {
	Now time.Time
	// Serving are the other VMs that serve and are not leaving.
	Serving []cardamompass.VMID
	// Leaving is set when this VM is leaving or has left.
	Leaving bool
}

// Offered is a document that this VM obtained outside this package, such as the result of an edit.
type Offered[D any] struct {
	Now time.Time
	// Doc is the whole document.
	Doc D
}

// PushReceived is a push from a peer. It causes a PushAnswer effect.
type PushReceived struct {
	Now     time.Time
	Request PushRequest
}

// PullReceived is a pull from a peer. It causes a PullAnswer effect.
type PullReceived struct {
	Now     time.Time
	Request PullRequest
}

// SummaryReceived is the summary of a peer's document.
type SummaryReceived struct {
	Now     time.Time
	From    cardamompass.VMID
	Summary Summary
}

// PullDone is the end of a Pull.
type PullDone struct {
	Now  time.Time
	From cardamompass.VMID
	// Full is set when the whole document was requested.
	Full bool
	// Reply is the reply, nil if the call failed.
	Reply *PullReply
}

// ReadDone is the end of a Watch or Get.
type ReadDone struct {
	Now time.Time
	// Call is the number of the call in the effect.
	Call uint64
	// Value is the value that was read, valid if neither Missing nor Failed is set.
	Value cardamompass.Value
	// Missing is set when the store reported that the key does not exist.
	Missing bool
	// Failed is set when the call failed for another reason.
	Failed bool
}

// WriteDone is the end of a Put.
type WriteDone struct {
	Now time.Time
	// Digest is the digest of the document that was to be written.
	Digest uint64
	// Revision is the revision of the write, 0 if the write failed or its outcome is unknown.
	Revision int64
}

func (evt Tick) at() time.Time            { return evt.Now }
func (evt PeersChanged) at() time.Time    { return evt.Now }
func (evt Offered[D]) at() time.Time      { return evt.Now }
func (evt PushReceived) at() time.Time    { return evt.Now }
func (evt PullReceived) at() time.Time    { return evt.Now }
func (evt SummaryReceived) at() time.Time { return evt.Now }
func (evt PullDone) at() time.Time        { return evt.Now }
func (evt ReadDone) at() time.Time        { return evt.Now }
func (evt WriteDone) at() time.Time       { return evt.Now }

// Effect is an output of Core.Apply.
type Effect interface{ effect() }

// Push requests the driver to push a change and to report the summary in the reply as SummaryReceived.
type Push struct {
	To      cardamompass.VMID
	Request PushRequest
}

// Pull requests the driver to pull from a peer and to report PullDone.
type Pull struct {
	To      cardamompass.VMID
	Request PullRequest
}

// PushAnswer is the reply to the push of PushReceived.
type PushAnswer struct {
	// Reply is the reply to send.
	Reply PushReply
}

// PullAnswer is the reply to the pull of PullReceived.
type PullAnswer struct {
	// Reply is the reply to send.
	Reply PullReply
}

// Watch requests the driver to wait for a revision greater than After and to report ReadDone.
type Watch struct {
	// Call is the number of the call.
	Call uint64
	// After is the last known revision.
	After int64
	// Wait is the longest wait.
	Wait time.Duration
}

// StopWatch requests the driver to cancel the running Watch.
type StopWatch struct{}

// Get requests the driver to read the key and to report ReadDone.
type Get struct {
	// Call is the number of the call.
	Call uint64
}

// Put requests the driver to write the document by compare-and-swap and to report WriteDone.
type Put struct {
	// Data is the encoded document.
	Data []byte
	// Digest is the digest of the document.
	Digest uint64
	// Revision is the expected revision of the key in the store.
	Revision int64
}

// Changed reports that the active document changed.
type Changed struct{}

// Rejected reports a document that could not be encoded or decoded, or that is too large for the store.
type Rejected struct {
	// Source is the source or kind of the document.
	Source string
	// Err is the reason.
	Err error
}

func (Push) effect()       {}
func (Pull) effect()       {}
func (PushAnswer) effect() {}
func (PullAnswer) effect() {}
func (Watch) effect()      {}
func (StopWatch) effect()  {}
func (Get) effect()        {}
func (Put) effect()        {}
func (Changed) effect()    {}
func (Rejected) effect()   {}
