package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/pkg/errors"

	"cardamompass"
)

// errBound refuses the bytes of an attempt that must not be written on this connection.
var errBound = errors.New("attempt is settled or bound to another connection")

// ledger counts the bytes of one attempt on the wire. It decides whether the attempt certainly did not run.
type ledger struct {
	mu      sync.Mutex
	con     *conn
	sealed  bool
	pending int   // writes under way
	written int64 // bytes that a connection took
	peerErr error // first failure that the connection reported while it was open on our side

	header   scanner
	received int64
	interim  bool // informational answers came first, so that the length of the header is not known
}

func newLedger() *ledger { return &ledger{} }

// trace binds the attempt to the connection that net/http picks for it.
func (lgr *ledger) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(inf httptrace.GotConnInfo) {
			if con, ok := inf.Conn.(*conn); ok {
				con.bind(lgr)
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			lgr.mu.Lock()
			defer lgr.mu.Unlock()
			lgr.interim = true
			return nil
		},
	}
}

// take binds the ledger to con. It reports false when the attempt was bound before: a second connection means that
// net/http is about to re-send the request.
func (lgr *ledger) take(con *conn) (ok bool) {
	lgr.mu.Lock()
	defer lgr.mu.Unlock()
	if lgr.con != nil || lgr.sealed {
		return false
	}
	lgr.con = con
	return true
}

func (lgr *ledger) beginWrite() (err error) {
	lgr.mu.Lock()
	defer lgr.mu.Unlock()
	if lgr.sealed {
		return errBound
	}
	lgr.pending++
	return nil
}

func (lgr *ledger) endWrite(num int, err error) {
	lgr.mu.Lock()
	defer lgr.mu.Unlock()
	lgr.pending--
	lgr.written += int64(num)
	lgr.noteLocked(err)
}

func (lgr *ledger) endRead(got []byte, err error) {
	lgr.mu.Lock()
	defer lgr.mu.Unlock()
	lgr.received += int64(len(got))
	lgr.header.scan(got)
	lgr.noteLocked(err)
}

func (lgr *ledger) note(err error) {
	lgr.mu.Lock()
	defer lgr.mu.Unlock()
	lgr.noteLocked(err)
}

func (lgr *ledger) noteLocked(err error) {
	if err != nil && lgr.peerErr == nil && !errors.Is(err, net.ErrClosed) {
		lgr.peerErr = err
	}
}

// seal forbids all later writes of the attempt and reports whether no byte of it was written.
func (lgr *ledger) seal() (unsent bool) {
	lgr.mu.Lock()
	defer lgr.mu.Unlock()
	lgr.sealed = true
	return lgr.written == 0 && lgr.pending == 0
}

// broken reports whether the connection ended or failed from outside.
func (lgr *ledger) broken() bool {
	lgr.mu.Lock()
	defer lgr.mu.Unlock()
	return lgr.peerErr != nil
}

// surplus reports whether bytes arrived beyond an answer whose body has the given length.
func (lgr *ledger) surplus(bodyBytes int64) bool {
	lgr.mu.Lock()
	defer lgr.mu.Unlock()
	return lgr.header.done && !lgr.interim && lgr.received > lgr.header.bytes+bodyBytes
}

// drop closes the attempt's connection, so that nothing that follows on it can be taken for another answer.
func (lgr *ledger) drop() {
	lgr.mu.Lock()
	con := lgr.con
	lgr.mu.Unlock()
	if con != nil {
		con.Close() //nolint:errcheck // the connection is given up
	}
}

// failure turns an error of the transport into what is certain about the attempt.
func (lgr *ledger) failure(ctx context.Context, target cardamompass.TargetID, cause error) (err error) {
	reason := cause.Error()
	if ctx.Err() != nil {
		reason = fmt.Sprintf("%v while waiting for the target", context.Cause(ctx))
	}
	if lgr.seal() {
		return &cardamompass.NotRunError{
			Reason: "no byte was sent to the target: " + reason,
		}
	}
	lgr.drop()
	return &cardamompass.UnknownOutcomeError{
		Reason: "no whole answer of the target: " + reason,
		Target: target,
		Broken: ctx.Err() == nil && lgr.broken(),
	}
}

// bad gives up an answer that is not the attempt's own or not whole.
func (lgr *ledger) bad(target cardamompass.TargetID, reason string) (err error) {
	lgr.seal()
	lgr.drop()
	return &cardamompass.UnknownOutcomeError{
		Reason: "answer dropped: " + reason,
		Target: target,
	}
}

// conn is a connection to a target that counts for the attempt it is bound to.
type conn struct {
	net.Conn
	closed func()
	once   sync.Once

	mu      sync.Mutex
	lgr     *ledger
	refused bool
	failure error // failure seen while no attempt was bound, or by an earlier one
}

func (con *conn) bind(lgr *ledger) {
	ok := lgr.take(con)
	con.mu.Lock()
	defer con.mu.Unlock()
	con.refused = !ok
	if ok {
		con.lgr = lgr
		lgr.note(con.failure)
	}
}

func (con *conn) bound() (lgr *ledger, refused bool) {
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.lgr, con.refused
}

// Write implements net.Conn. It fails without writing for an attempt that is sealed or bound elsewhere.
func (con *conn) Write(buf []byte) (num int, err error) {
	lgr, refused := con.bound()
	if refused || lgr == nil {
		return 0, errBound
	}
	if err = lgr.beginWrite(); err != nil {
		return 0, err
	}
	num, err = con.Conn.Write(buf)
	lgr.endWrite(num, err)
	return num, err //nolint:wrapcheck // net/http compares errors of connections
}

// Read implements net.Conn.
func (con *conn) Read(buf []byte) (num int, err error) {
	num, err = con.Conn.Read(buf)
	con.mu.Lock()
	defer con.mu.Unlock()
	if err != nil {
		con.failure = err
	}
	if con.lgr != nil {
		con.lgr.endRead(buf[:num], err)
	}
	return num, err
}

// ReadFrom implements io.ReaderFrom through Write, so that no byte goes around the count.
func (con *conn) ReadFrom(src io.Reader) (num int64, err error) {
	return io.Copy(struct{ io.Writer }{con}, src)
}

// Close implements net.Conn.
func (con *conn) Close() (err error) {
	con.once.Do(con.closed)
	return con.Conn.Close()
}

// scanner finds the end of the header in the bytes of one answer.
type scanner struct {
	done  bool
	bytes int64 // length of the header with its empty line, once done
	tail  []byte
}

var headerEnd = []byte("\r\n\r\n")

func (scn *scanner) scan(got []byte) {
	if scn.done || len(got) == 0 {
		return
	}
	before := len(scn.tail)
	window := got
	if before > 0 {
		window = append(scn.tail, got...)
	}
	if idx := bytes.Index(window, headerEnd); idx >= 0 {
		scn.done = true
		scn.bytes += int64(idx + len(headerEnd) - before)
		scn.tail = nil
		return
	}
	scn.bytes += int64(len(got))
	keep := min(len(window), len(headerEnd)-1)
	scn.tail = append([]byte(nil), window[len(window)-keep:]...)
}
