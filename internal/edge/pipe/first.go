package pipe

import (
	"io"
	"net/http"
	"sync"

	"go.uber.org/zap"
)

// decision is how the response of a request is written that net/http has read.
type decision uint8

const (
	// undecided means that the response has not begun.
	undecided decision = iota
	// direct means that it is written through net/http.
	direct
	// taken means that the connection was taken over.
	taken
)

// first is the response of a request that net/http has read. It is written through net/http if it begins before bytes of a further
// request arrive.
type first struct {
	pip *Pipe
	pcn *pipeConn
	wrt http.ResponseWriter // that of net/http
	req *http.Request
	hdr http.Header

	mu  sync.Mutex
	dec decision
	lop *loop // set once the connection is taken over
}

// BytesAhead implements intake.Watcher.
func (fst *first) BytesAhead() {
	go func() { // the read of net/http that calls this method must end before the connection can be hijacked
		if fst.take() {
			fst.hijack()
			fst.lop.read()
		}
	}()
}

// take decides to take the connection over, unless the response has begun or the request must not run beside others.
func (fst *first) take() (ok bool) {
	if !fst.pip.cfg.Beside(fst.req) {
		return false
	}
	fst.mu.Lock()
	defer fst.mu.Unlock()
	if fst.dec != undecided {
		return false
	}
	if fst.lop, ok = fst.pip.newLoop(fst); !ok {
		return false
	}
	fst.dec = taken
	return true
}

// hijack takes the connection from net/http. The handler may run at the same time; it no longer uses the http.ResponseWriter of net/http.
func (fst *first) hijack() {
	lop := fst.lop
	_, buf, err := http.NewResponseController(fst.wrt).Hijack()
	if err != nil {
		lop.pip.cfg.Log.Warn("connection not taken over", zap.Error(err))
		lop.psr = newParser(lop.con, nil, "")
		lop.abort("not taken over")
		return
	}
	lop.con.TakeOver()
	lop.con.StartRequest()
	already, _ := buf.Peek(buf.Reader.Buffered()) // can't fail
	lop.psr = newParser(lop.con, already, fst.req.Method)
	close(lop.first.turn) // its handler runs in the goroutine of the writer, which can't do this before the handler has ended
}

// begin decides that the response is written through net/http, unless the connection was taken over. It returns where to write.
func (fst *first) begin() (wrt http.ResponseWriter) {
	fst.mu.Lock()
	defer fst.mu.Unlock()
	if fst.dec == taken {
		return fst.lop.first
	}
	if fst.dec == undecided {
		fst.dec = direct
		fst.pcn.con.Unwatch()
	}
	return fst.wrt
}

// serve runs the handler. It returns the loop if the connection was taken over.
func (fst *first) serve() (lop *loop) {
	defer func() {
		fst.begin()
		if lop = fst.lop; lop == nil {
			return // a panic goes on to net/http
		}
		if rec := recover(); rec != nil {
			lop.panicked(lop.first, rec)
		} else {
			lop.first.finish()
		}
		close(lop.first.done)
	}()
	fst.pip.cfg.Handler.ServeHTTP(fst, fst.req)
	return nil
}

// Header implements http.ResponseWriter.
func (fst *first) Header() (hdr http.Header) { return fst.hdr }

// WriteHeader implements http.ResponseWriter.
func (fst *first) WriteHeader(status int) { fst.begin().WriteHeader(status) }

// Write implements http.ResponseWriter.
func (fst *first) Write(data []byte) (num int, err error) { return fst.begin().Write(data) }

// WriteString implements io.StringWriter.
func (fst *first) WriteString(text string) (num int, err error) {
	return io.WriteString(fst.begin(), text)
}
