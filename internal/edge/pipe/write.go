package pipe

import (
	"io"
	"net"
	"time"

	"go.uber.org/zap"
)

const (
	// writeChunk is the number of bytes that a caller must take within Config.WriteTimeout.
	writeChunk = 16 << 10
	// lingerTime and lingerBytes bound what is read after the last response. If the connection were closed with unread requests, it would
	// be reset and the caller might not get the response.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// output writes to a connection with a deadline for each part. A caller that takes nothing for so long is disconnected.
type output struct {
	con     net.Conn
	timeout time.Duration
}

// Write implements io.Writer.
func (out *output) Write(data []byte) (num int, err error) {
	for len(data) > 0 && err == nil {
		if err = out.con.SetWriteDeadline(time.Now().Add(out.timeout)); err != nil {
			return num, err
		}
		part := 0
		part, err = out.con.Write(data[:min(len(data), writeChunk)])
		num, data = num+part, data[part:]
	}
	return num, err
}

// write writes responses in order until the connection ends.
func (lop *loop) write() {
	for {
		rsp := lop.head()
		if rsp == nil || !lop.answer(rsp) {
			break
		}
	}
	lop.awaitClose()
	lop.abort("closed")
	<-lop.readEnd
	lop.mu.Lock()
	for _, rsp := range lop.queue {
		lop.leaveGate(rsp)
	}
	reason := lop.reason
	lop.mu.Unlock()
	lop.pip.cfg.Log.Info("pipelined connection ended", zap.String("caller", lop.con.RemoteAddr().String()), zap.String("reason", reason),
		zap.Int("requests", lop.requests+1), zap.Int("ahead", lop.ahead), zap.Int("pauses", lop.pauses))
}

// head waits for the first request that is not answered. It returns nil at the end of the connection.
func (lop *loop) head() (rsp *response) {
	for {
		lop.mu.Lock()
		count, closing := len(lop.queue), lop.closing
		if count > 0 {
			rsp = lop.queue[0]
		}
		lop.mu.Unlock()
		if rsp != nil || closing {
			return rsp
		}
		select {
		case <-lop.ready:
		case <-lop.ended():
			return nil
		}
	}
}

// answer writes a response when it is complete. It returns false if the connection must close at once.
func (lop *loop) answer(rsp *response) (ok bool) {
	if rsp != lop.first {
		close(rsp.turn)
	}
	select {
	case <-rsp.done:
	case <-lop.closed:
		return false
	}
	if rsp.aborted {
		_ = lop.wrt.Flush() // those before are whole
		lop.cancelRest()
		return false
	}
	switch {
	case rsp.raw != "":
		_, _ = lop.wrt.WriteString(rsp.raw) // Flush returns its error
	case !rsp.direct:
		rsp.writeHead(lop.wrt, lop.closesAfter(rsp))
		_, _ = lop.wrt.Write(rsp.body)
	}
	ends := rsp.closeAfter || rsp.short
	if ends || !lop.nextIsDone() {
		if err := lop.wrt.Flush(); err != nil {
			lop.abort("response not read")
			return false
		}
	}
	if ends {
		lop.stop("the rest can't be read")
	}
	lop.pop(rsp)
	return !ends
}

// cancelRest cancels all requests that are not answered, after one that has no whole response. The connection closes.
func (lop *loop) cancelRest() {
	lop.mu.Lock()
	defer lop.mu.Unlock()
	lop.reason, lop.closing, lop.linger = "no whole response", true, true
	lop.cancel()
}

// closesAfter reports whether the connection closes after a response, which must be the first in the queue. If the handler wants it to
// close while later requests run, it closes after the last of these.
func (lop *loop) closesAfter(rsp *response) (last bool) {
	lop.mu.Lock()
	defer lop.mu.Unlock()
	if hasToken(rsp.hdr["Connection"], "close") || rsp.closeAfter {
		lop.closing = true
	}
	return lop.closing && (len(lop.queue) == 1 || rsp.closeAfter)
}

// nextIsDone reports whether the response after the first one can be written at once, so that both are sent together.
func (lop *loop) nextIsDone() (ok bool) {
	lop.mu.Lock()
	defer lop.mu.Unlock()
	if len(lop.queue) < 2 {
		return false
	}
	select {
	case <-lop.queue[1].done:
		return true
	default:
		return false
	}
}

// pop removes the first request from the queue after it was answered.
func (lop *loop) pop(rsp *response) {
	rsp.release()
	lop.mu.Lock()
	lop.queue = lop.queue[1:]
	lop.bytes -= rsp.size
	switch {
	case len(lop.queue) > 0:
	case lop.closing:
		lop.linger = true
	case lop.waiting:
		lop.con.StartIdle()
	}
	lop.mu.Unlock()
	lop.leaveGate(rsp)
	notify(lop.room)
}

// awaitClose reads until the caller closes the connection, if it got all responses.
func (lop *loop) awaitClose() {
	lop.mu.Lock()
	linger := lop.linger
	lop.mu.Unlock()
	if !linger || lop.con.CloseWrite() != nil {
		return
	}
	lop.con.StartRequest()
	_ = lop.con.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(lop.con, lingerBytes))
}
