//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// endpointSettings describe an endpoint.
type endpointSettings struct {
	slots int
	work  time.Duration
	// down is how long it takes until an endpoint is back after a crash. sameID keeps its id, else it comes back with a new one.
	down   time.Duration
	sameID bool
	// coldCrash is the number of requests in a second at which a cold endpoint crashes; 0 for never.
	coldCrash int
}

// arrival is a request that reached an endpoint and was not answered with 421.
type arrival struct {
	id, path, endpoint string
	at                 time.Time
	cold               bool
	crashed            bool // the endpoint crashed on it
	answered           bool // only set for downloads
}

// endpoint is an endpoint of the service. It may crash and start again.
type endpoint struct {
	sit *site
	set endpointSettings

	mu        sync.Mutex
	id        string
	addr      string
	zone      string
	born      time.Time
	seq       int
	coldUntil time.Time
	grey      float64 // the share of requests that it fails
	srv       *http.Server
	slots     chan struct{}
	waiting   int
	running   int
	arrivals  []arrival
	recent    []time.Time // arrivals of the last second
	gone      bool
	stopped   chan struct{}
	ended     sync.WaitGroup
}

// lastID is the number of the last id.
var lastID atomic.Int64

func newID() (id string) { return fmt.Sprintf("i-%08x", lastID.Add(1)*7919) }

// addEndpoint starts an endpoint and registers it.
func (sit *site) addEndpoint(set endpointSettings) (edp *endpoint, err error) {
	edp = &endpoint{
		sit:     sit,
		set:     set,
		id:      newID(),
		addr:    sit.network + "210:0",
		zone:    zones[len(sit.endpoints)%len(zones)],
		stopped: make(chan struct{}),
	}
	if err = edp.listen(); err != nil {
		return nil, err
	}
	edp.register()
	edp.ended.Add(1)
	go func() {
		defer edp.ended.Done()
		edp.beat()
	}()
	sit.endpoints = append(sit.endpoints, edp)
	return edp, nil
}

// listen opens the listener and begins a new start.
func (edp *endpoint) listen() (err error) {
	lsn, err := new(net.ListenConfig).Listen(context.Background(), "tcp", edp.addr)
	if err != nil {
		return err
	}
	edp.mu.Lock()
	defer edp.mu.Unlock()
	edp.addr = lsn.Addr().String()
	edp.born = time.Now()
	edp.seq = 0
	edp.slots = make(chan struct{}, edp.set.slots)
	edp.waiting, edp.running = 0, 0
	edp.recent = nil
	id := edp.id
	edp.srv = &http.Server{
		Handler:           http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) { edp.serve(wrt, req, id) }),
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       10 * time.Second,
	}
	srv := edp.srv
	edp.ended.Add(1)
	go func() {
		defer edp.ended.Done()
		_ = srv.Serve(lsn)
	}()
	return nil
}

// register writes the entry as it is now.
func (edp *endpoint) register() {
	edp.mu.Lock()
	defer edp.mu.Unlock()
	if edp.gone || edp.srv == nil {
		return
	}
	edp.seq++
	left := max(0, time.Until(edp.coldUntil).Seconds())
	edp.sit.store.Put("servers/"+edp.id, map[string]any{
		"addr": edp.addr,
		"born": edp.born.UnixMilli(),
		"info": map[string]any{
			"service": service,
			"version": "v1",
			"zone":    edp.zone,
			"slots":   edp.set.slots,
		},
		"status": map[string]any{
			"state":     "ready",
			"seq":       edp.seq,
			"coldLeftS": left,
		},
	})
}

func (edp *endpoint) beat() {
	tck := time.NewTicker(heartbeat)
	defer tck.Stop()
	for {
		select {
		case <-edp.stopped:
			return
		case <-tck.C:
			edp.register()
		}
	}
}

// stop ends the endpoint for good.
func (edp *endpoint) stop() {
	edp.mu.Lock()
	srv, gone := edp.srv, edp.gone
	edp.gone = true
	edp.srv = nil
	edp.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
	if !gone {
		close(edp.stopped)
	}
	edp.ended.Wait()
}

// becomeCold makes the endpoint cold from now on and writes that to its entry at once.
func (edp *endpoint) becomeCold() {
	edp.mu.Lock()
	edp.coldUntil = time.Now().Add(coldStart)
	edp.recent = nil
	edp.sit.rec.add("endpoint %s becomes cold for %v and says so in its entry", edp.id, coldStart)
	edp.mu.Unlock()
	edp.register()
}

// crash closes the listener and all connections. The endpoint comes back after the time of its settings, cold.
func (edp *endpoint) crash(why string) {
	edp.mu.Lock()
	srv, id := edp.srv, edp.id
	if srv == nil {
		edp.mu.Unlock()
		return
	}
	edp.srv = nil
	edp.mu.Unlock()
	edp.sit.rec.add("endpoint %s crashes: %s", id, why)
	_ = srv.Close()
	edp.ended.Add(1)
	go func() {
		defer edp.ended.Done()
		select {
		case <-edp.stopped:
			return
		case <-time.After(edp.set.down):
		}
		edp.restart()
	}()
}

func (edp *endpoint) restart() {
	edp.mu.Lock()
	if edp.gone {
		edp.mu.Unlock()
		return
	}
	old := edp.id
	if !edp.set.sameID {
		edp.id = newID()
	}
	edp.coldUntil = time.Now().Add(coldStart)
	edp.mu.Unlock()
	if err := edp.listen(); err != nil {
		edp.sit.rec.add("endpoint %s does not start: %v", old, err)
		return
	}
	edp.sit.rec.add("endpoint %s starts again as %s, cold for %v", old, edp.id, coldStart)
	edp.register()
	if old != edp.id { // its former entry ends after three heartbeats without a sign of life
		edp.ended.Add(1)
		go func() {
			defer edp.ended.Done()
			select {
			case <-edp.stopped:
			case <-time.After(max(0, 3*heartbeat-edp.set.down)):
				edp.sit.store.Delete("servers/" + old)
			}
		}()
	}
}

// poison is the begin of the paths whose requests crash each endpoint that begins to run them.
const poison = "/get/crash-"

// download is the begin of the paths of downloads, downloadBytes the size of their answers, the largest of mbmu-rain.
const (
	download      = "/file/"
	downloadBytes = 540000
)

// serve answers a request at the start of the endpoint that had an id.
func (edp *endpoint) serve(wrt http.ResponseWriter, req *http.Request, id string) {
	rid := req.Header.Get("Request-Id")
	wrt.Header().Set("Instance-Id", id)
	if rid != "" {
		wrt.Header().Set("Request-Id", rid)
	}
	cold := edp.setCold(wrt)
	if req.URL.Path == "/healthz" {
		edp.setLoad(wrt)
		wrt.WriteHeader(http.StatusOK)
		return
	}
	if want := req.Header.Get("Expect-Instance"); want != "" && want != id {
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	wrt.Header().Set("Keep-Alive", "timeout=10")
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	num, crowd := edp.arrive(rid, req.URL.Path, id, cold)
	if edp.set.coldCrash > 0 && cold && crowd >= edp.set.coldCrash {
		edp.crash(fmt.Sprintf("%d requests in a second while cold", crowd))
		panic(http.ErrAbortHandler)
	}
	if !edp.takeSlot(req) {
		wrt.Header().Set("Not-Executed", "1")
		edp.setLoad(wrt)
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer edp.leaveSlot()
	edp.sit.rec.add("endpoint %s runs %s %s", id, rid, req.URL.Path)
	edp.work(wrt, req, num, cold)
}

// work runs the request of an arrival.
func (edp *endpoint) work(wrt http.ResponseWriter, req *http.Request, num int, cold bool) {
	edp.mu.Lock()
	rid, id := edp.arrivals[num].id, edp.arrivals[num].endpoint
	fails := rand.Float64() < edp.grey
	edp.mu.Unlock()
	if fails {
		edp.sit.rec.add("endpoint %s fails %s", id, rid)
		edp.respond(wrt, rid, http.StatusInternalServerError)
		return
	}
	if strings.HasPrefix(req.URL.Path, poison) {
		time.Sleep(5 * time.Millisecond)
		edp.update(num, func(arr *arrival) { arr.crashed = true })
		edp.crash("request " + rid + " " + req.URL.Path)
		panic(http.ErrAbortHandler)
	}
	dur := edp.set.work
	if cold {
		dur *= 2
	}
	select {
	case <-time.After(dur):
	case <-req.Context().Done():
		return
	}
	if !strings.HasPrefix(req.URL.Path, download) {
		edp.respond(wrt, rid, http.StatusOK)
		return
	}
	edp.setLoad(wrt)
	wrt.Header().Set("Response-Seal", "seal-"+rid)
	wrt.Header().Set("Content-Length", fmt.Sprint(downloadBytes))
	_, err := wrt.Write(make([]byte, downloadBytes))
	edp.sit.rec.add("endpoint %s answered %s with %d bytes, error %v", id, rid, downloadBytes, err)
	edp.update(num, func(arr *arrival) { arr.answered = err == nil })
}

// update changes the record of an arrival.
func (edp *endpoint) update(num int, change func(arr *arrival)) {
	edp.mu.Lock()
	defer edp.mu.Unlock()
	change(&edp.arrivals[num])
}

// setCold states for how long the endpoint stays cold and reports whether it is cold.
func (edp *endpoint) setCold(wrt http.ResponseWriter) (cold bool) {
	edp.mu.Lock()
	defer edp.mu.Unlock()
	left := time.Until(edp.coldUntil)
	if left <= 0 {
		return false
	}
	wrt.Header().Set("Cold-Ms", fmt.Sprint(left.Milliseconds()))
	return true
}

func (edp *endpoint) respond(wrt http.ResponseWriter, rid string, status int) {
	edp.setLoad(wrt)
	wrt.Header().Set("Response-Seal", "seal-"+rid)
	wrt.WriteHeader(status)
	_, _ = io.WriteString(wrt, "answer to "+rid+"\n")
}

// arrive records an arrival. It returns its number and the number of arrivals within the last second.
func (edp *endpoint) arrive(rid, path, id string, cold bool) (num, crowd int) {
	now := time.Now()
	edp.mu.Lock()
	defer edp.mu.Unlock()
	edp.arrivals = append(edp.arrivals, arrival{
		id:       rid,
		path:     path,
		endpoint: id,
		at:       now,
		cold:     cold,
	})
	kept := edp.recent[:0]
	for _, tim := range edp.recent {
		if now.Sub(tim) < time.Second {
			kept = append(kept, tim)
		}
	}
	edp.recent = append(kept, now)
	return len(edp.arrivals) - 1, len(edp.recent)
}

// takeSlot waits for a slot. It returns false if the queue is full or the request's time has passed.
func (edp *endpoint) takeSlot(req *http.Request) (ok bool) {
	edp.mu.Lock()
	slots := edp.slots
	if edp.waiting >= 3*edp.set.slots {
		edp.mu.Unlock()
		return false
	}
	edp.waiting++
	edp.mu.Unlock()
	millis := 3000
	_, _ = fmt.Sscan(req.Header.Get("Timeout-Ms"), &millis)
	select {
	case slots <- struct{}{}:
		ok = true
	case <-time.After(time.Duration(millis) * time.Millisecond):
	case <-req.Context().Done():
	}
	edp.mu.Lock()
	defer edp.mu.Unlock()
	edp.waiting = max(0, edp.waiting-1)
	if ok {
		edp.running++
	}
	return ok
}

func (edp *endpoint) leaveSlot() {
	edp.mu.Lock()
	defer edp.mu.Unlock()
	edp.running = max(0, edp.running-1)
	select {
	case <-edp.slots:
	default: // the slot was that of an earlier start
	}
}

func (edp *endpoint) setLoad(wrt http.ResponseWriter) {
	edp.mu.Lock()
	defer edp.mu.Unlock()
	wrt.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", edp.running, edp.waiting, edp.set.slots))
}

// setGrey sets the share of requests that the endpoint fails with status 500.
func (edp *endpoint) setGrey(share float64) {
	edp.mu.Lock()
	defer edp.mu.Unlock()
	edp.grey = share
}

// allArrivals returns the arrivals at all endpoints.
func (sit *site) allArrivals() (all []arrival) {
	for _, edp := range sit.endpoints {
		edp.mu.Lock()
		all = append(all, edp.arrivals...)
		edp.mu.Unlock()
	}
	return all
}
