package kvsrv

import (
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"cardamompass"
	"cardamompass/internal/stand/ctrl"
)

// maxWatchTime is the longest time that a watch waits.
const maxWatchTime = time.Minute

func (srv *Server) routes() http.Handler {
	rtr := ctrl.NewRouter()
	rtr.HandleFunc("/v1/kv/{key}", srv.call(KindWatch, srv.watch)).Methods(http.MethodGet).
		Queries("after-revision", "{after}", "wait-ms", "{wait}")
	rtr.HandleFunc("/v1/kv/{key}", srv.call(KindGet, srv.get)).Methods(http.MethodGet)
	rtr.HandleFunc("/v1/kv/{key}", srv.call(KindPut, srv.put)).Methods(http.MethodPut)
	rtr.HandleFunc("/v1/leases", srv.call(KindGrant, srv.grant)).Methods(http.MethodPost)
	rtr.HandleFunc("/v1/leases/{id}", srv.call(KindRenew, srv.renew)).Methods(http.MethodPut)
	rtr.HandleFunc("/v1/leases/{id}", srv.call(KindInspect, srv.inspect)).Methods(http.MethodGet)
	rtr.HandleFunc("/v1/leases/{id}", srv.call(KindRevoke, srv.revoke)).Methods(http.MethodDelete)

	rtr.HandleFunc("/control/faults", func(rsw http.ResponseWriter, _ *http.Request) {
		ctrl.WriteJSON(rsw, http.StatusOK, srv.Faults())
	}).Methods(http.MethodGet)
	rtr.HandleFunc("/control/faults", func(rsw http.ResponseWriter, req *http.Request) {
		var flt Faults
		if ctrl.ReadJSON(rsw, req, &flt) {
			srv.SetFaults(flt)
			ctrl.WriteJSON(rsw, http.StatusOK, flt)
		}
	}).Methods(http.MethodPut)
	rtr.HandleFunc("/control/counts", func(rsw http.ResponseWriter, _ *http.Request) {
		ctrl.WriteJSON(rsw, http.StatusOK, srv.Counts())
	}).Methods(http.MethodGet)
	rtr.HandleFunc("/control/counts", func(rsw http.ResponseWriter, _ *http.Request) {
		srv.ResetCounts()
		ctrl.WriteJSON(rsw, http.StatusOK, srv.Counts())
	}).Methods(http.MethodDelete)
	rtr.HandleFunc("/control/snapshot", func(rsw http.ResponseWriter, _ *http.Request) {
		ctrl.WriteJSON(rsw, http.StatusOK, srv.Snapshot())
	}).Methods(http.MethodGet)
	rtr.HandleFunc("/control/snapshot", func(rsw http.ResponseWriter, req *http.Request) {
		var snp Snapshot
		if ctrl.ReadJSON(rsw, req, &snp) {
			srv.Restore(snp)
			ctrl.WriteJSON(rsw, http.StatusOK, map[string]int64{"revision": snp.Revision})
		}
	}).Methods(http.MethodPut)
	return rtr
}

func (srv *Server) get(req *http.Request) reply {
	if !srv.delay(req.Context().Done()) {
		return reply{
			drop: true,
		}
	}
	srv.mut.Lock()
	defer srv.mut.Unlock()
	return srv.sta.get(ctrl.Var(req, "key"))
}

func (srv *Server) put(req *http.Request) reply {
	key := ctrl.Var(req, "key")
	want, err := strconv.ParseInt(req.Header.Get("If-Match"), 10, 64)
	if err != nil || want < 0 {
		return errorReply(http.StatusBadRequest, "invalid", "If-Match must be a revision")
	}
	var bdy struct {
		Value []byte `json:"value"`
	}
	// The base64 encoding of the largest value fits into twice its size, so a longer body holds a value that is too large.
	dat, err := io.ReadAll(io.LimitReader(req.Body, 2*cardamompass.MaxValueBytes+1))
	if err != nil {
		return reply{
			drop: true,
		}
	}
	if len(dat) > 2*cardamompass.MaxValueBytes {
		return errorReply(http.StatusRequestEntityTooLarge, "too-large", "the body is too long")
	}
	if err = json.Unmarshal(dat, &bdy); err != nil {
		return errorReply(http.StatusBadRequest, "invalid", err.Error())
	}
	return srv.applyWrite(key, func(time.Time) reply { return srv.sta.put(key, bdy.Value, want) })
}

func (srv *Server) watch(req *http.Request) reply {
	after, err := strconv.ParseInt(req.FormValue("after-revision"), 10, 64)
	if err != nil {
		return errorReply(http.StatusBadRequest, "invalid", "after-revision must be a revision")
	}
	wms, err := strconv.ParseInt(req.FormValue("wait-ms"), 10, 64)
	if err != nil || wms < 0 {
		return errorReply(http.StatusBadRequest, "invalid", "wait-ms must be a time")
	}
	don := req.Context().Done()
	if !srv.delay(don) {
		return reply{
			drop: true,
		}
	}
	wait := min(time.Duration(min(wms, maxWatchTime.Milliseconds()))*time.Millisecond, maxWatchTime)
	return srv.wait(ctrl.Var(req, "key"), after, wait, don)
}

func (srv *Server) wait(key string, after int64, wait time.Duration, don <-chan struct{}) reply {
	tmr := srv.clk.NewTimer(wait)
	defer tmr.Stop()
	for over := wait == 0; ; {
		rpl, chg, fin := srv.poll(key, after)
		if fin || over {
			return rpl
		}
		select {
		case <-chg:
		case <-tmr.C():
			over = true
		case <-don:
			return reply{
				drop: true,
			}
		case <-srv.end:
			return reply{
				drop: true,
			}
		}
	}
}

// poll returns the current reply to a watch, a channel that is closed when the state must be read again, and whether the
// watch is done.
func (srv *Server) poll(key string, after int64) (rpl reply, chg <-chan struct{}, done bool) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	if srv.flt.Outage {
		return reply{
			drop: true,
		}, nil, true
	}
	return srv.sta.get(key), srv.chg, srv.sta.Values[key].Revision > after
}

func (srv *Server) grant(req *http.Request) reply {
	var bdy struct {
		TTL int64 `json:"ttl-ms"`
	}
	dat, err := io.ReadAll(io.LimitReader(req.Body, ctrl.MaxBodyBytes))
	if err == nil {
		err = json.Unmarshal(dat, &bdy)
	}
	if err != nil || bdy.TTL <= 0 {
		return errorReply(http.StatusBadRequest, "invalid", "ttl-ms must be a positive time")
	}
	// Random ids stay unique after the restoration of an older state.
	id := cardamompass.LeaseID(rand.Text())
	return srv.applyWrite(leaseKey(id), func(now time.Time) reply {
		return srv.sta.grant(id, time.Duration(bdy.TTL)*time.Millisecond, now)
	})
}

func (srv *Server) renew(req *http.Request) reply {
	id := cardamompass.LeaseID(ctrl.Var(req, "id"))
	return srv.applyWrite(leaseKey(id), func(now time.Time) reply { return srv.sta.renew(id, now) })
}

func (srv *Server) revoke(req *http.Request) reply {
	id := cardamompass.LeaseID(ctrl.Var(req, "id"))
	return srv.applyWrite(leaseKey(id), func(now time.Time) reply { return srv.sta.revoke(id, now) })
}

func (srv *Server) inspect(req *http.Request) reply {
	if !srv.delay(req.Context().Done()) {
		return reply{
			drop: true,
		}
	}
	srv.mut.Lock()
	defer srv.mut.Unlock()
	return srv.sta.lease(cardamompass.LeaseID(ctrl.Var(req, "id")), srv.clk.Now())
}

func leaseKey(id cardamompass.LeaseID) string { return "leases/" + string(id) }
