// Package pstore is a stand-in of the platform's metadata store for tests. It speaks the published protocol: items with revisions,
// ranges in pages, watches, transactions under conditions and leases.
//
// Faults are injected by SetFaults: an outage, refusals for some callers, lost replies to writes, slow replies and a history
// that is discarded.
package pstore

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"cardamompass/internal/stand/ctrl"
)

// pageItems is the most items of a page; the real store has about 500.
const pageItems = 50

// Faults are the faults in force. The zero value is a store without faults.
type Faults struct {
	// Outage closes each connection without an answer, those of waiting watches included.
	Outage bool
	// NoReply lets calls wait without an answer until the fault ends.
	NoReply bool
	// RefusedIPs answers 503 to callers with these IP addresses.
	RefusedIPs []string
	// LoseWriteReplies carries out writes and closes the connection without an answer.
	LoseWriteReplies bool
	// Delay is the time before a call is carried out, DelayLists the one before a range is answered.
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

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is the store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rev     int64
	floor   int64 // changes up to here are no longer known
	items   map[string]item
	history []item
	leases  map[int64]*lease
	next    int64
	faults  Faults
	changed chan struct{}
	address string
}

// New starts a store on an address, with port 0 for any, and returns the function that ends it.
func New(address string) (sto *Store, cleanup func(), err error) {
	sto = &Store{
		rev:     1,
		items:   make(map[string]item),
		leases:  make(map[int64]*lease),
		next:    100,
		changed: make(chan struct{}),
	}
	rtr := mux.NewRouter()
	rtr.HandleFunc("/v1/kv-key", sto.get).Methods(http.MethodGet)
	rtr.HandleFunc("/v1/kv-range", sto.list).Methods(http.MethodGet)
	rtr.HandleFunc("/v1/kv-watch", sto.watch).Methods(http.MethodGet)
	rtr.HandleFunc("/v1/kv-txn", sto.txn).Methods(http.MethodPost)
	rtr.HandleFunc("/v1/kv-lease", sto.grant).Methods(http.MethodPost)
	rtr.HandleFunc("/v1/kv-keep/{id}", sto.keep).Methods(http.MethodPost)
	rtr.HandleFunc("/v1/kv-lease-end/{id}", sto.end).Methods(http.MethodDelete)
	bound, stopServer, err := ctrl.Serve(address, sto.faulty(rtr))
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

// Address returns host:port of the store.
func (sto *Store) Address() (address string) { return sto.address }

// SetFaults changes the faults in force. An outage ends waiting watches.
func (sto *Store) SetFaults(flt Faults) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.faults = flt
	sto.notify()
}

// Put writes a value as the operator or a target does, without a lease.
func (sto *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // values are made by tests
	}
	sto.PutRaw(key, data)
}

// PutRaw writes bytes.
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
	sto.floor = sto.rev
	sto.history = nil
	sto.notify()
}

func (sto *Store) write(key string, data []byte, lse int64) {
	sto.rev++
	itm := item{
		Key:            key,
		Value:          data,
		Rev:            sto.rev,
		CreateRevision: sto.rev,
		Lease:          lse,
	}
	if old, ok := sto.items[key]; ok {
		itm.CreateRevision = old.CreateRevision
	}
	sto.items[key] = itm
	sto.history = append(sto.history, itm)
	sto.notify()
}

func (sto *Store) remove(key string) {
	if _, ok := sto.items[key]; !ok {
		return
	}
	delete(sto.items, key)
	sto.rev++
	sto.history = append(sto.history, item{
		Key:     key,
		Rev:     sto.rev,
		Removed: true,
	})
	sto.notify()
}

func (sto *Store) notify() {
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// expire ends leases whose time is over.
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
				if now.After(lse.end) {
					sto.endLease(id)
				}
			}
			sto.mu.Unlock()
		}
	}
}

func (sto *Store) endLease(id int64) {
	delete(sto.leases, id)
	for key, itm := range sto.items {
		if itm.Lease == id {
			sto.remove(key)
		}
	}
}

// faulty applies the faults in force to a call.
func (sto *Store) faulty(next http.Handler) (hnd http.Handler) {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		sto.mu.Lock()
		flt := sto.faults
		sto.mu.Unlock()
		host, _, _ := net.SplitHostPort(req.RemoteAddr)
		switch {
		case flt.Outage:
			ctrl.Abort()
		case flt.NoReply:
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
			next.ServeHTTP(discard{}, req)
			ctrl.Abort()
		}
		next.ServeHTTP(wrt, req)
	})
}

// discard is an answer that nobody gets.
type discard struct{}

func (discard) Header() http.Header                    { return make(http.Header) }
func (discard) Write(data []byte) (num int, err error) { return len(data), nil }
func (discard) WriteHeader(int)                        {}

func number(text string) (num int64) {
	num, _ = strconv.ParseInt(text, 10, 64) // 0 stands for a missing figure
	return num
}
