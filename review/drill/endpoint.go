//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the bound heartbeatIntervalS of the settings, beatRetry the pause after a heartbeat that the store did not take.
const (
	heartbeat = 1500 * time.Millisecond
	beatRetry = 100 * time.Millisecond
)

// pullBytes is the size of the answers on the route /pull/, the mean of firmware-pull on the small site.
const pullBytes = 90000

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
	// crashes reports whether the endpoint crashes while it answers a request; nil if none does that. onCrash is called then.
	crashes func(req *http.Request) (ok bool)
	onCrash func(id string)
	// crashEarly makes it crash before it answers.
	crashEarly bool
	// keeps is set if the endpoint goes on with a request whose connection was closed; most drop it.
	keeps   bool
	ended   sync.Once
	crashed atomic.Bool
	// coldUntil is the end of the time in which the endpoint is cold.
	coldUntil time.Time
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
				"status": map[string]any{"state": "ready", "seq": 1, "coldLeftS": enp.coldLeft()},
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
	rev := sto.remove("servers/" + enp.id)
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
	if enp.crashed.Load() {
		panic(http.ErrAbortHandler) // read when the endpoint crashed
	}
	enp.running.Add(1)
	defer enp.running.Add(-1)
	enp.rec.ran(id, enp)
	if !enp.works(req) {
		return
	}
	body := "answer to " + id + "\n"
	if strings.HasPrefix(req.URL.Path, "/pull/") {
		body = strings.Repeat(body, pullBytes/len(body))
	}
	wrt.Header().Set("Response-Seal", "seal-"+id)
	wrt.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", enp.running.Load()-1, enp.slots))
	wrt.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if enp.crashes != nil && enp.crashes(req) {
		if enp.crashEarly {
			enp.crash(id)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(wrt, body[:len(body)/2])
		_ = http.NewResponseController(wrt).Flush()
		enp.crash(id)
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(wrt, body)
}

// works waits until the work of a request is done, and reports false if the endpoint dropped it before.
func (enp *endpoint) works(req *http.Request) (ok bool) {
	tmr := time.NewTimer(enp.work)
	defer tmr.Stop()
	dropped := req.Context().Done()
	if enp.keeps {
		dropped = nil
	}
	select {
	case <-tmr.C:
		return true
	case <-dropped:
		return false
	}
}

// coldLeft returns how many seconds the endpoint stays cold.
func (enp *endpoint) coldLeft() (seconds float64) {
	return max(0, time.Until(enp.coldUntil).Round(time.Millisecond).Seconds())
}

// crash ends the endpoint, with all that it runs.
func (enp *endpoint) crash(id string) {
	enp.ended.Do(func() {
		enp.crashed.Store(true)
		enp.rec.note("%s crashes while it answers %s; %d requests run there", enp.id, id, enp.running.Load())
		close(enp.stop)
		_ = enp.srv.Close()
		enp.onCrash(id)
	})
}

func (enp *endpoint) close() {
	if enp.gone.Load() == 0 && !enp.crashed.Load() {
		close(enp.stop)
	}
	_ = enp.srv.Close()
}
