package pipe

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"cardamompass/internal/edge/intake"
)

const (
	// errorHeaders and the texts of the errors are those of net/http.
	errorHeaders = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"
	badRequest   = "400 Bad Request"
	// maxDiscard is the length in bytes up to which the rest of a body is read that the handler has left, as by net/http. After a longer
	// one the connection is closed.
	maxDiscard = 256 << 10
	// discardTime bounds the time for it.
	discardTime = 2 * time.Second
)

// protocolError is a request that is answered with an error before any handler sees it. The connection closes after it.
type protocolError struct {
	status string // the status line after the version
	text   string // body
}

func (err *protocolError) Error() string { return err.status }

// response returns the complete response.
func (err *protocolError) response() (text string) {
	return "HTTP/1.1 " + err.status + errorHeaders + err.text
}

func newBadRequest(reason string) (err error) {
	return &protocolError{
		status: badRequest + ": " + reason,
		text:   badRequest + ": " + reason,
	}
}

// parser reads the requests of a connection. It delivers those that net/http would, with the same values.
type parser struct {
	src    *source
	rdr    *bufio.Reader
	con    callerConn
	remote string
	// lastMethod is the method of the request before.
	lastMethod string
}

func newParser(con callerConn, first []byte, lastMethod string) (psr *parser) {
	src := newSource(con, first)
	return &parser{
		src:        src,
		rdr:        bufio.NewReaderSize(src, readSize),
		con:        con,
		remote:     con.RemoteAddr().String(),
		lastMethod: lastMethod,
	}
}

// next reads the header of a request. An error is a protocolError or that of the connection.
func (psr *parser) next() (req *http.Request, err error) {
	if psr.rdr.Buffered() > 0 {
		// The chunks of the body before did not end as they must, and where this request begins is a matter of interpretation.
		return nil, newBadRequest("malformed end of a body")
	}
	psr.src.beginHeader()
	psr.con.StartHeader(psr.src.buffered())
	defer psr.con.StartRequest()
	if psr.lastMethod == http.MethodPost {
		peek, _ := psr.rdr.Peek(4) // an error is returned by ReadRequest
		_, _ = psr.rdr.Discard(leadingBlank(peek))
	}
	req, err = http.ReadRequest(psr.rdr)
	if err != nil {
		return nil, psr.classify(err)
	}
	if err = psr.check(req); err != nil {
		return nil, err
	}
	psr.lastMethod = req.Method
	req.RemoteAddr = psr.remote
	if req.Body != http.NoBody {
		psr.src.beginBody(req.ContentLength)
	}
	return req, nil
}

// leadingBlank returns the number of line ends that begin text. Some callers send one after the body of a POST.
func leadingBlank(text []byte) (count int) {
	for _, chr := range text {
		if chr != '\r' && chr != '\n' {
			break
		}
		count++
	}
	return count
}

// classify returns the error with which a request that could not be read is answered, or that of the connection.
func (psr *parser) classify(err error) (res error) {
	var long *intake.HeaderTooLongError
	switch {
	case errors.As(err, &long):
		return &protocolError{
			status: "431 Request Header Fields Too Large",
			text:   "431 Request Header Fields Too Large",
		}
	case psr.src.err != nil && (errors.Is(err, psr.src.err) || errors.Is(err, io.ErrUnexpectedEOF)):
		return psr.src.err
	case strings.HasPrefix(err.Error(), "unsupported transfer encoding") || strings.HasPrefix(err.Error(), "too many transfer encodings"):
		return &protocolError{
			status: "501 Not Implemented",
			text:   "Unsupported transfer encoding",
		}
	default:
		return &protocolError{
			status: badRequest,
			text:   badRequest,
		}
	}
}

// check makes the checks that net/http makes after http.ReadRequest.
func (psr *parser) check(req *http.Request) (err error) {
	switch {
	case psr.rdr.Buffered() > 0:
		return newBadRequest("malformed header")
	case req.ProtoMajor != 1:
		return &protocolError{
			status: "505 HTTP Version Not Supported: unsupported protocol version",
			text:   "505 HTTP Version Not Supported: unsupported protocol version",
		}
	case req.ProtoAtLeast(1, 1) && !psr.src.head.host && req.Method != http.MethodConnect:
		return newBadRequest("missing required Host header")
	case !httpguts.ValidHostHeader(req.Host):
		return newBadRequest("malformed Host header")
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return newBadRequest("invalid header name")
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return newBadRequest("invalid header value")
			}
		}
	}
	return nil
}

// lengths reports whether the last header has two statements on the length of its body. Its request is handled as net/http does, by the
// chunks, but what others on the path to the caller take for the next request may be a part of the body: the connection must close.
func (psr *parser) lengths() (two bool) {
	return psr.src.head.contentLength && psr.src.head.transferEncoding
}

// expectsContinue reports whether a request announces that its caller waits for status 100.
func expectsContinue(req *http.Request) (ok bool) {
	return hasToken(req.Header["Expect"], "100-continue")
}

// hasToken reports whether the first of the values has a token.
func hasToken(values []string, token string) (ok bool) {
	return len(values) > 0 && httpguts.HeaderValuesContainsToken(values[:1], token)
}

// bodyReader is the body of a request. It sends status 100 when the handler begins to read a body whose caller waits for it.
type bodyReader struct {
	io.ReadCloser
	// proceed sends status 100; nil if the caller doesn't wait for it or got it.
	proceed func() error
	left    int64 // bytes that follow, -1 if unknown
	eof     bool
	failed  bool
}

// Read implements io.Reader.
func (bdy *bodyReader) Read(buf []byte) (num int, err error) {
	if bdy.proceed != nil {
		err = bdy.proceed()
		bdy.proceed = nil
		if err != nil {
			return 0, err
		}
	}
	num, err = bdy.ReadCloser.Read(buf)
	if bdy.left >= 0 {
		bdy.left -= int64(num)
	}
	switch {
	case errors.Is(err, io.EOF):
		bdy.eof = true
	case err != nil:
		bdy.failed = true
	}
	return num, err
}

// Close implements io.Closer. The rest of the body is read by discard.
func (bdy *bodyReader) Close() (err error) { return nil }

// discard reads what the handler has left of the body, if this is little. Otherwise ok is false, and the connection must close.
func (bdy *bodyReader) discard(con net.Conn) (ok bool) {
	switch {
	case bdy.eof:
		return true
	case bdy.failed || bdy.proceed != nil || bdy.left >= maxDiscard:
		return false
	}
	_ = con.SetReadDeadline(time.Now().Add(discardTime))
	_, err := io.CopyN(io.Discard, bdy, maxDiscard+1)
	return errors.Is(err, io.EOF)
}
