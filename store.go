package cardamompass

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Value is one value of the store.
type Value struct {
	// Key is the key under which the value is stored.
	Key string
	// Data is the content, at most MaxValueBytes. Callers must not modify it.
	Data []byte
	// Revision is the store's revision of the last write of the key. It is positive for a key that exists.
	Revision int64
}

// Lease is the state of a lease of the store.
type Lease struct {
	ID LeaseID
	// TTL is the time for which a grant or a renewal keeps the lease alive.
	TTL time.Duration
	// Remaining is the time left on the store's clock when it responded. Zero when the lease has expired.
	Remaining time.Duration
}

// Store is the platform's key-value service. Each call counts against the service's rate limits; a watch counts as one
// call, however long it waits. Implementations are safe for concurrent use.
//
// Errors: NotFoundError for a key or lease that does not exist, ConflictError for a compare-and-swap that lost against
// another write, WriteUnknownError for a write whose response was lost and which may have taken effect. Any other error
// means that the call had no effect.
type Store interface {
	// Get returns the current value of key.
	Get(ctx context.Context, key string) (val Value, err error)
	// Put writes data if the key has the given revision; revision 0 means that the key must not exist.
	Put(ctx context.Context, key string, data []byte, revision int64) (val Value, err error)
	// Watch waits up to wait until the revision of key is greater than after and returns the value. If it is not greater
	// by then, Watch returns the current value.
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (val Value, err error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lse Lease, err error)
	// Renew extends a valid lease by its TTL. For an expired lease it returns a NotFoundError.
	Renew(ctx context.Context, id LeaseID) (lse Lease, err error)
	// Inspect returns the state of a lease. For an expired lease it returns a NotFoundError.
	Inspect(ctx context.Context, id LeaseID) (lse Lease, err error)
	// Revoke ends a lease.
	Revoke(ctx context.Context, id LeaseID) (err error)
}

// NotFoundError reports a key or lease that does not exist.
type NotFoundError struct {
	// Key is the key or the id of the lease.
	Key string
}

func (err *NotFoundError) Error() string { return fmt.Sprintf("%s not found in the store", err.Key) }

// ConflictError reports a compare-and-swap that lost against another write.
type ConflictError struct {
	// Key is the key of the write.
	Key string
	// Want is the revision that the write expected.
	Want int64
	// Have is the revision that the store holds, 0 when the key does not exist.
	Have int64
}

func (err *ConflictError) Error() string {
	return fmt.Sprintf("%s: write expected revision %d, store has %d", err.Key, err.Want, err.Have)
}

// WriteUnknownError reports a write that was sent but whose response was lost. The write may have taken effect or may
// still take effect.
type WriteUnknownError struct {
	// Key is the key of the write.
	Key string
	// Err is the failure because of which no response was received.
	Err error
}

func (err *WriteUnknownError) Error() string {
	return fmt.Sprintf("%s: outcome of the write is unknown: %v", err.Key, err.Err)
}

// Unwrap returns Err.
func (err *WriteUnknownError) Unwrap() error { return err.Err }
