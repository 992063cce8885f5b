// Package pstore simulates the platform's metadata store for tests. It implements the published protocol: items with revisions, paged
// range reads, watches, conditional transactions and leases.
//
// SetFaults injects faults: an outage, calls without a reply, refusals for some callers, lost replies to writes and slow replies.
// Compact discards the history. Copy and Restore play a store that comes back from a copy.
package pstore

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"cardamompass/internal/stand/ctrl"
)

// pageItems is the maximum number of items in a page; the real store returns about 500.
const pageItems = 50

// watchEvents is the maximum number of events in the response to a watch, as seen at the real store.
const watchEvents = 500

const watchPath = "/v1/kv-watch"

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Outage closes each connection without a reply, including those of waiting watches.
	Outage bool
	// NoReply leaves calls without a reply until the caller disconnects.
	NoReply bool
	// SilentPath leaves the calls of one path without a reply until the caller disconnects; empty for none.
	SilentPath string
	// DeafWatches makes the watches that arrive see no change and no loss of the history before the end of their wait.
	DeafWatches bool
	// RefusedIPs lists the IP addresses of callers whose calls get 503.
	RefusedIPs []string
	// LoseWriteReplies applies writes and closes the connection without a reply.
	LoseWriteReplies bool
	// Delay is the delay before each call is handled, DelayLists an additional delay before range reads.
	Delay      time.Duration
	DelayLists time.Duration
}

type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Rev            int64  `json:"rev"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

// event is a change of an item. It is encoded once, since each watch returns it.
type event struct {
	key     string
	rev     int64
	encoded json.RawMessage
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is a simulated metadata store. It is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	rev          int64
	compactedRev int64 // changes up to this revision are discarded
	items        map[string]item
	history      []event
	leases       map[int64]*lease
	lastLeaseID  int64
	era          int64
	faults       Faults
	changed      chan struct{}
	address      string
	silenced     atomic.Int64    // calls left without a reply, and deaf watches
	renewed      time.Time       // time of the last renewal of a lease
	watches      []time.Duration // how long the store may hold each watch that has arrived
}

// New starts a store on an address and returns the function that stops it. Port 0 selects a free port.
func New(address string) (sto *Store, cleanup func(), err error) {
	sto = &Store{
		rev:         1,
		items:       make(map[string]item),
		leases:      make(map[int64]*lease),
		lastLeaseID: 100,
		era:         1,
		changed:     make(chan struct{}),
	}
	rtr := mux.NewRouter()
	rtr.HandleFunc("/v1/kv-key", sto.get).Methods(http.MethodGet)
	rtr.HandleFunc("/v1/kv-range", sto.list).Methods(http.MethodGet)
	rtr.HandleFunc(watchPath, sto.watch).Methods(http.MethodGet)
	rtr.HandleFunc("/v1/kv-txn", sto.txn).Methods(http.MethodPost)
	rtr.HandleFunc("/v1/kv-lease", sto.grant).Methods(http.MethodPost)
	rtr.HandleFunc("/v1/kv-keep/{id}", sto.renew).Methods(http.MethodPost)
	rtr.HandleFunc("/v1/kv-lease-end/{id}", sto.revoke).Methods(http.MethodDelete)
	bound, stopServer, err := ctrl.Serve(address, sto.injectFaults(rtr))
	if err != nil {
		return nil, nil, err
	}
	sto.address = bound
	stop := make(chan struct{})
	var expiring sync.WaitGroup
	expiring.Go(func() { sto.expire(stop) })
	return sto, func() {
		close(stop)
		stopServer()
		expiring.Wait()
	}, nil
}

// Address returns the host:port of the store.
func (sto *Store) Address() (address string) { return sto.address }

// LeaseLeft returns how long the lease of an item still holds; 0 if there is no such item or it has no lease.
func (sto *Store) LeaseLeft(key string) (left time.Duration) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if lse := sto.leases[sto.items[key].Lease]; lse != nil {
		left = time.Until(lse.expiresAt)
	}
	return left
}

// Silenced returns the number of calls that were left without a reply, and of watches that were deaf.
func (sto *Store) Silenced() (count int) { return int(sto.silenced.Load()) }

// WatchesLongerThan returns the number of watches, silenced ones included, whose callers allowed the store to hold them for longer than wait.
func (sto *Store) WatchesLongerThan(wait time.Duration) (count int) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	for _, wtc := range sto.watches {
		if wtc > wait {
			count++
		}
	}
	return count
}

// LastRenewal returns the time of the last renewal of a lease; zero if there was none.
func (sto *Store) LastRenewal() (tim time.Time) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.renewed
}

// SetFaults replaces the injected faults. An outage ends waiting watches.
func (sto *Store) SetFaults(flt Faults) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.faults = flt
	sto.notify()
}

// Put writes a value as JSON without a lease, as the operator or a target does.
func (sto *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // values come from tests, so this is a bug in a test
	}
	sto.PutRaw(key, data)
}

// PutRaw writes data without a lease.
func (sto *Store) PutRaw(key string, data []byte) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.write(key, data, 0)
}

// Delete removes a key.
func (sto *Store) Delete(key string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.remove(key)
}

// Compact discards the history, so that watches from older revisions get 410.
func (sto *Store) Compact() {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.compactedRev = sto.rev
	sto.history = nil
	sto.notify()
}

// Copy is a copy of what a Store holds.
type Copy struct {
	rev, compactedRev, lastLeaseID int64
	items                          map[string]item
	history                        []event
	leases                         map[int64]lease
}

// Copy returns a copy of what the store holds.
func (sto *Store) Copy() (cop Copy) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	cop = Copy{
		rev:          sto.rev,
		compactedRev: sto.compactedRev,
		lastLeaseID:  sto.lastLeaseID,
		items:        maps.Clone(sto.items),
		history:      slices.Clone(sto.history),
		leases:       make(map[int64]lease),
	}
	for id, lse := range sto.leases {
		cop.leases[id] = *lse
	}
	return cop
}

// Restore replaces what the store holds by a copy and begins another era. All written since the copy is lost, and revisions and ids of leases
// are given out again. Calls that are waiting never get a reply. Leases run from now on as if they had just been renewed.
func (sto *Store) Restore(cop Copy) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.rev, sto.compactedRev, sto.lastLeaseID = cop.rev, cop.compactedRev, cop.lastLeaseID
	sto.items, sto.history = maps.Clone(cop.items), slices.Clone(cop.history)
	sto.leases = make(map[int64]*lease)
	for id, lse := range cop.leases {
		sto.leases[id] = &lease{
			ttl:       lse.ttl,
			expiresAt: time.Now().Add(lse.ttl),
		}
	}
	sto.era++
	sto.notify()
}

// Revision returns the current revision.
func (sto *Store) Revision() (rev int64) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.rev
}

func (sto *Store) write(key string, data []byte, leaseID int64) {
	sto.rev++
	itm := item{
		Key:            key,
		Value:          data,
		Rev:            sto.rev,
		CreateRevision: sto.rev,
		Lease:          leaseID,
	}
	if old, ok := sto.items[key]; ok {
		itm.CreateRevision = old.CreateRevision
	}
	sto.items[key] = itm
	sto.record(itm)
}

func (sto *Store) remove(key string) {
	if _, ok := sto.items[key]; !ok {
		return
	}
	delete(sto.items, key)
	sto.rev++
	sto.record(item{
		Key:     key,
		Rev:     sto.rev,
		Removed: true,
	})
}

// record adds a change to the history.
func (sto *Store) record(itm item) {
	data, err := json.Marshal(itm)
	if err != nil {
		panic(err) // an item has no field that can't be encoded
	}
	sto.history = append(sto.history, event{
		key:     itm.Key,
		rev:     itm.Rev,
		encoded: data,
	})
	sto.notify()
}

func (sto *Store) notify() {
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// expire removes expired leases and their items until stop is closed.
func (sto *Store) expire(stop <-chan struct{}) {
	tck := time.NewTicker(20 * time.Millisecond)
	defer tck.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-tck.C:
			sto.mu.Lock()
			for id, lse := range sto.leases {
				if now.After(lse.expiresAt) {
					sto.removeLease(id)
				}
			}
			sto.mu.Unlock()
		}
	}
}

func (sto *Store) removeLease(id int64) {
	delete(sto.leases, id)
	for key, itm := range sto.items {
		if itm.Lease == id {
			sto.remove(key)
		}
	}
}

// injectFaults applies the injected faults to each call.
func (sto *Store) injectFaults(next http.Handler) (hnd http.Handler) {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		sto.mu.Lock()
		flt := sto.faults
		era := sto.era
		if req.URL.Path == watchPath {
			sto.watches = append(sto.watches, watchWait(req))
		}
		sto.mu.Unlock()
		wrt.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		host, _, _ := net.SplitHostPort(req.RemoteAddr)
		switch {
		case flt.Outage:
			ctrl.Abort()
		case flt.NoReply || (flt.SilentPath != "" && flt.SilentPath == req.URL.Path):
			sto.silenced.Add(1)
			<-req.Context().Done()
			ctrl.Abort()
		case slices.Contains(flt.RefusedIPs, host):
			wrt.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(flt.Delay)
		if req.URL.Path == "/v1/kv-range" {
			time.Sleep(flt.DelayLists)
		}
		if flt.LoseWriteReplies && req.Method != http.MethodGet {
			next.ServeHTTP(discardWriter{}, req)
			ctrl.Abort()
		}
		next.ServeHTTP(wrt, req)
	})
}

// discardWriter discards a response.
type discardWriter struct{}

func (discardWriter) Header() http.Header                    { return make(http.Header) }
func (discardWriter) Write(data []byte) (num int, err error) { return len(data), nil }
func (discardWriter) WriteHeader(int)                        {}

func parseNumber(text string) (num int64) {
	num, _ = strconv.ParseInt(text, 10, 64) // a missing or malformed number counts as 0
	return num
}
