//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store, or the removal of one.
type storeItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Rev            int64  `json:"rev"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// storeData is what a copy of the store holds.
type storeData struct {
	rev     int64
	items   map[string]storeItem
	history []storeItem
	leases  map[int64]storeLease
}

func (dat storeData) clone() (out storeData) {
	out = storeData{
		rev:     dat.rev,
		items:   make(map[string]storeItem, len(dat.items)),
		history: slices.Clone(dat.history),
		leases:  make(map[int64]storeLease, len(dat.leases)),
	}
	for key, itm := range dat.items {
		out.items[key] = itm
	}
	for id, lse := range dat.leases {
		out.leases[id] = lse
	}
	return out
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu        sync.Mutex
	dat       storeData
	lastLease int64
	era       int64
	away      bool
	resets    bool // calls end with their connection while the store is away, instead of getting no answer
	changed   chan struct{}
	// cutAfter returns how long a watch waits before the store cuts it; nil if it cuts none.
	cutAfter func() time.Duration
	cuts     int // of watches that waited
}

// newStore starts a store at an address.
func newStore(address string) (sto *store, err error) {
	lsn, err := net.Listen("tcp4", address) //nolint:noctx // a stand-in
	if err != nil {
		return nil, err
	}
	sto = &store{
		address: lsn.Addr().String(),
		dat: storeData{
			rev:    1,
			items:  make(map[string]storeItem),
			leases: make(map[int64]storeLease),
		},
		lastLease: 1000,
		era:       1,
		changed:   make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", sto.serveKey)
	mux.HandleFunc("GET /v1/kv-range", sto.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", sto.serveWatch)
	mux.HandleFunc("POST /v1/kv-txn", sto.serveTxn)
	mux.HandleFunc("POST /v1/kv-lease", sto.serveLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", sto.serveKeep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", sto.serveLeaseEnd)
	srv := &http.Server{
		Handler:           sto.gate(mux),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = srv.Serve(lsn) }()
	go sto.expire()
	return sto, nil
}

// gate leaves calls that arrive while the store is away without an answer for good, and states the era in all answers.
func (sto *store) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		sto.mu.Lock()
		away, era := sto.away, sto.era
		sto.mu.Unlock()
		if away {
			sto.fail(req)
		}
		time.Sleep(4 * time.Millisecond)
		wrt.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		next.ServeHTTP(wrt, req)
	})
}

// fail leaves a call without an answer until its caller gives up, or closes its connection at once.
func (sto *store) fail(req *http.Request) {
	if !sto.resets {
		<-req.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// leave makes the store be away: calls in progress and new ones get no answer.
func (sto *store) leave() {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.away = true
	sto.notify()
}

// comeBack ends the time away. If dat is not nil, the store continues from that copy, in a new era.
func (sto *store) comeBack(dat *storeData) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.away = false
	if dat != nil {
		sto.dat = dat.clone()
		sto.era++
	}
	for id, lse := range sto.dat.leases { // leases pause while the store is down
		lse.expires = time.Now().Add(lse.ttl)
		sto.dat.leases[id] = lse
	}
	sto.notify()
}

// copyNow returns a copy of what the store holds.
func (sto *store) copyNow() (dat storeData) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.dat.clone()
}

// put writes a value as the operator or an endpoint does. It returns the era and revision; ok is false while the store is away.
func (sto *store) put(key string, value any) (era, rev int64, ok bool) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if sto.away {
		return 0, 0, false
	}
	if old, known := sto.dat.items[key]; !known || string(old.Value) != string(data) {
		sto.write(key, data, 0)
	}
	return sto.era, sto.dat.rev, true
}

// remove removes an entry as the operator does, or after the end of an endpoint.
func (sto *store) remove(key string) (rev int64) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.erase(key)
	return sto.dat.rev
}

func (sto *store) revision() (rev int64) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.dat.rev
}

func (sto *store) write(key string, data []byte, lease int64) {
	sto.dat.rev++
	itm := storeItem{
		Key:            key,
		Value:          data,
		Rev:            sto.dat.rev,
		CreateRevision: sto.dat.rev,
		Lease:          lease,
	}
	if old, ok := sto.dat.items[key]; ok {
		itm.CreateRevision = old.CreateRevision
	}
	sto.dat.items[key] = itm
	sto.dat.history = append(sto.dat.history, itm)
	sto.notify()
}

func (sto *store) erase(key string) {
	if _, ok := sto.dat.items[key]; !ok {
		return
	}
	delete(sto.dat.items, key)
	sto.dat.rev++
	sto.dat.history = append(sto.dat.history, storeItem{
		Key:     key,
		Rev:     sto.dat.rev,
		Removed: true,
	})
	sto.notify()
}

func (sto *store) notify() {
	close(sto.changed)
	sto.changed = make(chan struct{})
}

func (sto *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		sto.mu.Lock()
		for id, lse := range sto.dat.leases {
			if !sto.away && time.Now().After(lse.expires) {
				sto.endLease(id)
			}
		}
		sto.mu.Unlock()
	}
}

func (sto *store) endLease(id int64) {
	delete(sto.dat.leases, id)
	for key, itm := range sto.dat.items {
		if itm.Lease == id {
			sto.erase(key)
		}
	}
}

func writeJSON(wrt http.ResponseWriter, status int, body any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_ = json.NewEncoder(wrt).Encode(body)
}

func (sto *store) serveKey(wrt http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	itm, ok := sto.dat.items[req.URL.Query().Get("key")]
	rev := sto.dat.rev
	sto.mu.Unlock()
	if !ok {
		wrt.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(wrt, http.StatusOK, struct {
		storeItem
		CurrentRev int64 `json:"currentRev"`
	}{itm, rev})
}

func (sto *store) serveRange(wrt http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	sto.mu.Lock()
	items, rev := []storeItem{}, sto.dat.rev
	for key, itm := range sto.dat.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, itm)
		}
	}
	sto.mu.Unlock()
	slices.SortFunc(items, func(one, two storeItem) int { return strings.Compare(one.Key, two.Key) })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	writeJSON(wrt, http.StatusOK, map[string]any{"items": items, "hasMore": more, "currentRev": rev})
}

func (sto *store) serveWatch(wrt http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	tmr := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer tmr.Stop()
	era, _ := strconv.ParseInt(wrt.Header().Get("Store-Era"), 10, 64)
	cut := sto.cutTimer()
	defer cut.Stop()
	for last := false; ; {
		sto.mu.Lock()
		rev, changed := sto.dat.rev, sto.changed
		events := []storeItem{}
		for _, itm := range sto.dat.history {
			if itm.Rev > after && strings.HasPrefix(itm.Key, query.Get("prefix")) {
				events = append(events, itm)
			}
		}
		lost := sto.away || sto.era != era // a call that was in progress when the store went away is never answered
		sto.mu.Unlock()
		switch {
		case lost:
			sto.fail(req)
		case after > rev:
			wrt.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || last:
			writeJSON(wrt, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-tmr.C:
			last = true
		case <-cut.C:
			sto.mu.Lock()
			sto.cuts++
			sto.mu.Unlock()
			panic(http.ErrAbortHandler) // closes the connection
		case <-req.Context().Done():
			return
		}
	}
}

// cutTimer returns the timer at whose end a watch is cut that still waits.
func (sto *store) cutTimer() (tmr *time.Timer) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if sto.cutAfter == nil {
		return time.NewTimer(time.Hour)
	}
	return time.NewTimer(sto.cutAfter())
}

// setCuts sets how long a watch waits before the store cuts it; nil for no cuts.
func (sto *store) setCuts(after func() time.Duration) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.cutAfter = after
}

func (sto *store) cutCount() (count int) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.cuts
}

func (sto *store) serveTxn(wrt http.ResponseWriter, req *http.Request) {
	var body struct {
		Expect []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	for _, exp := range body.Expect {
		if sto.dat.items[exp.Key].Rev != exp.Rev {
			writeJSON(wrt, http.StatusPreconditionFailed, map[string]any{"items": []storeItem{sto.dat.items[exp.Key]}})
			return
		}
	}
	for _, put := range body.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			wrt.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := sto.dat.leases[put.Lease]; put.Lease != 0 && !ok {
			wrt.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, put := range body.Puts {
		sto.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Deletes {
		sto.erase(key)
	}
	writeJSON(wrt, http.StatusOK, map[string]any{"rev": sto.dat.rev})
}

func (sto *store) serveLease(wrt http.ResponseWriter, req *http.Request) {
	var body struct {
		TTL float64 `json:"ttlS_time"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil || body.TTL < 1 {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.lastLease++
	ttl := time.Duration(body.TTL * float64(time.Second))
	sto.dat.leases[sto.lastLease] = storeLease{
		ttl:     ttl,
		expires: time.Now().Add(ttl),
	}
	writeJSON(wrt, http.StatusOK, map[string]any{"lease": sto.lastLease, "ttlS_time": body.TTL})
}

func (sto *store) serveKeep(wrt http.ResponseWriter, req *http.Request) {
	id, _ := strconv.ParseInt(req.PathValue("id"), 10, 64)
	sto.mu.Lock()
	defer sto.mu.Unlock()
	lse, ok := sto.dat.leases[id]
	if !ok {
		wrt.WriteHeader(http.StatusNotFound)
		return
	}
	lse.expires = time.Now().Add(lse.ttl)
	sto.dat.leases[id] = lse
	writeJSON(wrt, http.StatusOK, map[string]any{"ttlS_time": lse.ttl.Seconds()})
}

func (sto *store) serveLeaseEnd(wrt http.ResponseWriter, req *http.Request) {
	id, _ := strconv.ParseInt(req.PathValue("id"), 10, 64)
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if _, ok := sto.dat.leases[id]; !ok {
		wrt.WriteHeader(http.StatusNotFound)
		return
	}
	sto.endLease(id)
	writeJSON(wrt, http.StatusOK, map[string]any{})
}
