package cardamompass

import (
	"context"
	"time"
)

// Change is one change of what the platform's store holds. Exactly one of the fields beside Revision is set.
type Change struct {
	// Revision is the store's revision of the change.
	Revision int64
	// Table is a routing table.
	Table *RoutingTable
	// Instance is an instance that registered or changed.
	Instance *Instance
	// InstanceRemoved is an instance whose registration ended, or whose entry no longer names a usable instance.
	InstanceRemoved InstanceID
	// Evacuated is a failure domain whose targets are to get no requests; Restored ends that.
	Evacuated FailureDomain
	Restored  FailureDomain
	// VM is an entry VM that serves; VMRemoved is one that no longer does.
	VM        *VM
	VMRemoved VMID
	// Crash is a crash of an instance; CrashRemoved is one that is forgotten.
	Crash        *Crash
	CrashRemoved *Crash
	// Rejected is an entry that can't be understood.
	Rejected *RejectedEntry
}

// Crash is a request that was in flight at an instance when that crashed.
type Crash struct {
	// Fingerprint identifies the content of the request.
	Fingerprint string
	Instance    InstanceID
}

// RejectedEntry is an entry of the store that can't be understood.
type RejectedEntry struct {
	Key string
	Err error
}

// HistoryLostError reports that the store no longer knows the changes after a revision. The caller must list again.
type HistoryLostError struct {
	// After is the revision from which the caller wanted to continue.
	After int64
}

func (err *HistoryLostError) Error() string { return "the store has discarded the requested history" }

// StatusError reports a call that the store refused. Nothing was done.
type StatusError struct {
	// Call names the call.
	Call string
	// Status is the HTTP status.
	Status int
}

func (err *StatusError) Error() string { return err.Call + ": the store refused the call" }

// Registry is the platform's store as an entry VM uses it. Implementations are safe for concurrent use.
type Registry interface {
	// List returns everything that the store holds as changes, and the revision from which Watch continues.
	List(ctx context.Context) (chs []Change, revision int64, err error)
	// Watch waits up to wait for changes after a revision and returns them with the revision from which to continue.
	// A HistoryLostError asks for a new List.
	Watch(ctx context.Context, after int64, wait time.Duration) (chs []Change, next int64, err error)
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (id int64, err error)
	// Renew extends a lease. A NotFoundError means that it has ended.
	Renew(ctx context.Context, id int64) (err error)
	// Revoke ends a lease and removes the entries bound to it.
	Revoke(ctx context.Context, id int64) (err error)
	// Announce writes the entry of a running VM, bound to a lease.
	Announce(ctx context.Context, vmc VM, lease int64) (err error)
	// ReportCrash writes a crash for all VMs, bound to a lease.
	ReportCrash(ctx context.Context, crs Crash, lease int64) (err error)
}
