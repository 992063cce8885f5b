package cardamompass

import (
	"context"
	"time"
)

// Change is one change of the content of the platform's store. One field besides Revision is set; an entry whose value
// can't be decoded has Rejected set, together with InstanceRemoved if it is the entry of an instance.
type Change struct {
	// Revision is the store's revision of the change.
	Revision int64
	// Table is a new routing table.
	Table *RoutingTable
	// Instance is an instance that registered or changed its registration.
	Instance *Instance
	// InstanceRemoved is an instance whose registration ended, or whose entry no longer describes a usable instance.
	InstanceRemoved InstanceID
	// Evacuated is a failure domain whose targets must not receive requests; Restored is one whose evacuation ended.
	Evacuated FailureDomain
	Restored  FailureDomain
	// VM is an entry VM that announced itself; VMRemoved is one whose announcement ended.
	VM        *VM
	VMRemoved VMID
	// Crash is a reported crash of an instance; CrashRemoved is one whose report was removed.
	Crash        *Crash
	CrashRemoved *Crash
	// Rejected is an entry that can't be decoded.
	Rejected *RejectedEntry
}

// Crash identifies a request that was in flight at an instance when the instance crashed. An instance may start again under its id and
// crash again, which is another Crash.
type Crash struct {
	// Fingerprint identifies the content of the request.
	Fingerprint string
	Instance    InstanceID
	// StartMillis is that of the instance that crashed, 0 if not specified.
	StartMillis int64
}

// Position is a place in the history of the store.
type Position struct {
	// Era is the era of the store, empty if it states none. A store that comes back from a copy begins another era and gives out the revisions
	// since that copy again. Revisions of different eras can't be compared, and leases hold only in the era in which they were granted.
	Era      string
	Revision int64
}

// RegistryLease is a lease of the platform's store. The zero value is none.
type RegistryLease struct {
	ID int64
	// Era is the era in which the lease was granted. The store may give its ID to another caller in a later era.
	Era string
}

// RejectedEntry is an entry of the store that can't be decoded.
type RejectedEntry struct {
	Key string
	Err error
}

// HistoryLostError reports that the changes after a position can't be read: the store no longer has them, they take many more bytes than its
// content, or the store has begun another era. The caller must call List again.
type HistoryLostError struct {
	// After is the position from which the caller requested to continue.
	After Position
	// Err is the failure of the call.
	Err error
}

func (err *HistoryLostError) Error() string { return "the changes can't be read: " + err.Err.Error() }

// Unwrap returns the failure of the call.
func (err *HistoryLostError) Unwrap() error { return err.Err }

// StatusError reports a call that the store refused. The call had no effect.
type StatusError struct {
	// Call is the path of the call.
	Call string
	// Status is the HTTP status.
	Status int
}

func (err *StatusError) Error() string { return err.Call + ": the store refused the call" }

// Registry is the platform's store as an entry VM uses it. Implementations are safe for concurrent use.
type Registry interface {
	// List returns the content of the store as changes, and the position from which Watch continues. It fails if the store does not
	// begin to answer within patience. Once it does, a listing may take as long as it needs. While it does not, the listing is repeated each
	// second beside the earlier calls, since the store never answers a call that it has received while it was silent. unanswered is called
	// at the first repetition. A HistoryLostError means that the store has begun another era meanwhile.
	List(ctx context.Context, patience time.Duration, unanswered func()) (chs []Change, at Position, err error)
	// Watch waits up to wait for changes after a position and returns them with the position from which to continue. Reading them may
	// take longer: early is then called with those that have arrived, in order, while the others are read, and chs contains them again.
	// After a HistoryLostError, the caller must call List again.
	Watch(ctx context.Context, after Position, wait time.Duration, early func(chs []Change)) (chs []Change, next Position, err error)
	// TableReadTime returns the estimated time that it takes to read the routing table; 0 if it is short or unknown.
	TableReadTime() (dur time.Duration)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lse RegistryLease, err error)
	// Renew extends a lease. A NotFoundError means that the lease has ended, also with its era.
	Renew(ctx context.Context, lse RegistryLease) (err error)
	// Revoke ends a lease and removes the entries bound to it.
	Revoke(ctx context.Context, lse RegistryLease) (err error)
	// Announce writes the entry of a running VM, bound to a lease. A NotFoundError means that the lease has ended, also with its era, and that
	// the entry has to be written again with another one.
	Announce(ctx context.Context, vmc VM, lse RegistryLease) (err error)
	// ReportCrash writes a crash report that all VMs read, bound to a lease, and returns the era in which it was written. Its errors are those
	// of Announce.
	ReportCrash(ctx context.Context, crs Crash, lse RegistryLease) (era string, err error)
	// WithdrawCrash removes a crash report and returns the era in which it was removed.
	WithdrawCrash(ctx context.Context, crs Crash) (era string, err error)
}
