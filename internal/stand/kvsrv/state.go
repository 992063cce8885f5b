package kvsrv

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"cardamompass"
	"cardamompass/internal/stand/ctrl"
)

// Value is a stored value. Its JSON encoding is also the store's reply.
type Value struct {
	Key      string `json:"key"`
	Data     []byte `json:"value"`
	Revision int64  `json:"revision"`
}

// Lease is a stored lease.
type Lease struct {
	TTL       time.Duration `json:"ttl-ns"`
	ExpiresAt time.Time     `json:"end"`
}

// Snapshot is the complete state of the store at one point in time. It is immutable.
type Snapshot struct {
	Revision int64                          `json:"revision"`
	Values   map[string]Value               `json:"values"`
	Leases   map[cardamompass.LeaseID]Lease `json:"leases"`
}

// state is a mutable Snapshot. Data slices are not modified after they were stored.
type state struct {
	Snapshot
}

func newState() state {
	return Snapshot{}.state()
}

func (snp Snapshot) state() state {
	sta := state{
		Snapshot: Snapshot{
			Revision: snp.Revision,
			Values:   map[string]Value{},
			Leases:   map[cardamompass.LeaseID]Lease{},
		},
	}
	maps.Copy(sta.Values, snp.Values)
	maps.Copy(sta.Leases, snp.Leases)
	return sta
}

func (sta *state) snapshot() Snapshot {
	return Snapshot{
		Revision: sta.Revision,
		Values:   maps.Clone(sta.Values),
		Leases:   maps.Clone(sta.Leases),
	}
}

func (sta *state) put(key string, dat []byte, want int64) reply {
	if len(dat) > cardamompass.MaxValueBytes {
		return errorReply(http.StatusRequestEntityTooLarge, "too-large", strconv.Itoa(len(dat))+" bytes")
	}
	hav := sta.Values[key].Revision
	if hav != want {
		return reply{
			status: http.StatusPreconditionFailed,
			body: ctrl.ErrorBody{
				Error:    "conflict",
				Reason:   "the key has another revision",
				Revision: &hav,
			},
		}
	}
	sta.Revision++
	sta.Values[key] = Value{
		Key:      key,
		Data:     dat,
		Revision: sta.Revision,
	}
	return reply{
		status: http.StatusOK,
		body: map[string]any{
			"key":      key,
			"revision": sta.Revision,
		},
	}
}

func (sta *state) get(key string) reply {
	val, ok := sta.Values[key]
	if !ok {
		return errorReply(http.StatusNotFound, "not-found", "no such key")
	}
	return reply{
		status: http.StatusOK,
		body:   val,
	}
}

// lease returns the reply for a lease, status 404 if it has expired.
func (sta *state) lease(id cardamompass.LeaseID, now time.Time) reply {
	lse, ok := sta.Leases[id]
	if !ok || !now.Before(lse.ExpiresAt) {
		return errorReply(http.StatusNotFound, "not-found", "no such live lease")
	}
	return reply{
		status: http.StatusOK,
		body: map[string]any{
			"id":           id,
			"ttl-ms":       lse.TTL.Milliseconds(),
			"remaining-ms": lse.ExpiresAt.Sub(now).Milliseconds(),
		},
	}
}

func (sta *state) grant(id cardamompass.LeaseID, ttl time.Duration, now time.Time) reply {
	sta.Leases[id] = Lease{
		TTL:       ttl,
		ExpiresAt: now.Add(ttl),
	}
	return sta.lease(id, now)
}

func (sta *state) renew(id cardamompass.LeaseID, now time.Time) reply {
	rpl := sta.lease(id, now)
	if rpl.status != http.StatusOK {
		return rpl
	}
	return sta.grant(id, sta.Leases[id].TTL, now)
}

func (sta *state) revoke(id cardamompass.LeaseID, now time.Time) reply {
	rpl := sta.lease(id, now)
	delete(sta.Leases, id)
	return rpl
}
