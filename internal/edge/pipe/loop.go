package pipe

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass/internal/edge/sock"
)

// pollInterval is the interval at which a connection whose reading pauses is checked for a caller that has disconnected. Work for such a
// caller must be cancelled within 0.5 s.
const pollInterval = 100 * time.Millisecond

// loop serves a connection that was taken over from net/http. One goroutine reads requests, one writes responses in the order of the
// requests, and each request has one for its handler.
type loop struct {
	pip    *Pipe
	con    callerConn
	first  *response // of the request during which the connection was taken over
	cancel context.CancelFunc
	psr    *parser
	wrt    *bufio.Writer

	mu      sync.Mutex
	queue   []*response // not answered yet, in the order of the requests
	bytes   int         // size of the headers of the requests in queue
	closing bool        // no further request is dispatched; the connection closes when queue is empty
	waiting bool        // the reader waits for the first byte of a request
	linger  bool        // all is answered and the caller is to close the connection
	reason  string      // why the connection ended

	held    atomic.Int64  // memory of the responses in bytes
	room    chan struct{} // wakes the reader
	ready   chan struct{} // wakes the writer
	closed  chan struct{} // closed by abort
	readEnd chan struct{} // closed when the reader has ended

	// requests counts those read by the loop, ahead those dispatched before the one before was answered, pauses those of reading. The
	// reader uses them, then the writer after readEnd.
	requests, ahead, pauses int
}

// ended returns a channel that is closed when nothing more may run for the connection.
func (lop *loop) ended() (chn <-chan struct{}) { return lop.first.req.Context().Done() }

// abort ends the connection: all that runs for it is cancelled and the memory of its responses is released. first is set for the first
// call.
func (lop *loop) abort(reason string) (first bool) {
	lop.mu.Lock()
	defer lop.mu.Unlock()
	select {
	case <-lop.closed:
	default:
		first = true
		close(lop.closed)
	}
	if lop.reason == "" {
		lop.reason = reason
	}
	lop.closing = true
	lop.cancel()
	_ = lop.con.Close()
	for _, rsp := range lop.queue {
		rsp.release()
	}
	return first
}

// hangUp is called when the caller has ended its side of the connection. All that runs is cancelled. The caller may still read: it gets
// the responses up to the first one that is not whole, as from net/http.
func (lop *loop) hangUp() {
	lop.stop("caller disconnected")
	lop.cancel()
}

// stop makes the connection end when all requests in progress are answered.
func (lop *loop) stop(reason string) {
	lop.mu.Lock()
	lop.closing = true
	if lop.reason == "" {
		lop.reason = reason
	}
	idle := len(lop.queue) == 0 && !lop.linger
	if idle && sock.Peek(lop.con) == sock.DataPending {
		// To close with unread bytes would reset the connection, and the caller might not get the last response.
		idle, lop.linger = false, true
	}
	lop.mu.Unlock()
	notify(lop.room)
	notify(lop.ready)
	if idle {
		lop.abort(reason)
	}
}

// finish makes the connection end like stop, but not before a request is answered that has arrived and was not read yet. Its response closes
// the connection, since the VM stops.
func (lop *loop) finish(reason string) {
	lop.mu.Lock()
	waiting := len(lop.queue) == 0 && !lop.closing && sock.Peek(lop.con) == sock.DataPending
	lop.mu.Unlock()
	if !waiting {
		lop.stop(reason)
	}
}

// read reads and dispatches requests until the connection ends.
func (lop *loop) read() {
	defer close(lop.readEnd)
	tck := time.NewTicker(pollInterval)
	defer tck.Stop()
	for lop.readOne(tck) {
	}
	lop.pip.gate.forget(lop.room)
	for lop.pause(tck, nil) {
	}
}

// readOne reads and dispatches a request. It returns false when no further one may be read.
func (lop *loop) readOne(tck *time.Ticker) (more bool) {
	if err := lop.awaitBytes(); err != nil {
		lop.readFailed(err)
		return false
	}
	ahead, ok := lop.awaitRoom(tck)
	if !ok {
		return false
	}
	req, err := lop.psr.next()
	rsp := newResponse(lop, req, make(http.Header))
	rsp.ahead, rsp.size, rsp.read = ahead, lop.psr.src.head.size, lop.pip.cfg.Clock.Now()
	if ahead {
		lop.pip.gate.addBytes(rsp.size)
	}
	var pte *protocolError
	switch {
	case errors.As(err, &pte):
		lop.pip.cfg.Log.Info("request refused", zap.String("reason", pte.status), zap.String("caller", lop.psr.remote))
		rsp.raw, rsp.final = pte.response(), true
		close(rsp.done)
		lop.add(rsp)
		return false
	case err != nil:
		lop.leaveGate(rsp)
		lop.readFailed(err)
		return false
	}
	lop.requests++
	rsp.final = req.Close || hasToken(req.Header["Connection"], "close") || lop.psr.lengths()
	rsp.alone = !singleRequest(req) || !lop.pip.cfg.Beside(req)
	if rsp.alone {
		return lop.runAlone(rsp, tck) && !rsp.final
	}
	if ahead && sock.HungUp(lop.con) {
		lop.leaveGate(rsp)
		lop.hangUp()
		return false
	}
	return lop.dispatch(rsp, lop.pip.cfg.Handler) && !rsp.final
}

// readFailed ends the connection after an error of it. After the timeout of a header, requests in progress are answered.
func (lop *loop) readFailed(err error) {
	var ner net.Error
	switch {
	case errors.As(err, &ner) && ner.Timeout():
		lop.stop("timeout")
	case errors.Is(err, io.EOF):
		lop.hangUp()
	default:
		lop.abort("caller disconnected")
	}
}

// awaitBytes waits for the first byte of a request. The time without a request is limited while all are answered.
func (lop *loop) awaitBytes() (err error) {
	if lop.psr.src.buffered() > 0 || lop.psr.rdr.Buffered() > 0 {
		return nil
	}
	lop.mu.Lock()
	lop.waiting = true
	if len(lop.queue) == 0 {
		lop.con.StartIdle()
	}
	lop.mu.Unlock()
	err = lop.psr.src.await()
	lop.mu.Lock()
	lop.waiting = false
	lop.con.StartRequest()
	lop.mu.Unlock()
	return err
}

// awaitRoom waits until a request may be read: at once if all are answered, else when there is room for it. ahead reports that it counts
// in the gate; ok is false if no further request may be read.
func (lop *loop) awaitRoom(tck *time.Ticker) (ahead, ok bool) {
	cfg := lop.pip.cfg
	for paused := false; ; paused = true {
		lop.mu.Lock()
		count, size, closing := len(lop.queue), lop.bytes, lop.closing
		lop.mu.Unlock()
		switch {
		case closing:
			return false, false
		case count == 0:
			return false, true
		case count < cfg.MaxRequests && size < cfg.MaxBytes && lop.pip.gate.take(lop.room):
			lop.ahead++
			lop.pip.met.ahead.Inc(1)
			return true, true
		}
		if !paused {
			lop.pauses++
			lop.pip.met.pauses.Inc(1)
		}
		if !lop.pause(tck, nil) {
			return false, false
		}
	}
}

// pause waits without reading until room or done is ready, at most for pollInterval. It returns false after the end of the connection.
func (lop *loop) pause(tck *time.Ticker, done <-chan struct{}) (ok bool) {
	select {
	case <-lop.room:
	case <-done:
	case <-lop.ended():
		return false
	case <-tck.C:
		if sock.HungUp(lop.con) {
			lop.hangUp()
			return false
		}
	}
	return true
}

// add adds a request to the queue, unless no further one may be dispatched.
func (lop *loop) add(rsp *response) (ok bool) {
	lop.mu.Lock()
	if lop.closing {
		lop.mu.Unlock()
		lop.leaveGate(rsp)
		return false
	}
	lop.queue = append(lop.queue, rsp)
	lop.bytes += rsp.size
	lop.closing = rsp.final
	lop.mu.Unlock()
	notify(lop.ready)
	return true
}

func (lop *loop) leaveGate(rsp *response) {
	if rsp.ahead {
		rsp.ahead = false
		lop.pip.gate.release(rsp.size)
	}
}

// dispatch starts the handler of a request.
func (lop *loop) dispatch(rsp *response, hnd http.Handler) (ok bool) {
	if !lop.add(rsp) {
		return false
	}
	go func() {
		lop.handle(rsp, hnd)
		if rsp.aborted {
			lop.stop("no whole response") // nothing after it is answered
		}
		close(rsp.done)
	}()
	return true
}

// handle runs the handler of a request. A panic leaves the request without a response.
func (lop *loop) handle(rsp *response, hnd http.Handler) {
	ctx, cancel := context.WithCancel(lop.first.req.Context())
	defer func() {
		cancel()
		if rec := recover(); rec != nil {
			lop.panicked(rsp, rec)
		}
	}()
	hnd.ServeHTTP(rsp, rsp.req.WithContext(ctx))
	rsp.finish()
}

// panicked records a panic of a handler. http.ErrAbortHandler is not logged, as in net/http.
func (lop *loop) panicked(rsp *response, rec any) {
	rsp.aborted = true
	if err, ok := rec.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		lop.pip.cfg.Log.Error("handler panicked", zap.Any("panic", rec), zap.ByteString("stack", debug.Stack()))
	}
}

// runAlone runs a request after all before it are answered, and returns when it is answered.
func (lop *loop) runAlone(rsp *response, tck *time.Ticker) (ok bool) {
	if !lop.awaitAnswers(tck) {
		lop.leaveGate(rsp)
		return false
	}
	lop.leaveGate(rsp)
	hnd, bdy := lop.prepareBody(rsp)
	handled := make(chan struct{})
	if !lop.add(rsp) {
		return false
	}
	go func() {
		defer close(handled)
		lop.handle(rsp, hnd)
	}()
	if !lop.awaitHandler(tck, handled) {
		return false
	}
	if bdy != nil && !bdy.discard(lop.con) {
		rsp.closeAfter = true
	}
	_ = lop.con.SetReadDeadline(time.Time{}) // ends that of the body
	close(rsp.done)
	return lop.awaitAnswers(tck)
}

// awaitHandler waits until a handler has ended. It returns false if the connection was closed before.
func (lop *loop) awaitHandler(tck *time.Ticker, handled <-chan struct{}) (ok bool) {
	for lop.pause(tck, handled) {
		select {
		case <-handled:
			return true
		default:
		}
	}
	select {
	case <-handled:
		return true
	case <-lop.closed:
		return false
	}
}

// awaitAnswers waits until all requests are answered. It returns false if no further one may be dispatched.
func (lop *loop) awaitAnswers(tck *time.Ticker) (ok bool) {
	for {
		lop.mu.Lock()
		count, closing := len(lop.queue), lop.closing
		lop.mu.Unlock()
		switch {
		case count == 0:
			return !closing
		case !lop.pause(tck, nil):
			return false
		}
	}
}

// prepareBody wraps the body of a request, if it has one, and returns the handler of the request.
func (lop *loop) prepareBody(rsp *response) (hnd http.Handler, bdy *bodyReader) {
	req := rsp.req
	if req.Body != http.NoBody {
		bdy = &bodyReader{
			ReadCloser: req.Body,
			left:       req.ContentLength,
		}
		req.Body = bdy
	}
	switch {
	case expectsContinue(req):
		if bdy != nil && req.ProtoAtLeast(1, 1) {
			bdy.proceed = lop.sendContinue
		}
	case req.Header.Get("Expect") != "":
		return http.HandlerFunc(expectationFailed), bdy
	}
	if req.RequestURI == "*" && req.Method == http.MethodOptions {
		return http.HandlerFunc(serverOptions), bdy
	}
	return lop.pip.cfg.Handler, bdy
}

// sendContinue sends status 100. All requests before have been answered, so that the writer is not in use.
func (lop *loop) sendContinue() (err error) {
	_, _ = lop.wrt.WriteString("HTTP/1.1 100 Continue\r\n\r\n") // Flush returns its error
	return lop.wrt.Flush()
}

// expectationFailed answers a request with an unknown expectation like net/http.
func expectationFailed(wrt http.ResponseWriter, _ *http.Request) {
	wrt.Header().Set("Connection", "close")
	wrt.WriteHeader(http.StatusExpectationFailed)
}

// serverOptions answers "OPTIONS *" like net/http.
func serverOptions(wrt http.ResponseWriter, _ *http.Request) { wrt.Header().Set("Content-Length", "0") }
