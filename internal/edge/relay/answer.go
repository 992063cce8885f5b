package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"cardamompass"
)

// maxShedBytes bounds the body of a shed answer that is read to keep the connection. A target that sheds is busy, and
// new connections would add to its load.
const maxShedBytes = 4 << 10

// check verifies the header of an answer. On error it has given up the answer.
func (rly *Relay) check(atm Attempt, rsp *http.Response, lgr *ledger) (err error) {
	if rsp.Header.Get(cardamompass.HeaderState) == "draining" {
		rly.cfg.Draining(atm.Target.ID)
	}
	defer func() {
		if err != nil {
			rsp.Body.Close() //nolint:errcheck // the answer is given up
		}
	}()
	echo := rsp.Header[cardamompass.HeaderRequestID]
	switch {
	case len(echo) == 0:
		return lgr.bad(atm.Target.ID, "it has no request id")
	case len(echo) > 1 || echo[0] != atm.AttemptID:
		return lgr.bad(atm.Target.ID, "it has the id of another request")
	case rsp.StatusCode < http.StatusOK:
		return lgr.bad(atm.Target.ID, "it asks for another protocol")
	case !framed(rsp):
		return lgr.bad(atm.Target.ID, "its length is not declared, so that a cut can't be told from its end")
	case rsp.StatusCode == http.StatusServiceUnavailable && rsp.Header.Get(cardamompass.HeaderShed) == "true":
		lgr.seal()
		if rsp.ContentLength <= maxShedBytes {
			io.Copy(io.Discard, rsp.Body) //nolint:errcheck // only keeps the connection for reuse
		}
		return &cardamompass.NotRunError{
			Reason: "the target shed the request",
			Target: atm.Target.ID,
		}
	}
	return nil
}

// framed reports whether the end of the answer can be told from a cut. An answer that ends with its connection can't.
func framed(rsp *http.Response) bool {
	return rsp.ContentLength >= 0 || len(rsp.TransferEncoding) > 0 || rsp.Request.Method == http.MethodHead
}

// bodyLength is the number of body bytes that follow the header on the wire, -1 if it is not known in advance.
func bodyLength(rsp *http.Response) int64 {
	if rsp.Request.Method == http.MethodHead || rsp.StatusCode == http.StatusNoContent ||
		rsp.StatusCode == http.StatusNotModified {
		return 0
	}
	return rsp.ContentLength
}

// readShort reads an answer whole.
func (rly *Relay) readShort(
	ctx context.Context, atm Attempt, rsp *http.Response, lgr *ledger,
) (ans cardamompass.Response, err error) {
	defer rsp.Body.Close() //nolint:errcheck // the body was read to its end or is given up
	length := bodyLength(rsp)
	if length > rly.cfg.MaxShortBytes {
		return ans, lgr.bad(atm.Target.ID, fmt.Sprintf("it declares %d bytes, at most %d are allowed",
			length, rly.cfg.MaxShortBytes))
	}
	buf, err := readWhole(ctx, rsp.Body, length, rly.cfg.MaxShortBytes, atm.Pace)
	if err != nil {
		return ans, lgr.failure(ctx, atm.Target.ID, err)
	}
	if int64(len(buf)) > rly.cfg.MaxShortBytes {
		return ans, lgr.bad(atm.Target.ID, fmt.Sprintf("it has more than the allowed %d bytes", rly.cfg.MaxShortBytes))
	}
	if length >= 0 && lgr.surplus(length) {
		return ans, lgr.bad(atm.Target.ID, "bytes follow its declared end")
	}
	strip(rsp.Header)
	return cardamompass.Response{
		Status: rsp.StatusCode,
		Header: rsp.Header,
		Body:   io.NopCloser(bytes.NewReader(buf)),
		Length: int64(len(buf)),
		Target: atm.Target.ID,
	}, nil
}

// readWhole reads src to its end in chunks, or until it has read more than limit bytes. length is the declared length
// or -1.
func readWhole(ctx context.Context, src io.Reader, length, limit int64, pace Pace) (buf []byte, err error) {
	if length > 0 {
		buf = make([]byte, 0, length+1) // the last byte lets the read that finds the end have room
	} else if length < 0 {
		buf = make([]byte, 0, 4096)
	}
	for int64(len(buf)) <= limit {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		room := buf[len(buf):min(cap(buf), len(buf)+ChunkBytes)]
		num, err := src.Read(room)
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
