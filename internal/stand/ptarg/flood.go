package ptarg

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// floodLimit bounds an endless response in bytes, so that a caller that reads all of it does not hang the test.
const floodLimit = 1 << 30

// flood sends an endless response until the caller closes the connection. head holds the headers of a valid response.
func (tgt *Target) flood(wrt http.ResponseWriter, flt Fault, head string) {
	start, repeated := floodText(flt, head)
	con, _, err := http.NewResponseController(wrt).Hijack()
	if err != nil {
		return
	}
	defer con.Close() //nolint:errcheck // the connection is not used again
	tgt.mu.Lock()
	slow := tgt.slow
	tgt.mu.Unlock()
	piece := strings.Repeat(repeated, 1+(16<<10)/len(repeated))
	if slow > 0 {
		piece = repeated
	}
	_, err = io.WriteString(con, start)
	for sent := 0; err == nil && sent < floodLimit; {
		num := 0
		num, err = tgt.writePiece(con, piece, slow)
		sent += num
	}
}

// writePiece writes a part of an endless response: all of it, or its bytes one by one at an interval.
func (tgt *Target) writePiece(con net.Conn, piece string, interval time.Duration) (num int, err error) {
	defer func() {
		tgt.mu.Lock()
		defer tgt.mu.Unlock()
		tgt.sent += int64(num)
	}()
	if interval == 0 {
		return io.WriteString(con, piece)
	}
	for ; num < len(piece); num++ {
		time.Sleep(interval)
		if _, err = io.WriteString(con, piece[num:num+1]); err != nil {
			return num, err
		}
	}
	return num, nil
}

// floodText returns the beginning of an endless response and the text that follows again and again.
func floodText(flt Fault, head string) (start, repeated string) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	switch flt {
	case FaultEndlessLine:
		return "HTTP/1.1 200 ", "OK "
	case FaultEndlessHead:
		return ok + head, "X-Filler: 0123456789\r\n"
	case FaultEndlessInterim:
		return "", "HTTP/1.1 102 Processing\r\n\r\n"
	case FaultEndlessNoise:
		return ok + "\r\n", "noise "
	case FaultEndlessChunks:
		return ok + head + chunked, "10\r\n0123456789abcdef\r\n"
	case FaultEndlessExtension:
		return ok + head + chunked + "10;a=", "b"
	case FaultEndlessTrailer:
		return ok + head + chunked + "2\r\nok\r\n0\r\n", "X-Filler: 0123456789\r\n"
	default:
		return ok + head + "Connection: close\r\n\r\n", "body "
	}
}

// respondTwice sends a response, and a refusal without a request id once the next request has arrived, followed by its response.
func (tgt *Target) respondTwice(wrt http.ResponseWriter, text string) {
	con, buf, err := http.NewResponseController(wrt).Hijack()
	if err != nil {
		return
	}
	defer con.Close() //nolint:errcheck // the connection is not used again
	_, _ = io.WriteString(con, text)
	_ = con.SetReadDeadline(time.Now().Add(5 * time.Second))
	req, err := http.ReadRequest(buf.Reader)
	if err != nil {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	tgt.record(newRun(req, body))
	_, _ = io.WriteString(con, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	_, _ = io.WriteString(con, encodeResponse(req.Header.Get("Request-Id")))
}

// respondEarly responds, reads the body of the request after earlyDelay, and serves one more request on the connection.
func (tgt *Target) respondEarly(wrt http.ResponseWriter, req *http.Request, id string) {
	con, buf, err := http.NewResponseController(wrt).Hijack()
	if err != nil {
		return
	}
	defer con.Close() //nolint:errcheck // the connection is not used again
	_, _ = io.WriteString(con, encodeResponse(id))
	time.Sleep(earlyDelay)
	_ = con.SetReadDeadline(time.Now().Add(5 * time.Second))
	body := make([]byte, req.ContentLength)
	num, err := io.ReadFull(buf.Reader, body)
	tgt.record(newRun(req, body[:num]))
	if err == nil {
		tgt.serveRecorded(con, buf.Reader)
	}
}

// earlyDelay is the time after which a target that has responded early reads the body.
const earlyDelay = 100 * time.Millisecond

// serveRecorded responds to one more request and records it.
func (tgt *Target) serveRecorded(con net.Conn, rdr *bufio.Reader) {
	req, err := http.ReadRequest(rdr)
	if err != nil {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	tgt.record(newRun(req, body))
	_, _ = io.WriteString(con, encodeResponse(req.Header.Get("Request-Id")))
}
