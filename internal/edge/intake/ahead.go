package intake

import (
	"bytes"
	"fmt"
	"time"
)

// Watcher is told that a caller pipelines requests.
type Watcher interface {
	// BytesAhead is called when bytes of a further request arrive while a request is handled. It must not block.
	BytesAhead()
}

// HeaderTooLongError reports a header that exceeds its limit on a connection that was taken over from net/http.
type HeaderTooLongError struct {
	// Size is the number of bytes that were read, Limit that which is permitted.
	Size, Limit int
}

func (err *HeaderTooLongError) Error() string {
	return fmt.Sprintf("the header has %d bytes, more than %d", err.Size, err.Limit)
}

// headerScan finds the end of a header in the bytes that are read from a connection. Its result only tells whether a caller pipelines;
// requests are delimited by net/http alone.
type headerScan struct {
	text   bool // the current line is not blank
	begun  bool // a line that is not blank has ended
	ended  bool // the blank line after the header has ended
	behind int  // bytes read after the header
}

func (scn *headerScan) feed(data []byte) {
	for !scn.ended && len(data) > 0 {
		num := bytes.IndexByte(data, '\n')
		if num < 0 {
			scn.text = scn.text || len(bytes.TrimRight(data, "\r")) > 0
			return
		}
		text := scn.text || len(bytes.TrimRight(data[:num], "\r")) > 0
		data, scn.text = data[num+1:], false
		scn.ended = scn.begun && !text
		scn.begun = scn.begun || text
	}
	scn.behind += len(data)
}

// noteAhead updates the scan with bytes that were read and returns the watcher that is to be told, or nil. con.mu is held.
//
// net/http reads a single byte while a handler runs whose request has arrived as a whole. That byte belongs to a further request. All
// of its other reads fill a buffer. A byte that arrives after the response has begun doesn't count: callers that don't pipeline send
// their next request as soon as they have the response, which net/http may not have left yet.
func (con *conn) noteAhead(data []byte, single bool) (wat Watcher) {
	if con.taken {
		return nil
	}
	if !single {
		con.scan.feed(data)
		con.ahead = con.ahead || (con.pha == inHeader && con.scan.behind > 0)
		return nil
	}
	if !con.unanswered {
		return nil
	}
	con.ahead = true
	wat, con.watcher = con.watcher, nil
	return wat
}

// beginRequest begins the phase of a request that net/http has passed to the handler. What follows the header of a request with a body
// is that body.
func (con *conn) beginRequest(body bool) {
	con.begin(inRequest)
	if body {
		con.mu.Lock()
		con.ahead, con.unanswered = false, false
		con.mu.Unlock()
	}
}

// endBody is called after a request with a body of length bytes, -1 if unknown, was handled.
func (con *conn) endBody(length int64) {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.ahead = con.ahead || (length >= 0 && int64(con.scan.behind) > length)
}

// Watch reports whether the caller has already sent bytes of a further request. If not, wat is called once when such bytes arrive before
// Unwatch is called.
func (con *conn) Watch(wat Watcher) (ahead bool) {
	con.mu.Lock()
	defer con.mu.Unlock()
	if !con.ahead {
		con.watcher = wat
	}
	return con.ahead
}

// Unwatch is called before a response begins. It ends the effect of Watch, and later bytes no longer count as sent ahead.
func (con *conn) Unwatch() {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.watcher, con.unanswered = nil, false
}

// TakeOver is called when the connection is no longer served by net/http. The limits stay in force for the phases that the caller of
// the following methods states, and Read returns a HeaderTooLongError instead of responding.
func (con *conn) TakeOver() {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.taken, con.watcher = true, nil
}

// StartIdle begins the time without a request.
func (con *conn) StartIdle() { con.begin(idle) }

// StartRequest begins the time in which neither the limits of a header nor that of idle connections apply.
func (con *conn) StartRequest() { con.begin(inRequest) }

// StartHeader begins a header of which size bytes have been read.
func (con *conn) StartHeader(size int) {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.pha, con.since, con.headerBytes = inHeader, time.Now(), size
	con.applyDeadline(con.itk.Limits())
}
