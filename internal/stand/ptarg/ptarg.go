// Package ptarg is a stand-in of a target on the users' platform for tests. It speaks the published protocol: it echoes the request's
// id, signs its answers, states its load, refuses requests that expect another instance and sheds what it has no room for.
//
// Faults are set for all coming requests by SetFault. Every run is recorded by the id of its request.
package ptarg

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what a target does wrong with an answer.
type Fault string

// The faults of answers.
const (
	// FaultNone is a proper answer.
	FaultNone Fault = ""
	// FaultReset runs the request and resets the connection.
	FaultReset Fault = "reset"
	// FaultTruncated ends the connection in the middle of the body.
	FaultTruncated Fault = "cut"
	// FaultGarbage sends bytes that are no answer.
	FaultGarbage Fault = "garbage"
	// FaultDuplicated sends the answer a second time a little later.
	FaultDuplicated Fault = "twice"
	// FaultUnframed sends an answer without a length that ends with the connection.
	FaultUnframed Fault = "unframed"
	// FaultError answers 500.
	FaultError Fault = "error"
	// FaultShed answers 503 and does not run the request.
	FaultShed Fault = "shed"
	// FaultFalse503 runs the request and answers 503 without the promise that it has not.
	FaultFalse503 Fault = "false-503"
	// FaultCompressed sends a body with a content encoding.
	FaultCompressed Fault = "compressed"
	// FaultUnsigned sends a success without a signature.
	FaultUnsigned Fault = "unsigned"
	// FaultEarly answers before the body of the request is read.
	FaultEarly Fault = "early"
	// FaultNoResponse runs the request and never answers.
	FaultNoResponse Fault = "silent"
)

// Config configures a Target.
type Config struct {
	// ID is the id of the instance.
	ID string
	// Address is where it listens; port 0 for any.
	Address string
	// Slots is the number of requests that it runs at a time.
	Slots int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
}

// Run is one request that a target began to work on.
type Run struct {
	ID, Method, Path, Body, Timeout string
	At                              time.Time
}

// Target is the stand-in. It is safe for concurrent use.
type Target struct {
	cfg     Config
	address string
	running atomic.Int64

	mu    sync.Mutex
	fault Fault
	runs  []Run
	conns int
	// rest is the time after which an idle connection is forgotten, 0 for never; rested has the idle connections.
	rest   time.Duration
	rested map[net.Conn]time.Time
}

// New starts a target and returns the function that ends it.
func New(cfg Config) (tgt *Target, cleanup func(), err error) {
	lsn, err := new(net.ListenConfig).Listen(context.Background(), "tcp", cfg.Address)
	if err != nil {
		return nil, nil, err
	}
	tgt = &Target{
		cfg:     cfg,
		address: lsn.Addr().String(),
		rested:  make(map[net.Conn]time.Time),
	}
	srv := &http.Server{
		Handler:           tgt,
		ReadHeaderTimeout: time.Minute,
		ConnState:         tgt.connState,
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = srv.Serve(lsn) })
	return tgt, func() {
		_ = srv.Close()
		serving.Wait()
	}, nil
}

// Address returns host:port of the target.
func (tgt *Target) Address() (address string) { return tgt.address }

// SetFault changes the fault of coming answers.
func (tgt *Target) SetFault(flt Fault) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.fault = flt
}

// DropIdle makes the target reset connections that were idle for longer than rest when the next byte arrives on them, like a target
// that has lost their state. 0 turns this off.
func (tgt *Target) DropIdle(rest time.Duration) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.rest = rest
}

// connState counts new connections and resets those that DropIdle covers at their next byte.
func (tgt *Target) connState(con net.Conn, sta http.ConnState) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	switch sta {
	case http.StateNew:
		tgt.conns++
	case http.StateIdle:
		tgt.rested[con] = time.Now()
	case http.StateActive:
		since, ok := tgt.rested[con]
		if tcp, isTCP := con.(*net.TCPConn); ok && isTCP && tgt.rest > 0 && time.Since(since) > tgt.rest {
			_ = tcp.SetLinger(0) // closing fails only on a connection that has ended
			_ = tcp.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(tgt.rested, con)
	}
}

// Runs returns the requests that began to run.
func (tgt *Target) Runs() (runs []Run) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	return append(runs, tgt.runs...)
}

// Connections returns the number of connections that were opened.
func (tgt *Target) Connections() (count int) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	return tgt.conns
}

// Registration returns the entry of the target in the store.
func (tgt *Target) Registration(service, zone, state string) (entry map[string]any) {
	return map[string]any{
		"addr": tgt.address,
		"born": time.Now().UnixMilli(),
		"info": map[string]any{
			"service": service,
			"version": "v1",
			"zone":    zone,
			"slots":   tgt.cfg.Slots,
		},
		"status": map[string]any{
			"state":     state,
			"seq":       1,
			"coldLeftS": 0,
		},
	}
}

// ServeHTTP implements http.Handler.
func (tgt *Target) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	wrt.Header().Set("Request-Id", id)
	if want := req.Header.Get("Expect-Instance"); want != "" && want != tgt.cfg.ID {
		wrt.Header().Set("Instance-Id", tgt.cfg.ID)
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	tgt.mu.Lock()
	flt := tgt.fault
	tgt.mu.Unlock()
	if flt == FaultShed || int(tgt.running.Load()) >= 4*tgt.cfg.Slots {
		wrt.Header().Set("Not-Executed", "1")
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if flt == FaultEarly {
		tgt.raw(wrt, "HTTP/1.1 400 Bad Request\r\nRequest-Id: "+id+"\r\nContent-Length: 2\r\n\r\nno", true)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	tgt.running.Add(1)
	defer tgt.running.Add(-1)
	tgt.mu.Lock()
	tgt.runs = append(tgt.runs, Run{
		ID:      id,
		Method:  req.Method,
		Path:    req.RequestURI,
		Body:    string(body),
		Timeout: req.Header.Get("Timeout-Ms"),
		At:      time.Now(),
	})
	tgt.mu.Unlock()
	select {
	case <-time.After(tgt.cfg.ServiceTime):
	case <-req.Context().Done():
		return
	}
	tgt.finish(wrt, req, flt, id)
}

// Body returns the body of the answer to a request.
func Body(id string) (body string) { return "answer to " + id + "\n" }

func (tgt *Target) finish(wrt http.ResponseWriter, req *http.Request, flt Fault, id string) {
	body := Body(id)
	head := fmt.Sprintf("Request-Id: %s\r\nResponse-Seal: seal-%s\r\n", id, id)
	full := whole(id)
	switch flt {
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultTruncated:
		tgt.raw(wrt, full[:len(full)-5], false)
	case FaultGarbage:
		tgt.raw(wrt, "\x00\x01 these bytes are no answer\r\n\r\n", false)
	case FaultDuplicated:
		tgt.raw(wrt, full, true)
	case FaultUnframed:
		tgt.raw(wrt, "HTTP/1.1 200 OK\r\n"+head+"Connection: close\r\n\r\n"+body, false)
	case FaultCompressed:
		tgt.raw(wrt, "HTTP/1.1 200 OK\r\n"+head+"Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", false)
	case FaultUnsigned:
		tgt.raw(wrt, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nContent-Length: 1\r\n\r\nx", false)
	case FaultNoResponse:
		<-req.Context().Done()
	case FaultNone, FaultError, FaultFalse503, FaultShed, FaultEarly:
		wrt.Header().Set("Response-Seal", "seal-"+id)
		wrt.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d,100", tgt.running.Load()-1, tgt.cfg.Slots))
		wrt.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if status, ok := failures[flt]; ok {
			wrt.WriteHeader(status)
		}
		_, _ = io.WriteString(wrt, body)
	}
}

// failures are the statuses of the faults that are whole answers.
var failures = map[Fault]int{
	FaultError:    http.StatusInternalServerError,
	FaultFalse503: http.StatusServiceUnavailable,
}

// raw writes bytes and ends the connection, or with linger keeps it open for a while and writes them once more.
func (tgt *Target) raw(wrt http.ResponseWriter, text string, linger bool) {
	con, buf, err := http.NewResponseController(wrt).Hijack()
	if err != nil {
		return
	}
	defer con.Close() //nolint:errcheck // the connection is given up
	_, _ = io.WriteString(con, text)
	if !linger {
		return
	}
	time.Sleep(surplusDelay)
	_, _ = io.WriteString(con, text)
	_ = con.SetReadDeadline(time.Now().Add(time.Second))
	serveNext(con, buf.Reader)
}

// surplusDelay is the time after which an answer is sent a second time.
const surplusDelay = 20 * time.Millisecond

// serveNext answers one more request on a connection on which an answer was sent twice.
func serveNext(con net.Conn, rdr *bufio.Reader) {
	req, err := http.ReadRequest(rdr)
	if err != nil {
		return
	}
	_, _ = io.WriteString(con, whole(req.Header.Get("Request-Id")))
}

// whole renders the whole answer to a request.
func whole(id string) (text string) {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s",
		id, id, len(Body(id)), Body(id))
}
