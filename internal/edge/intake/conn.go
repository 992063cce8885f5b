package intake

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"cardamompass"
)

const (
	// lingerTime and lingerBytes bound what is read after a refusal. If the connection were closed with unread bytes, it would be reset
	// and the caller might not get the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// phase is what a connection waits for.
type phase uint8

const (
	// inHeader means that a header is awaited or has arrived in part.
	inHeader phase = iota
	// inRequest means that a handler has the request.
	inRequest
	// idle means that the last response is complete and nothing of the next request has arrived.
	idle
)

// conn is a caller's connection.
type conn struct {
	*net.TCPConn
	itk *Intake

	mu          sync.Mutex
	pha         phase
	since       time.Time // begin of the phase
	headerBytes int       // read in the phase inHeader
	deadline    time.Time // set by the server
	applied     time.Time // the read deadline of the TCP connection
	scan        headerScan
	ahead       bool    // bytes of a further request have been read
	watcher     Watcher // nil if there is none
	unanswered  bool    // a request is handled and its response has not begun
	taken       bool    // no longer served by net/http
}

// begin starts a phase.
func (con *conn) begin(pha phase) {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.pha, con.since, con.headerBytes = pha, time.Now(), 0
	con.unanswered = pha == inRequest
	con.applyDeadline(con.itk.Limits())
}

// updateDeadline applies changed limits.
func (con *conn) updateDeadline() {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.applyDeadline(con.itk.Limits())
}

// applyDeadline sets the read deadline to the earlier one of the server's and that of the phase. An error means that the connection
// has been closed, which the next read reports.
func (con *conn) applyDeadline(lim cardamompass.CallerLimits) {
	end := con.deadline
	limit := time.Duration(0)
	switch con.pha {
	case inHeader:
		limit = lim.HeaderTimeout
	case idle:
		limit = lim.IdleTimeout
	case inRequest:
	}
	if own := con.since.Add(limit); limit > 0 && (end.IsZero() || own.Before(end)) {
		end = own
	}
	if !end.Equal(con.applied) {
		con.applied = end
		_ = con.TCPConn.SetReadDeadline(end)
	}
}

// SetReadDeadline implements net.Conn.
func (con *conn) SetReadDeadline(end time.Time) (err error) {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.deadline = end
	con.applyDeadline(con.itk.Limits())
	return nil
}

// SetDeadline implements net.Conn.
func (con *conn) SetDeadline(end time.Time) (err error) {
	if err = con.SetWriteDeadline(end); err != nil {
		return err
	}
	return con.SetReadDeadline(end)
}

// Read implements net.Conn. A header that is too long is refused; the server sees the end of the connection.
func (con *conn) Read(buf []byte) (num int, err error) {
	num, err = con.TCPConn.Read(buf)
	size, limit, wat := con.received(buf[:num], len(buf) == 1)
	if wat != nil {
		wat.BytesAhead()
	}
	switch {
	case limit <= 0 || size <= limit:
		return num, err
	case con.taken:
		return 0, &HeaderTooLongError{
			Size:  size,
			Limit: limit,
		}
	default:
		con.refuse(size, limit)
		return 0, io.EOF
	}
}

// received counts bytes that were read, by a read of a single byte or of more. It returns the size of the header so far and its limit, 0
// if there is none, and the watcher that is to be told of a further request.
func (con *conn) received(data []byte, single bool) (size, limit int, wat Watcher) {
	num := len(data)
	if num == 0 {
		return 0, 0, nil
	}
	lim := con.itk.Limits()
	con.mu.Lock()
	defer con.mu.Unlock()
	switch con.pha {
	case idle:
		con.pha, con.since, con.headerBytes, con.scan = inHeader, time.Now(), num, headerScan{}
		con.applyDeadline(lim)
	case inHeader:
		con.headerBytes += num
		con.applyDeadline(lim) // endIdle may have changed it
	case inRequest:
	}
	wat = con.noteAhead(data, single)
	if con.pha != inHeader || lim.MaxHeaderBytes <= 0 {
		return 0, 0, wat
	}
	return con.headerBytes, lim.MaxHeaderBytes + headerSlack, wat
}

// refuse responds with status 431 and ends the connection. Errors mean that the caller has disconnected.
func (con *conn) refuse(size, limit int) {
	con.itk.cfg.Log.Info("request header refused", zap.Int("bytes", size), zap.Int("limit", limit),
		zap.String("caller", con.RemoteAddr().String()))
	text := strconv.Itoa(http.StatusRequestHeaderFieldsTooLarge) + " " + http.StatusText(http.StatusRequestHeaderFieldsTooLarge)
	_, _ = io.WriteString(con.TCPConn, "HTTP/1.1 "+text+"\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"+text)
	_ = con.CloseWrite()
	con.begin(inRequest) // ends the limit on the header
	_ = con.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(con.TCPConn, lingerBytes))
}

// Close implements net.Conn.
func (con *conn) Close() (err error) {
	con.itk.remove(con)
	return con.TCPConn.Close()
}
