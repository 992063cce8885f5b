package relay

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"cardamompass"
	"cardamompass/internal/plat/strict"
)

// maxShedBytes bounds the body of a shed response that is read to keep the connection. A target that sheds is busy, and new
// connections would add to its load.
const maxShedBytes = 4 << 10

// checkHeader verifies the header of a response. On error it has closed the response body.
func (rly *Relay) checkHeader(atm Attempt, rsp *http.Response, ast *attemptState) (err error) {
	defer func() {
		if err != nil {
			rsp.Body.Close() //nolint:errcheck // the response is dropped
		}
	}()
	if err = cmp.Or(strict.CheckResponse(rsp), ast.foldErr()); err != nil {
		return ast.rejectResponse(atm.Target.ID, err.Error())
	}
	if rsp.Header.Get(cardamompass.HeaderState) == "draining" {
		rly.cfg.Draining(atm.Target.ID)
	}
	echo := rsp.Header[cardamompass.HeaderRequestID]
	switch {
	case len(echo) == 0:
		return ast.rejectResponse(atm.Target.ID, "it has no request id")
	case len(echo) > 1 || echo[0] != atm.AttemptID:
		return ast.rejectResponse(atm.Target.ID, "it has the id of another request")
	case rsp.StatusCode < http.StatusOK:
		return ast.rejectResponse(atm.Target.ID, "it asks for another protocol")
	case !framed(rsp):
		return ast.rejectResponse(atm.Target.ID, "its length is not declared, so that a cut can't be told from its end")
	case rsp.StatusCode == http.StatusServiceUnavailable && rsp.Header.Get(cardamompass.HeaderShed) == "true":
		ast.endWrites()
		if rsp.ContentLength <= maxShedBytes {
			// The length of a chunked body is not known. Reading only keeps the connection for reuse.
			io.CopyN(io.Discard, rsp.Body, maxShedBytes+1) //nolint:errcheck // see above
		}
		return &cardamompass.NotRunError{
			Reason: "the target shed the request",
			Target: atm.Target.ID,
		}
	}
	return nil
}

// framed reports whether a complete response can be told from a truncated one. A response that ends when the connection is closed
// can't.
func framed(rsp *http.Response) bool {
	return rsp.ContentLength >= 0 || len(rsp.TransferEncoding) > 0 || rsp.Request.Method == http.MethodHead
}

// bodyLength returns the number of body bytes that follow the header on the wire, -1 if it is not known in advance.
func bodyLength(rsp *http.Response) int64 {
	if rsp.Request.Method == http.MethodHead || rsp.StatusCode == http.StatusNoContent ||
		rsp.StatusCode == http.StatusNotModified {
		return 0
	}
	return rsp.ContentLength
}

// readShort reads a complete response.
func (rly *Relay) readShort(
	ctx context.Context, atm Attempt, rsp *http.Response, ast *attemptState,
) (ans cardamompass.Response, err error) {
	defer rsp.Body.Close() //nolint:errcheck // the body was read to its end or is dropped
	length := bodyLength(rsp)
	if length > rly.cfg.MaxShortBytes {
		return ans, ast.rejectResponse(atm.Target.ID, fmt.Sprintf("it declares %d bytes, at most %d are allowed",
			length, rly.cfg.MaxShortBytes))
	}
	buf, err := readAll(ctx, rsp.Body, length, rly.cfg.MaxShortBytes, atm.Pace)
	if err != nil {
		return ans, ast.failure(ctx, atm.Target.ID, err)
	}
	if int64(len(buf)) > rly.cfg.MaxShortBytes {
		return ans, ast.rejectResponse(atm.Target.ID, fmt.Sprintf("it has more than the allowed %d bytes", rly.cfg.MaxShortBytes))
	}
	if length >= 0 && ast.hasTrailingBytes(length) {
		return ans, ast.rejectResponse(atm.Target.ID, "bytes follow its declared end")
	}
	stripHeaders(rsp.Header)
	return cardamompass.Response{
		Status: rsp.StatusCode,
		Header: rsp.Header,
		Body:   io.NopCloser(bytes.NewReader(buf)),
		Length: int64(len(buf)),
		Target: atm.Target.ID,
	}, nil
}

// readAll reads src in chunks to its end, or until it has read more than limit bytes. length is the declared length or -1.
func readAll(ctx context.Context, src io.Reader, length, limit int64, pace Pace) (buf []byte, err error) {
	if length > 0 {
		buf = make([]byte, 0, length+1) // one spare byte for the read that returns io.EOF
	} else if length < 0 {
		buf = make([]byte, 0, 4096)
	}
	for int64(len(buf)) <= limit {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		free := buf[len(buf):min(cap(buf), len(buf)+ChunkBytes)]
		num, err := src.Read(free)
		buf = buf[:len(buf)+num]
		if num > 0 && pace != nil {
			if perr := pace(ctx, num); perr != nil {
				return nil, perr
			}
		}
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return buf, nil
}
