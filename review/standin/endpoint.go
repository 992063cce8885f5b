package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// endpointConfig describes an endpoint, which may start several times.
type endpointConfig struct {
	service string
	zone    string
	slots   int
	work    time.Duration
	// restart is the time after a crash at which the endpoint is back. sameID makes it come back under its id.
	restart time.Duration
	sameID  bool
	// crashes reports whether a request crashes the endpoint as it begins to run it.
	crashes func(req *http.Request) bool
}

// run is a request that an endpoint began to run.
type run struct {
	id       string
	path     string
	endpoint string // id of the endpoint
	at       time.Time
	ended    string // "answered", "dropped" (its connection closed) or "crashed"; empty while it runs
}

// endpoint is a stand-in of a server. It runs slots requests at a time, queues three times as many and rejects more.
type endpoint struct {
	cfg     endpointConfig
	flt     *fleet
	number  int
	address string

	mu      sync.Mutex
	id      string
	born    int64
	starts  int
	state   string
	cold    time.Time // end of the cold time
	beats   int
	last    string // registration as last written, without its sequence number
	lsn     net.Listener
	conns   map[net.Conn]bool
	up      bool
	running int
	waiting int
	gone    chan struct{} // closed when this start ends
}

func (flt *fleet) newEndpoint(cfg endpointConfig) (edp *endpoint, err error) {
	edp = &endpoint{
		cfg:    cfg,
		flt:    flt,
		number: len(flt.endpoints) + 1,
	}
	edp.address = fmt.Sprintf("%s%d:0", flt.network, 100+edp.number)
	if err = edp.start(); err != nil {
		return nil, err
	}
	flt.endpoints = append(flt.endpoints, edp)
	go edp.beat()
	return edp, nil
}

// start begins a new start of the endpoint.
func (edp *endpoint) start() (err error) {
	lsn, err := net.Listen("tcp", edp.address)
	if err != nil {
		return err
	}
	edp.mu.Lock()
	edp.address = lsn.Addr().String()
	edp.starts++
	if edp.id == "" || !edp.cfg.sameID {
		edp.id = fmt.Sprintf("i-%03d%03d", edp.number, edp.starts)
	}
	edp.born = time.Now().UnixMilli()
	edp.state, edp.beats, edp.last = "ready", 0, ""
	if edp.starts > 1 {
		edp.cold = time.Now().Add(coldStart)
	}
	edp.lsn, edp.conns, edp.up = lsn, make(map[net.Conn]bool), true
	edp.running, edp.waiting = 0, 0
	edp.gone = make(chan struct{})
	edp.mu.Unlock()
	srv := &http.Server{
		Handler:     http.HandlerFunc(edp.serve),
		IdleTimeout: 10 * time.Second,
		ConnState: func(con net.Conn, sta http.ConnState) {
			edp.mu.Lock()
			defer edp.mu.Unlock()
			switch sta {
			case http.StateNew:
				edp.conns[con] = true
			case http.StateClosed, http.StateHijacked:
				delete(edp.conns, con)
			}
		},
	}
	go func() { _ = srv.Serve(lsn) }()
	edp.register()
	edp.flt.rec.add("endpoint %s started at %s", edp.id, edp.address)
	return nil
}

// beat writes the registration as often as endpoints do.
func (edp *endpoint) beat() {
	for {
		time.Sleep(heartbeatInterval)
		edp.register()
	}
}

// register writes the registration. A change of the sequence number alone changes no entry.
func (edp *endpoint) register() {
	edp.mu.Lock()
	defer edp.mu.Unlock()
	if !edp.up || edp.state == "removed" {
		return
	}
	edp.beats++
	cold := max(0, time.Until(edp.cold).Seconds())
	if text := fmt.Sprintf("%s %.3f", edp.state, cold); text != edp.last {
		edp.last = text
		edp.flt.sto.put("servers/"+edp.id, edp.entry(cold, true))
	}
}

// entry returns a registration. One without born lacks the time of the start.
func (edp *endpoint) entry(cold float64, born bool) (value map[string]any) {
	value = map[string]any{
		"addr": edp.address,
		"info": map[string]any{
			"service": edp.cfg.service,
			"version": "v1",
			"zone":    edp.cfg.zone,
			"slots":   edp.cfg.slots,
		},
		"status": map[string]any{
			"state":     "ready",
			"seq":       edp.beats,
			"coldLeftS": cold,
		},
	}
	if born {
		value["born"] = edp.born
	}
	return value
}

// crash ends the start: the listener closes and all connections are reset. The entry lapses if the endpoint doesn't come back.
func (edp *endpoint) crash() {
	edp.mu.Lock()
	if !edp.up {
		edp.mu.Unlock()
		return
	}
	edp.end()
	id := edp.id
	edp.mu.Unlock()
	edp.flt.rec.add("endpoint %s crashed", id)
	if !edp.cfg.sameID {
		time.AfterFunc(3*heartbeatInterval, func() { edp.flt.sto.delete("servers/" + id) })
	}
	time.AfterFunc(edp.cfg.restart, func() {
		if err := edp.start(); err != nil {
			edp.flt.rec.add("endpoint %s is not back: %v", id, err)
		}
	})
}

// end closes the listener and resets the connections. The caller holds the mutex.
func (edp *endpoint) end() {
	edp.up = false
	close(edp.gone)
	_ = edp.lsn.Close()
	for con := range edp.conns {
		if tcp, ok := con.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = con.Close()
	}
}

// leave removes the registration without a state of draining, serves for a time and ends. Its answers say meanwhile that it leaves. Its
// last requests are lost if they run then.
func (edp *endpoint) leave(serve time.Duration) (left time.Time) {
	edp.mu.Lock()
	edp.state = "removed"
	id := edp.id
	edp.mu.Unlock()
	edp.flt.sto.delete("servers/" + id)
	left = time.Now()
	edp.flt.rec.add("endpoint %s left: its entry is removed", id)
	time.AfterFunc(serve, func() {
		edp.mu.Lock()
		defer edp.mu.Unlock()
		edp.end()
		edp.flt.rec.add("endpoint %s ended", id)
	})
	return left
}

func (edp *endpoint) serve(wrt http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	edp.mu.Lock()
	self, gone := edp.id, edp.gone
	edp.mu.Unlock()
	wrt.Header().Set("Request-Id", id)
	wrt.Header().Set("Instance-Id", self)
	wrt.Header().Set("Keep-Alive", "timeout=10")
	edp.sayLeaving(wrt.Header())
	if want := req.Header.Get("Expect-Instance"); want != "" && want != self {
		edp.flt.rec.add("endpoint %s rejects %s with 421", self, id)
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		wrt.Header().Set("Not-Executed", "1")
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	edp.flt.rec.add("request %s reaches endpoint %s", id, self)
	edp.flt.arrived(id, self)
	if !edp.enter(req.Context()) {
		wrt.Header().Set("Not-Executed", "1")
		wrt.WriteHeader(http.StatusServiceUnavailable)
		edp.flt.rec.add("endpoint %s rejects %s with 503", self, id)
		return
	}
	defer edp.exit()
	rnn := edp.flt.began(run{
		id:       id,
		path:     req.URL.Path,
		endpoint: self,
		at:       time.Now(),
	})
	edp.flt.rec.add("endpoint %s runs %s", self, id)
	if edp.cfg.crashes != nil && edp.cfg.crashes(req) {
		edp.flt.ended(rnn, "crashed")
		edp.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(edp.cfg.work):
	case <-gone:
		edp.flt.ended(rnn, "crashed")
		edp.flt.rec.add("endpoint %s loses %s", self, id)
		panic(http.ErrAbortHandler)
	case <-req.Context().Done():
		edp.flt.ended(rnn, "dropped")
		edp.flt.rec.add("endpoint %s drops %s", self, id)
		return
	}
	edp.flt.ended(rnn, "answered")
	edp.sayLeaving(wrt.Header())
	body := answerBody(id)
	wrt.Header().Set("Response-Seal", seal(id))
	wrt.Header().Set("Server-Load", edp.load())
	wrt.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(wrt, body)
	edp.flt.rec.add("endpoint %s answers %s", self, id)
}

// sayLeaving adds the header that all answers of an endpoint that leaves have.
func (edp *endpoint) sayLeaving(hdr http.Header) {
	edp.mu.Lock()
	defer edp.mu.Unlock()
	if edp.state == "removed" {
		hdr.Set("Server-Leaving", "1")
	}
}

// enter waits for a slot and reports whether the request may run.
func (edp *endpoint) enter(ctx context.Context) (ok bool) {
	edp.mu.Lock()
	if edp.running+edp.waiting >= 4*edp.cfg.slots {
		edp.mu.Unlock()
		return false
	}
	edp.waiting++
	edp.mu.Unlock()
	for {
		edp.mu.Lock()
		if edp.running < edp.cfg.slots || ctx.Err() != nil || !edp.up {
			edp.waiting--
			if ok = ctx.Err() == nil && edp.up; ok {
				edp.running++
			}
			edp.mu.Unlock()
			return ok
		}
		edp.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

func (edp *endpoint) exit() {
	edp.mu.Lock()
	defer edp.mu.Unlock()
	edp.running = max(0, edp.running-1)
}

func (edp *endpoint) load() (text string) {
	edp.mu.Lock()
	defer edp.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", max(0, edp.running-1), edp.waiting, edp.cfg.slots)
}

func seal(id string) string { return "seal." + id }

func answerBody(id string) string { return "answer to " + id + strings.Repeat(".", 400) + "\n" }
