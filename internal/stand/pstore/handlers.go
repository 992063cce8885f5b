package pstore

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"cardamompass/internal/stand/ctrl"
)

func (sto *Store) get(wrt http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	itm, ok := sto.items[req.URL.Query().Get("key")]
	if !ok {
		wrt.WriteHeader(http.StatusNotFound)
		return
	}
	ctrl.WriteJSON(wrt, http.StatusOK, struct {
		item
		CurrentRev int64 `json:"currentRev"`
	}{
		item:       itm,
		CurrentRev: sto.rev,
	})
}

func (sto *Store) list(wrt http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	query := req.URL.Query()
	var page struct {
		Items      []item `json:"items"`
		HasMore    bool   `json:"hasMore"`
		CurrentRev int64  `json:"currentRev"`
	}
	page.Items = []item{}
	page.CurrentRev = sto.rev
	for key, itm := range sto.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			page.Items = append(page.Items, itm)
		}
	}
	slices.SortFunc(page.Items, func(one, two item) int { return strings.Compare(one.Key, two.Key) })
	if len(page.Items) > pageItems {
		page.Items, page.HasMore = page.Items[:pageItems], true
	}
	ctrl.WriteJSON(wrt, http.StatusOK, page)
}

func (sto *Store) watch(wrt http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, prefix := parseNumber(query.Get("after")), query.Get("prefix")
	timer := time.NewTimer(watchWait(req))
	defer timer.Stop()
	if sto.deafWatch() {
		select {
		case <-timer.C:
			timer.Reset(0)
		case <-req.Context().Done():
			return
		}
	}
	era := wrt.Header().Get("Store-Era")
	for timedOut := false; ; {
		sto.mu.Lock()
		if sto.faults.Outage {
			sto.mu.Unlock()
			ctrl.Abort()
		}
		if era != strconv.FormatInt(sto.era, 10) { // the store came back from a copy
			sto.mu.Unlock()
			<-req.Context().Done()
			ctrl.Abort()
		}
		if after < sto.compactedRev || after > sto.rev {
			sto.mu.Unlock()
			wrt.WriteHeader(http.StatusGone)
			return
		}
		var events []event
		for _, evt := range sto.history {
			if evt.rev > after && strings.HasPrefix(evt.key, prefix) {
				events = append(events, evt)
			}
		}
		rev, changed := sto.rev, sto.changed
		if len(events) > watchEvents {
			events = events[:watchEvents]
			rev = events[watchEvents-1].rev
		}
		sto.mu.Unlock()
		if len(events) > 0 || timedOut {
			writeEvents(wrt, events, rev)
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

// watchWait returns how long the store may hold a watch without changes.
func watchWait(req *http.Request) (wait time.Duration) {
	return time.Duration(parseNumber(req.URL.Query().Get("waitMs"))) * time.Millisecond
}

// deafWatch reports whether a watch that arrives now is deaf.
func (sto *Store) deafWatch() (ok bool) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if sto.faults.DeafWatches {
		sto.silenced.Add(1)
	}
	return sto.faults.DeafWatches
}

// writeEvents writes the response to a watch.
func writeEvents(wrt http.ResponseWriter, events []event, rev int64) {
	wrt.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(wrt, `{"events":[`) // a caller that has disconnected asks again
	for num, evt := range events {
		if num > 0 {
			_, _ = io.WriteString(wrt, ",")
		}
		_, _ = wrt.Write(evt.encoded)
	}
	_, _ = fmt.Fprintf(wrt, `],"currentRev":%d}`, rev)
}

func (sto *Store) txn(wrt http.ResponseWriter, req *http.Request) {
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
	if !ctrl.ReadJSON(wrt, req, &body) {
		return
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	for _, exp := range body.Expect {
		if sto.items[exp.Key].Rev != exp.Rev {
			ctrl.WriteJSON(wrt, http.StatusPreconditionFailed, map[string]any{
				"items": []item{sto.items[exp.Key]},
			})
			return
		}
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
	ctrl.WriteJSON(wrt, http.StatusOK, map[string]int64{
		"rev": sto.rev,
	})
}

func (sto *Store) grant(wrt http.ResponseWriter, req *http.Request) {
	var body struct {
		TTL float64 `json:"ttlS_time"`
	}
	if !ctrl.ReadJSON(wrt, req, &body) {
		return
	}
	if body.TTL < 1 {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.lastLeaseID++
	ttl := time.Duration(body.TTL * float64(time.Second))
	sto.leases[sto.lastLeaseID] = &lease{
		ttl:       ttl,
		expiresAt: time.Now().Add(ttl),
	}
	ctrl.WriteJSON(wrt, http.StatusOK, map[string]any{
		"lease":     sto.lastLeaseID,
		"ttlS_time": body.TTL,
	})
}

func (sto *Store) renew(wrt http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	lse, ok := sto.leases[parseNumber(mux.Vars(req)["id"])]
	if !ok {
		wrt.WriteHeader(http.StatusNotFound)
		return
	}
	sto.renewed = time.Now()
	lse.expiresAt = sto.renewed.Add(lse.ttl)
	ctrl.WriteJSON(wrt, http.StatusOK, map[string]any{
		"ttlS_time": lse.ttl.Seconds(),
	})
}

func (sto *Store) revoke(wrt http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.removeLease(parseNumber(mux.Vars(req)["id"]))
	wrt.WriteHeader(http.StatusOK)
}
