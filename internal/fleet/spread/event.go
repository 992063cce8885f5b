package spread

import (
	"time"

	"cardamompass"
)

// Event is an input of Core.Apply.
type Event interface{ at() time.Time }

// Tick tells that time has passed. The driver sends it at the time that Core.Next returned.
type Tick struct {
	// Now is the current time.
	Now time.Time
}

// PeersChanged tells which VMs serve.
type PeersChanged struct {
	// Now is the current time.
	Now time.Time
	// Serving are the VMs that serve and are not leaving, without this one.
	Serving []cardamompass.VMID
	// Leaving is set when this VM leaves.
	Leaving bool
}

// Offered is a document that this VM got outside this package, such as the result of an edit.
type Offered[D any] struct {
	// Now is the current time.
	Now time.Time
	// Doc is the whole document.
	Doc D
}

// PushReceived is a push from a peer. It has a PushAnswer effect.
type PushReceived struct {
	// Now is the current time.
	Now time.Time
	// Request is the push.
	Request PushRequest
}

// PullReceived is a pull from a peer. It has a PullAnswer effect.
type PullReceived struct {
	// Now is the current time.
	Now time.Time
	// Request is the pull.
	Request PullRequest
}

// SummaryReceived is the summary of a peer's document.
type SummaryReceived struct {
	// Now is the current time.
	Now time.Time
	// From is the peer.
	From cardamompass.VMID
	// Summary is the summary.
	Summary Summary
}

// PullDone is the end of a Pull.
type PullDone struct {
	// Now is the current time.
	Now time.Time
	// From is the peer.
	From cardamompass.VMID
	// Full is set when the whole document was asked for.
	Full bool
	// Reply is the answer, nil when the call failed.
	Reply *PullReply
}

// ReadDone is the end of a Watch or Get.
type ReadDone struct {
	// Now is the current time.
	Now time.Time
	// Call is the number in the effect.
	Call uint64
	// Value is the answer, valid when Err is nil.
	Value cardamompass.Value
	// Missing is set when the store answered that the key does not exist.
	Missing bool
	// Failed is set when the store did not answer.
	Failed bool
}

// WriteDone is the end of a Put.
type WriteDone struct {
	// Now is the current time.
	Now time.Time
	// Digest is the digest of the document that was to be written.
	Digest uint64
	// Revision is the revision of the write, 0 when it failed or its outcome is unknown.
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

// Push asks the driver to push a change. The answer's summary is reported as SummaryArrived.
type Push struct {
	// To is the peer.
	To cardamompass.VMID
	// Request is the push.
	Request PushRequest
}

// Pull asks the driver to pull from a peer and to report Pulled.
type Pull struct {
	// To is the peer.
	To cardamompass.VMID
	// Request is the pull.
	Request PullRequest
}

// PushAnswer is the answer to PushArrived.
type PushAnswer struct {
	// Reply is the answer.
	Reply PushReply
}

// PullAnswer is the answer to PullArrived.
type PullAnswer struct {
	// Reply is the answer.
	Reply PullReply
}

// Watch asks the driver to wait for a revision after After and to report Read.
type Watch struct {
	// Call numbers the call.
	Call uint64
	// After is the last known revision.
	After int64
	// Wait is the longest wait.
	Wait time.Duration
}

// StopWatch asks the driver to cancel the running Watch.
type StopWatch struct{}

// Get asks the driver to read the key and to report Read.
type Get struct {
	// Call numbers the call.
	Call uint64
}

// Put asks the driver to write the document by compare-and-swap and to report Written.
type Put struct {
	// Data is the encoded document.
	Data []byte
	// Digest is the digest of the document.
	Digest uint64
	// Revision is the revision that the store must have.
	Revision int64
}

// Changed tells that the document in force changed.
type Changed struct{}

// Rejected tells that data could not be used.
type Rejected struct {
	// Source tells where the data came from.
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
