package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/plat/strict"
)

// errWriteRejected is returned by the writes of an attempt that must not be sent on this connection.
var errWriteRejected = errors.New("attempt is settled or bound to another connection")

// attemptState records what one attempt has written and received on its connection. It decides whether the attempt certainly did
// not run.
type attemptState struct {
	mu          sync.Mutex
	con         *conn
	writesEnded bool
	pending     int   // writes in progress
	written     int64 // bytes accepted by the connection
	peerErr     error // first error of the connection that was not caused by closing it on this side

	header   headerScanner
	folds    strict.FoldScanner // of the first header, which is that of an informational response if one comes first
	received int64
	interim  bool // informational responses came first, so the header length is unknown
}

func newAttemptState() *attemptState { return &attemptState{} }

// trace returns the trace that binds the attempt to the connection that net/http chooses for it.
func (ast *attemptState) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(inf httptrace.GotConnInfo) {
			if con, ok := inf.Conn.(*conn); ok {
				con.bind(ast)
			}
		},
		Got1xxResponse: func(_ int, hdr textproto.MIMEHeader) error {
			ast.mu.Lock()
			defer ast.mu.Unlock()
			ast.interim = true
			return strict.CheckHeader(http.Header(hdr))
		},
	}
}

// bindTo binds the attempt to con. It returns false if the attempt was already bound or has ended: a second connection means that
// net/http is about to re-send the request.
func (ast *attemptState) bindTo(con *conn) (ok bool) {
	ast.mu.Lock()
	defer ast.mu.Unlock()
	if ast.con != nil || ast.writesEnded {
		return false
	}
	ast.con = con
	return true
}

func (ast *attemptState) beginWrite() (err error) {
	ast.mu.Lock()
	defer ast.mu.Unlock()
	if ast.writesEnded {
		return errWriteRejected
	}
	ast.pending++
	return nil
}

func (ast *attemptState) endWrite(num int, err error) {
	ast.mu.Lock()
	defer ast.mu.Unlock()
	ast.pending--
	ast.written += int64(num)
	ast.recordErrorLocked(err)
}

func (ast *attemptState) endRead(got []byte, err error) {
	ast.mu.Lock()
	defer ast.mu.Unlock()
	ast.received += int64(len(got))
	ast.header.scan(got)
	ast.folds.Scan(got)
	ast.recordErrorLocked(err)
}

func (ast *attemptState) recordError(err error) {
	ast.mu.Lock()
	defer ast.mu.Unlock()
	ast.recordErrorLocked(err)
}

func (ast *attemptState) recordErrorLocked(err error) {
	if err != nil && ast.peerErr == nil && !errors.Is(err, net.ErrClosed) {
		ast.peerErr = err
	}
}

// endWrites forbids further writes of the attempt and reports whether no byte of it was written.
func (ast *attemptState) endWrites() (unsent bool) {
	ast.mu.Lock()
	defer ast.mu.Unlock()
	ast.writesEnded = true
	return ast.written == 0 && ast.pending == 0
}

// broken reports whether the connection was closed by the peer or failed.
func (ast *attemptState) broken() bool {
	ast.mu.Lock()
	defer ast.mu.Unlock()
	return ast.peerErr != nil
}

// foldErr returns an error if a line of the header begins with a blank.
func (ast *attemptState) foldErr() (err error) {
	ast.mu.Lock()
	defer ast.mu.Unlock()
	return ast.folds.Err()
}

// hasTrailingBytes reports whether bytes arrived after a response whose body has the given length.
func (ast *attemptState) hasTrailingBytes(bodyBytes int64) bool {
	ast.mu.Lock()
	defer ast.mu.Unlock()
	return ast.header.done && !ast.interim && ast.received > ast.header.bytes+bodyBytes
}

// closeConn closes the attempt's connection, so that bytes that follow on it are not taken for another response.
func (ast *attemptState) closeConn() {
	ast.mu.Lock()
	con := ast.con
	ast.mu.Unlock()
	if con != nil {
		con.Close() //nolint:errcheck // the connection is no longer used
	}
}

// failure converts an error of the transport to the typed error for what is certain about the attempt.
func (ast *attemptState) failure(ctx context.Context, target cardamompass.TargetID, cause error) (err error) {
	reason := cause.Error()
	if ctx.Err() != nil {
		reason = fmt.Sprintf("%v while waiting for the target", context.Cause(ctx))
	}
	if ast.endWrites() {
		return &cardamompass.NotRunError{
			Reason: "no byte was sent to the target: " + reason,
		}
	}
	ast.closeConn()
	return &cardamompass.UnknownOutcomeError{
		Reason: "no whole answer of the target: " + reason,
		Target: target,
		Broken: ctx.Err() == nil && ast.broken(),
	}
}

// rejectResponse drops a response that is incomplete or belongs to another attempt.
func (ast *attemptState) rejectResponse(target cardamompass.TargetID, reason string) (err error) {
	ast.endWrites()
	ast.closeConn()
	return &cardamompass.UnknownOutcomeError{
		Reason: "answer dropped: " + reason,
		Target: target,
	}
}

// conn is a connection to a target that reports its reads and writes to the attempt it is bound to.
type conn struct {
	net.Conn
	closed func()
	once   sync.Once

	mu       sync.Mutex
	ast      *attemptState
	rejected bool
	failure  error // last read error, kept for the attempt that is bound next
}

func (con *conn) bind(ast *attemptState) {
	ok := ast.bindTo(con)
	con.mu.Lock()
	defer con.mu.Unlock()
	con.rejected = !ok
	if ok {
		con.ast = ast
		ast.recordError(con.failure)
	}
}

func (con *conn) bound() (ast *attemptState, refused bool) {
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.ast, con.rejected
}

// Write implements net.Conn. It fails without writing if the attempt has ended or is bound to another connection.
func (con *conn) Write(buf []byte) (num int, err error) {
	ast, refused := con.bound()
	if refused || ast == nil {
		return 0, errWriteRejected
	}
	if err = ast.beginWrite(); err != nil {
		return 0, err
	}
	num, err = con.Conn.Write(buf)
	ast.endWrite(num, err)
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
	if con.ast != nil {
		con.ast.endRead(buf[:num], err)
	}
	return num, err
}

// ReadFrom implements io.ReaderFrom by calling Write, so that every byte is counted.
func (con *conn) ReadFrom(src io.Reader) (num int64, err error) {
	return io.Copy(struct{ io.Writer }{con}, src)
}

// Close implements net.Conn.
func (con *conn) Close() (err error) {
	con.once.Do(con.closed)
	return con.Conn.Close()
}

// headerScanner finds the end of the header in the bytes of one response.
type headerScanner struct {
	done  bool
	bytes int64 // length of the header with its empty line, once done
	tail  []byte
}

var headerEnd = []byte("\r\n\r\n")

func (scn *headerScanner) scan(got []byte) {
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
