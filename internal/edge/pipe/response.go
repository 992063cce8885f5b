package pipe

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamompass/internal/edge/buffer"
)

// errEnded is returned to a handler whose connection has ended.
var errEnded = errors.New("the caller's connection has ended")

// sniffSize is the size in bytes of the begin of a body by which http.DetectContentType finds its type.
const sniffSize = 512

// response holds the response of a request until those before it are written. Its methods are those of an http.ResponseWriter.
type response struct {
	lop *loop
	req *http.Request
	// read is when the request was read.
	read time.Time
	// size is the size of the header of the request in bytes, ahead is set while it counts in the gate.
	size  int
	ahead bool
	// alone is set for a request that runs beside no other, final for the last one of the connection. Guarded by loop.mu.
	alone bool
	final bool
	// raw is a complete response, used in place of the other fields.
	raw string

	// The handler uses the next fields until done is closed, the writer after it.
	hdr        http.Header
	sent       http.Header // copy of hdr when WriteHeader was called, if it may have changed since
	status     int
	length     int64 // as stated by the handler, -1 if it has not
	written    int64
	begin      []byte // of the body, to find its type if the handler has not stated it
	body       []byte
	direct     bool // the handler has written the response to the connection
	aborted    bool // there is no whole response
	short      bool // the body is shorter than its stated length
	closeAfter bool // what follows on the connection can't be read

	// turn is closed when all responses before it are written; that of the first response when the connection is hijacked.
	turn chan struct{}
	done chan struct{} // closed when the response is complete

	mu       sync.Mutex
	held     *buffer.Buffer // nil if there is none
	reserved int64          // bytes of held
	dropped  bool           // the memory was released
}

func newResponse(lop *loop, req *http.Request, hdr http.Header) (rsp *response) {
	return &response{
		lop:    lop,
		req:    req,
		hdr:    hdr,
		length: -1,
		turn:   make(chan struct{}),
		done:   make(chan struct{}),
	}
}

// ReadTime returns when the request was read. Its timeout counts from then.
func (rsp *response) ReadTime() (now time.Time) { return rsp.read }

// SetReadDeadline is used through an http.ResponseController. Only the body of a request that runs alone is read with a deadline.
func (rsp *response) SetReadDeadline(end time.Time) (err error) {
	if !rsp.alone {
		return http.ErrNotSupported
	}
	return rsp.lop.con.SetReadDeadline(end)
}

// Header implements http.ResponseWriter.
func (rsp *response) Header() (hdr http.Header) {
	if rsp.status != 0 && rsp.sent == nil {
		rsp.sent = rsp.hdr.Clone()
	}
	return rsp.hdr
}

// WriteHeader implements http.ResponseWriter. Informational responses are left out.
func (rsp *response) WriteHeader(status int) {
	if rsp.status != 0 || status < http.StatusOK {
		return
	}
	rsp.status = status
	if text := rsp.hdr.Get("Content-Length"); text != "" {
		length, err := strconv.ParseInt(text, 10, 64)
		if err != nil || length < 0 {
			rsp.hdr.Del("Content-Length")
			return
		}
		rsp.length = length
	}
}

// Write implements http.ResponseWriter. It waits for the responses before this one if there is no memory to hold it.
func (rsp *response) Write(data []byte) (num int, err error) {
	if rsp.status == 0 {
		rsp.WriteHeader(http.StatusOK)
	}
	if len(data) == 0 {
		return 0, nil
	}
	if !bodyAllowed(rsp.status) {
		return 0, http.ErrBodyNotAllowed
	}
	rsp.written += int64(len(data))
	if rsp.length >= 0 && rsp.written > rsp.length {
		return 0, http.ErrContentLength
	}
	if _, stated := rsp.hdr["Content-Type"]; !stated && len(rsp.begin) == 0 {
		rsp.begin = append(rsp.begin, data[:min(len(data), sniffSize)]...)
	}
	if rsp.req.Method == http.MethodHead {
		return len(data), nil
	}
	if rsp.direct {
		return rsp.lop.wrt.Write(data)
	}
	if rsp.written > int64(cap(rsp.body)) {
		size := rsp.length
		if size < 0 {
			size = max(rsp.written, 2*int64(cap(rsp.body)))
		}
		held, err := rsp.hold(size)
		switch {
		case err != nil:
			return 0, err
		case !held:
			return rsp.writeDirect(data)
		}
		rsp.body = append(make([]byte, 0, size), rsp.body...)
	}
	rsp.body = append(rsp.body, data...)
	return len(data), nil
}

// hold reserves memory for a body of size bytes. Without memory, callers that hold more are disconnected; if there is none, held is false.
func (rsp *response) hold(size int64) (held bool, err error) {
	if full, err := rsp.reserve(size); err != nil || !full {
		return err == nil, err
	}
	pip := rsp.lop.pip
	if !pip.memory.Holds(size) {
		return false, nil
	}
	// The memory may have become free since, and this caller may have been cut. Only one response at a time decides whom to cut, on
	// what is held then: else a second caller would be cut in vain.
	pip.cutting.Lock()
	defer pip.cutting.Unlock()
	for {
		full, err := rsp.reserve(size)
		if err != nil || !full {
			return err == nil, err
		}
		if !pip.cutLargest(rsp.lop.held.Load() + size) {
			return false, nil
		}
	}
}

func (rsp *response) reserve(size int64) (full bool, err error) {
	rsp.mu.Lock()
	defer rsp.mu.Unlock()
	if rsp.dropped {
		return false, errEnded
	}
	if rsp.held == nil {
		rsp.held = rsp.lop.pip.memory.NewBuffer()
	}
	if err = rsp.held.Reserve(size); err != nil {
		return true, nil //nolint:nilerr // the error says only that the memory is full
	}
	rsp.lop.held.Add(size - rsp.reserved)
	rsp.reserved = size
	return false, nil
}

// release returns the memory of the body. The response can't be written any more.
func (rsp *response) release() {
	rsp.mu.Lock()
	defer rsp.mu.Unlock()
	rsp.dropped = true
	if rsp.held != nil {
		rsp.held.Release()
		rsp.held = nil
		rsp.lop.held.Add(-rsp.reserved)
	}
}

// writeDirect writes the header, the part of the body that is held, and data to the connection once the responses before are written.
// A response of unstated length can't be written so.
func (rsp *response) writeDirect(data []byte) (num int, err error) {
	if rsp.length < 0 {
		rsp.aborted = true
		return 0, errors.New("no memory for a response of unknown length")
	}
	select {
	case <-rsp.turn:
	case <-rsp.lop.closed:
		return 0, errEnded
	}
	rsp.direct = true
	rsp.writeHead(rsp.lop.wrt, rsp.lop.closesAfter(rsp))
	if _, err = rsp.lop.wrt.Write(rsp.body); err != nil {
		return 0, err
	}
	return rsp.lop.wrt.Write(data)
}

// finish is called when the handler has ended.
func (rsp *response) finish() {
	if rsp.status == 0 {
		rsp.WriteHeader(http.StatusOK)
	}
	if rsp.length >= 0 && rsp.written != rsp.length && rsp.req.Method != http.MethodHead && bodyAllowed(rsp.status) {
		rsp.short = true
	}
}
