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

// item is an item of the store, or the removal of one.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Rev            int64  `json:"rev"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
	at             time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string
	srv     *http.Server

	mu        sync.Mutex
	rev       int64
	items     map[string]item
	history   []item
	compacted int64 // the history up to this revision is discarded
	leases    map[int64]*lease
	lastLease int64
	changed   chan struct{}
}

// historyTime is how long the store keeps its history.
const historyTime = 20 * time.Second

// pageItems is the number of items in a page of a listing.
const pageItems = 500

func newStore(address string) (sto *store, err error) {
	lsn, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	sto = &store{
		address: lsn.Addr().String(),
		rev:     1,
		items:   make(map[string]item),
		leases:  make(map[int64]*lease),
		changed: make(chan struct{}),
	}
	rtr := http.NewServeMux()
	rtr.HandleFunc("GET /v1/kv-key", sto.get)
	rtr.HandleFunc("GET /v1/kv-range", sto.list)
	rtr.HandleFunc("GET /v1/kv-watch", sto.watch)
	rtr.HandleFunc("POST /v1/kv-txn", sto.txn)
	rtr.HandleFunc("POST /v1/kv-lease", sto.grant)
	rtr.HandleFunc("POST /v1/kv-keep/{id}", sto.renew)
	rtr.HandleFunc("DELETE /v1/kv-lease-end/{id}", sto.revoke)
	sto.srv = &http.Server{
		Handler: rtr,
	}
	go func() { _ = sto.srv.Serve(lsn) }()
	go sto.expire()
	return sto, nil
}

// put writes a value as JSON. A value that does not differ from the present one changes nothing.
func (sto *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if string(sto.items[key].Value) != string(data) {
		sto.write(key, data, 0)
	}
}

func (sto *store) delete(key string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.remove(key)
}

func (sto *store) write(key string, data []byte, leaseID int64) {
	sto.rev++
	itm := item{
		Key:            key,
		Value:          data,
		Rev:            sto.rev,
		CreateRevision: sto.rev,
		Lease:          leaseID,
		at:             time.Now(),
	}
	if old, ok := sto.items[key]; ok {
		itm.CreateRevision = old.CreateRevision
	}
	sto.items[key] = itm
	sto.history = append(sto.history, itm)
	sto.notify()
}

func (sto *store) remove(key string) {
	if _, ok := sto.items[key]; !ok {
		return
	}
	delete(sto.items, key)
	sto.rev++
	sto.history = append(sto.history, item{
		Key:     key,
		Rev:     sto.rev,
		Removed: true,
		at:      time.Now(),
	})
	sto.notify()
}

func (sto *store) notify() {
	close(sto.changed)
	sto.changed = make(chan struct{})
}

func (sto *store) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		sto.mu.Lock()
		for len(sto.history) > 0 && time.Since(sto.history[0].at) > historyTime {
			sto.compacted = sto.history[0].Rev
			sto.history = sto.history[1:]
		}
		for id, lse := range sto.leases {
			if time.Now().After(lse.expires) {
				sto.endLease(id)
			}
		}
		sto.mu.Unlock()
	}
}

func (sto *store) endLease(id int64) {
	delete(sto.leases, id)
	for key, itm := range sto.items {
		if itm.Lease == id {
			sto.remove(key)
		}
	}
}

func respond(wrt http.ResponseWriter, status int, body any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_ = json.NewEncoder(wrt).Encode(body)
}

func number(text string) (num int64) {
	num, _ = strconv.ParseInt(text, 10, 64)
	return num
}

func (sto *store) get(wrt http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	itm, ok := sto.items[req.URL.Query().Get("key")]
	rev := sto.rev
	sto.mu.Unlock()
	if !ok {
		wrt.WriteHeader(http.StatusNotFound)
		return
	}
	respond(wrt, http.StatusOK, struct {
		item
		CurrentRev int64 `json:"currentRev"`
	}{itm, rev})
}

func (sto *store) list(wrt http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	var page struct {
		Items      []item `json:"items"`
		HasMore    bool   `json:"hasMore"`
		CurrentRev int64  `json:"currentRev"`
	}
	page.Items = []item{}
	sto.mu.Lock()
	page.CurrentRev = sto.rev
	for key, itm := range sto.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			page.Items = append(page.Items, itm)
		}
	}
	sto.mu.Unlock()
	slices.SortFunc(page.Items, func(one, two item) int { return strings.Compare(one.Key, two.Key) })
	if len(page.Items) > pageItems {
		page.Items, page.HasMore = page.Items[:pageItems], true
	}
	respond(wrt, http.StatusOK, page)
}

func (sto *store) watch(wrt http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, prefix := number(query.Get("after")), query.Get("prefix")
	timer := time.NewTimer(time.Duration(number(query.Get("waitMs"))) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		var page struct {
			Events     []item `json:"events"`
			CurrentRev int64  `json:"currentRev"`
		}
		page.Events = []item{}
		sto.mu.Lock()
		if after < sto.compacted {
			sto.mu.Unlock()
			wrt.WriteHeader(http.StatusGone)
			return
		}
		for _, itm := range sto.history {
			if itm.Rev > after && strings.HasPrefix(itm.Key, prefix) {
				page.Events = append(page.Events, itm)
			}
		}
		page.CurrentRev = sto.rev
		changed := sto.changed
		sto.mu.Unlock()
		if len(page.Events) > 0 || timedOut {
			respond(wrt, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-req.Context().Done():
			return
		}
	}
}

func (sto *store) txn(wrt http.ResponseWriter, req *http.Request) {
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
	failed := []item{}
	for _, exp := range body.Expect {
		if sto.items[exp.Key].Rev != exp.Rev {
			failed = append(failed, sto.items[exp.Key])
		}
	}
	if len(failed) > 0 {
		respond(wrt, http.StatusPreconditionFailed, map[string]any{"items": failed})
		return
	}
	for _, put := range body.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			wrt.WriteHeader(http.StatusForbidden)
			return
		}
		if put.Lease != 0 && sto.leases[put.Lease] == nil {
			wrt.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, put := range body.Puts {
		sto.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Deletes {
		sto.remove(key)
	}
	respond(wrt, http.StatusOK, map[string]int64{"rev": sto.rev})
}

func (sto *store) grant(wrt http.ResponseWriter, req *http.Request) {
	var body struct {
		TTL float64 `json:"ttlS_time"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil || body.TTL < 1 || body.TTL > 600 {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(body.TTL * float64(time.Second))
	sto.mu.Lock()
	sto.lastLease++
	id := sto.lastLease
	sto.leases[id] = &lease{
		ttl:     ttl,
		expires: time.Now().Add(ttl),
	}
	sto.mu.Unlock()
	respond(wrt, http.StatusOK, map[string]any{"lease": id, "ttlS_time": body.TTL})
}

func (sto *store) renew(wrt http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	lse, ok := sto.leases[number(req.PathValue("id"))]
	if ok {
		lse.expires = time.Now().Add(lse.ttl)
	}
	sto.mu.Unlock()
	if !ok {
		wrt.WriteHeader(http.StatusNotFound)
		return
	}
	respond(wrt, http.StatusOK, map[string]any{"ttlS_time": lse.ttl.Seconds()})
}

func (sto *store) revoke(wrt http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	_, ok := sto.leases[number(req.PathValue("id"))]
	sto.endLease(number(req.PathValue("id")))
	sto.mu.Unlock()
	if !ok {
		wrt.WriteHeader(http.StatusNotFound)
		return
	}
	respond(wrt, http.StatusOK, map[string]any{})
}

// size returns the number of bytes of a value.
func (sto *store) size(key string) (bytes int) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return len(sto.items[key].Value)
}
