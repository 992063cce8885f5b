//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the bound heartbeatIntervalS of the settings, beatRetry the pause after a heartbeat that the store did not take.
const (
	heartbeat = 1500 * time.Millisecond
	beatRetry = 100 * time.Millisecond
)

// endpoint is a stand-in of a server of a service.
type endpoint struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	born                       int64
	running                    atomic.Int64
	rec                        *record
	srv                        *http.Server
	stop                       chan struct{}
	beating                    sync.WaitGroup
	// gone is when the store has acknowledged the removal of the entry, in nanoseconds since the Unix epoch; 0 before.
	gone atomic.Int64
}

// newEndpoint starts an endpoint on a free port of an IP address.
func newEndpoint(rec *record, id, service, zone, ip string, slots int, work time.Duration) (enp *endpoint, err error) {
	lsn, err := net.Listen("tcp4", net.JoinHostPort(ip, "0")) //nolint:noctx // a stand-in
	if err != nil {
		return nil, err
	}
	enp = &endpoint{
		id:      id,
		service: service,
		zone:    zone,
		address: lsn.Addr().String(),
		slots:   slots,
		work:    work,
		born:    time.Now().UnixMilli(),
		rec:     rec,
		stop:    make(chan struct{}),
	}
	enp.srv = &http.Server{
		Handler:           enp,
		ReadHeaderTimeout: time.Minute,
		IdleTimeout:       10 * time.Second,
	}
	go func() { _ = enp.srv.Serve(lsn) }()
	return enp, nil
}

// register writes the entry of the endpoint to the store at each heartbeat. The entry changes when more than its sequence number changes,
// which is therefore left as it is.
func (enp *endpoint) register(sto *store) {
	enp.beating.Go(func() {
		for known := int64(0); ; {
			pause := beatRetry
			era, rev, ok := sto.put("servers/"+enp.id, map[string]any{
				"addr":   enp.address,
				"born":   enp.born,
				"info":   map[string]any{"service": enp.service, "version": "v1", "zone": enp.zone, "slots": enp.slots},
				"status": map[string]any{"state": "ready", "seq": 1, "coldLeftS": 0},
			})
			if ok {
				pause = heartbeat
			}
			if ok && era != known {
				known = era
				enp.rec.note("endpoint %s registered, era %d, store at revision %d", enp.id, era, rev)
			}
			select {
			case <-enp.stop:
				return
			case <-time.After(pause):
			}
		}
	})
}

// leave removes the entry, without a report that the endpoint is draining, serves for a time and then exits.
func (enp *endpoint) leave(sto *store, serving time.Duration) {
	close(enp.stop)
	enp.beating.Wait()
	rev, _ := sto.remove("servers/" + enp.id)
	enp.gone.Store(time.Now().UnixNano())
	enp.rec.note("entry of %s is removed, store at revision %d", enp.id, rev)
	time.Sleep(serving)
	_ = enp.srv.Close()
	enp.rec.note("endpoint %s exits", enp.id)
}

// ServeHTTP implements http.Handler.
func (enp *endpoint) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	wrt.Header().Set("Request-Id", id)
	if enp.gone.Load() != 0 {
		wrt.Header().Set("Server-Leaving", "1")
	}
	if want := req.Header.Get("Expect-Instance"); want != "" && want != enp.id {
		wrt.Header().Set("Instance-Id", enp.id)
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if int(enp.running.Load()) >= 4*enp.slots {
		wrt.Header().Set("Not-Executed", "1")
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	enp.running.Add(1)
	defer enp.running.Add(-1)
	enp.rec.ran(id, enp)
	time.Sleep(enp.work)
	body := "answer to " + id + "\n"
	wrt.Header().Set("Response-Seal", "seal-"+id)
	wrt.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", enp.running.Load()-1, enp.slots))
	wrt.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(wrt, body)
}

func (enp *endpoint) close() {
	if enp.gone.Load() == 0 {
		close(enp.stop)
	}
	_ = enp.srv.Close()
}
