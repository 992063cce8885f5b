// Package ptarg simulates a target on the users' platform for tests. It implements the published protocol: it echoes the request ID,
// signs its responses, reports its load, refuses requests that expect another instance and sheds requests beyond its capacity.
//
// SetFault sets the fault of all later requests. Every request that is run is recorded with its ID.
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

// Fault is a fault that a target injects into its responses.
type Fault string

// The faults of responses.
const (
	// FaultNone sends a valid response.
	FaultNone Fault = ""
	// FaultReset runs the request and resets the connection.
	FaultReset Fault = "reset"
	// FaultTruncated closes the connection in the middle of the body.
	FaultTruncated Fault = "cut"
	// FaultGarbage sends bytes that are not an HTTP response.
	FaultGarbage Fault = "garbage"
	// FaultDuplicated sends the response a second time after a short delay.
	FaultDuplicated Fault = "twice"
	// FaultUnframed sends a response without a length; the end of the connection ends the body.
	FaultUnframed Fault = "unframed"
	// FaultError runs the request and responds with 500.
	FaultError Fault = "error"
	// FaultShed responds with 503 and does not run the request.
	FaultShed Fault = "shed"
	// FaultFalse503 runs the request and responds with 503, without the header Not-Executed.
	FaultFalse503 Fault = "false-503"
	// FaultCompressed sends a body with a content encoding.
	FaultCompressed Fault = "compressed"
	// FaultUnsigned sends a successful response without a signature.
	FaultUnsigned Fault = "unsigned"
	// FaultEarly responds before the body of the request is read.
	FaultEarly Fault = "early"
	// FaultNoResponse runs the request and never responds.
	FaultNoResponse Fault = "silent"
	// FaultLateCopy responds, and sends a refusal without a request id before the response to the next request on the connection.
	FaultLateCopy Fault = "late-copy"
	// FaultEarlyKeep responds before the body of the request is read, reads the rest of the body and keeps the connection.
	FaultEarlyKeep Fault = "early-keep"
	// FaultEarlyClose responds without a length before the body of the request is read, ends the response by closing the sending side of
	// the connection, and reads the rest of the body.
	FaultEarlyClose Fault = "early-close"
	// FaultEarlyReset responds without a length before the body of the request is read, sends a part of the body of the response and
	// resets the connection.
	FaultEarlyReset Fault = "early-reset"
	// FaultEndlessLine sends a status line without end.
	FaultEndlessLine Fault = "endless-line"
	// FaultEndlessHead sends header lines without end.
	FaultEndlessHead Fault = "endless-head"
	// FaultEndlessInterim sends interim responses without end.
	FaultEndlessInterim Fault = "endless-interim"
	// FaultEndlessBody sends a body without a length that does not end, with the headers of a valid response.
	FaultEndlessBody Fault = "endless-body"
	// FaultEndlessNoise is FaultEndlessBody without a request id.
	FaultEndlessNoise Fault = "endless-noise"
	// FaultEndlessChunks sends chunks without end.
	FaultEndlessChunks Fault = "endless-chunks"
	// FaultEndlessExtension sends a chunk extension without end.
	FaultEndlessExtension Fault = "endless-extension"
	// FaultEndlessTrailer sends trailer lines without end.
	FaultEndlessTrailer Fault = "endless-trailer"
	// FaultCrash ends the target when it has run a request, until Restart.
	FaultCrash Fault = "crash"
	// FaultRaw runs the request and sends the text of SetRaw.
	FaultRaw Fault = "raw"
)

// Config configures a Target.
type Config struct {
	// ID is the ID of the instance.
	ID string
	// Address is the listen address; port 0 selects a free port.
	Address string
	// Slots is the number of concurrent requests that the target reports. Beyond four times this number it sheds requests.
	Slots int
	// ServiceTime is the time that a request runs.
	ServiceTime time.Duration
}

// Run is one request that a target started to run.
type Run struct {
	ID, Method, Path, Body, Timeout string
	// BodyUnread is set if the target responded before it read the body, which is then unknown.
	BodyUnread bool
	// Header holds all headers of the request.
	Header http.Header
	At     time.Time
}

// Target is a simulated target. It is safe for concurrent use.
type Target struct {
	cfg     Config
	running atomic.Int64
	serving sync.WaitGroup

	mu      sync.Mutex
	address string
	server  *http.Server
	fault   Fault
	raw     RawResponse
	leaving bool
	// retryAfter is the value of Retry-After in refusals; empty for none.
	retryAfter string
	// slow is the time between two bytes of an endless response; 0 for full speed.
	slow     time.Duration
	runs     []Run
	conns    int
	refusals int
	// sent is the number of bytes of endless responses that were sent.
	sent int64
	// idleLimit is the idle time after which a connection is reset at its next byte, 0 for never; idleSince is the time at which a
	// connection last became idle.
	idleLimit time.Duration
	idleSince map[net.Conn]time.Time
}

// New starts a target and returns the function that stops it.
func New(cfg Config) (tgt *Target, cleanup func(), err error) {
	tgt = &Target{
		cfg:       cfg,
		address:   cfg.Address,
		idleSince: make(map[net.Conn]time.Time),
	}
	if err = tgt.Restart(); err != nil {
		return nil, nil, err
	}
	return tgt, func() {
		tgt.crash()
		tgt.serving.Wait()
	}, nil
}

// Restart starts a target that has crashed, at the address that it had. It must not be called before the crash.
func (tgt *Target) Restart() (err error) {
	lsn, err := new(net.ListenConfig).Listen(context.Background(), "tcp", tgt.Address())
	if err != nil {
		return err
	}
	srv := &http.Server{
		Handler:           tgt,
		ReadHeaderTimeout: time.Minute,
		ConnState:         tgt.connState,
	}
	tgt.mu.Lock()
	tgt.server, tgt.address = srv, lsn.Addr().String()
	tgt.mu.Unlock()
	tgt.serving.Go(func() { _ = srv.Serve(lsn) })
	return nil
}

// crash closes the listener and all connections.
func (tgt *Target) crash() {
	tgt.mu.Lock()
	srv := tgt.server
	tgt.mu.Unlock()
	_ = srv.Close() // the state of the connections is of no interest any more
}

// Address returns the host:port of the target.
func (tgt *Target) Address() (address string) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	return tgt.address
}

// SetFault sets the fault of later requests.
func (tgt *Target) SetFault(flt Fault) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.fault = flt
}

// SetSlow makes endless responses send one byte at an interval; 0 makes them send at full speed.
func (tgt *Target) SetSlow(interval time.Duration) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.slow = interval
}

// SetLeaving makes the target state in each response that it is leaving.
func (tgt *Target) SetLeaving(leaving bool) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.leaving = leaving
}

// SetRetryAfter sets the value of Retry-After in refusals; empty for none.
func (tgt *Target) SetRetryAfter(value string) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.retryAfter = value
}

// EndlessBytes returns the number of bytes of endless responses that were sent.
func (tgt *Target) EndlessBytes() (count int64) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	return tgt.sent
}

// DropIdle makes the target reset a connection that was idle for longer than limit when the next byte arrives on it, like a target
// that has lost the state of the connection. 0 turns this off.
func (tgt *Target) DropIdle(limit time.Duration) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.idleLimit = limit
}

// connState counts new connections and resets those that were idle for longer than the limit of DropIdle.
func (tgt *Target) connState(con net.Conn, sta http.ConnState) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	switch sta {
	case http.StateNew:
		tgt.conns++
	case http.StateIdle:
		tgt.idleSince[con] = time.Now()
	case http.StateActive:
		since, ok := tgt.idleSince[con]
		if tcp, isTCP := con.(*net.TCPConn); ok && isTCP && tgt.idleLimit > 0 && time.Since(since) > tgt.idleLimit {
			_ = tcp.SetLinger(0) // fails only if the connection is closed already
			_ = tcp.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(tgt.idleSince, con)
	}
}

// Runs returns the requests that started to run.
func (tgt *Target) Runs() (runs []Run) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	return append(runs, tgt.runs...)
}

// Running returns the number of requests that run. A request ends at the latest when its connection is closed.
func (tgt *Target) Running() (count int) { return int(tgt.running.Load()) }

// Refusals returns the number of requests that the target refused to run.
func (tgt *Target) Refusals() (count int) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	return tgt.refusals
}

// Connections returns the number of connections that the target accepted.
func (tgt *Target) Connections() (count int) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	return tgt.conns
}

// Registration returns the store entry that registers the target.
func (tgt *Target) Registration(service, zone, state string) (entry map[string]any) {
	return map[string]any{
		"addr": tgt.Address(),
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
	flt, leaving, retryAfter := tgt.fault, tgt.leaving, tgt.retryAfter
	tgt.mu.Unlock()
	if leaving {
		wrt.Header().Set("Server-Leaving", "1")
	}
	if flt == FaultShed || int(tgt.running.Load()) >= 4*tgt.cfg.Slots {
		wrt.Header().Set("Not-Executed", "1")
		if retryAfter != "" {
			wrt.Header().Set("Retry-After", retryAfter)
		}
		tgt.mu.Lock()
		tgt.refusals++
		tgt.mu.Unlock()
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if flt == FaultEarly {
		tgt.writeRaw(wrt, "HTTP/1.1 400 Bad Request\r\nRequest-Id: "+id+"\r\nContent-Length: 2\r\n\r\nno", true)
		return
	}
	if flt == FaultEarlyKeep {
		tgt.respondEarly(wrt, req, id)
		return
	}
	if flt == FaultEarlyClose || flt == FaultEarlyReset {
		tgt.respondUnframed(wrt, req, flt, id)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	tgt.running.Add(1)
	defer tgt.running.Add(-1)
	tgt.record(newRun(req, body))
	select {
	case <-time.After(tgt.cfg.ServiceTime):
	case <-req.Context().Done():
		return
	}
	tgt.respond(wrt, req, flt, id)
}

func newRun(req *http.Request, body []byte) (run Run) {
	return Run{
		ID:      req.Header.Get("Request-Id"),
		Method:  req.Method,
		Path:    req.RequestURI,
		Body:    string(body),
		Timeout: req.Header.Get("Timeout-Ms"),
		Header:  req.Header.Clone(),
		At:      time.Now(),
	}
}

func (tgt *Target) record(run Run) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.runs = append(tgt.runs, run)
}

// Body returns the body of the response to a request.
func Body(id string) (body string) { return "answer to " + id + "\n" }

func (tgt *Target) respond(wrt http.ResponseWriter, req *http.Request, flt Fault, id string) {
	body := Body(id)
	head := fmt.Sprintf("Request-Id: %s\r\nResponse-Seal: seal-%s\r\n", id, id)
	full := encodeResponse(id)
	switch flt {
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultCrash:
		tgt.crash()
	case FaultTruncated:
		tgt.writeRaw(wrt, full[:len(full)-5], false)
	case FaultGarbage:
		tgt.writeRaw(wrt, "\x00\x01 these bytes are no answer\r\n\r\n", false)
	case FaultDuplicated:
		tgt.writeRaw(wrt, full, true)
	case FaultUnframed:
		tgt.writeRaw(wrt, "HTTP/1.1 200 OK\r\n"+head+"Connection: close\r\n\r\n"+body, false)
	case FaultCompressed:
		tgt.writeRaw(wrt, "HTTP/1.1 200 OK\r\n"+head+"Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", false)
	case FaultUnsigned:
		tgt.writeRaw(wrt, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nContent-Length: 1\r\n\r\nx", false)
	case FaultNoResponse:
		<-req.Context().Done()
	case FaultRaw:
		tgt.respondRaw(wrt, id)
	case FaultLateCopy:
		tgt.respondTwice(wrt, full)
	case FaultEndlessLine, FaultEndlessHead, FaultEndlessInterim, FaultEndlessBody, FaultEndlessNoise, FaultEndlessChunks,
		FaultEndlessExtension, FaultEndlessTrailer:
		tgt.flood(wrt, flt, head)
	case FaultEarlyKeep, FaultEarlyClose, FaultEarlyReset, FaultNone, FaultError, FaultFalse503, FaultShed, FaultEarly:
		wrt.Header().Set("Response-Seal", "seal-"+id)
		wrt.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d,100", tgt.running.Load()-1, tgt.cfg.Slots))
		wrt.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if status, ok := faultStatuses[flt]; ok {
			wrt.WriteHeader(status)
		}
		_, _ = io.WriteString(wrt, body)
	}
}

// faultStatuses are the statuses of the faults that send a complete response.
var faultStatuses = map[Fault]int{
	FaultError:    http.StatusInternalServerError,
	FaultFalse503: http.StatusServiceUnavailable,
}

// writeRaw writes text to the connection and closes it. With duplicate it writes text again after duplicateDelay and serves one more
// request before it closes the connection.
func (tgt *Target) writeRaw(wrt http.ResponseWriter, text string, duplicate bool) {
	con, buf, err := http.NewResponseController(wrt).Hijack()
	if err != nil {
		return
	}
	defer con.Close() //nolint:errcheck // the connection is not used again
	_, _ = io.WriteString(con, text)
	if !duplicate {
		return
	}
	time.Sleep(duplicateDelay)
	_, _ = io.WriteString(con, text)
	_ = con.SetReadDeadline(time.Now().Add(time.Second))
	serveNext(con, buf.Reader)
}

// duplicateDelay is the time after which a response is sent a second time.
const duplicateDelay = 20 * time.Millisecond

// serveNext responds to one more request on a connection on which a response was sent twice.
func serveNext(con net.Conn, rdr *bufio.Reader) {
	req, err := http.ReadRequest(rdr)
	if err != nil {
		return
	}
	_, _ = io.WriteString(con, encodeResponse(req.Header.Get("Request-Id")))
}

// encodeResponse encodes the complete response to a request.
func encodeResponse(id string) (text string) {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s",
		id, id, len(Body(id)), Body(id))
}
