package send

import (
	"cmp"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cardamompass"

	"github.com/pkg/errors"

	"cardamompass/internal/edge/buffer"
	"cardamompass/internal/plat/strict"
)

const (
	// maxUnrelatedResponses bounds the responses that are read on one connection to find the one to a request.
	maxUnrelatedResponses = 4
	// maxHeadBytes bounds the status line and the header of a response.
	maxHeadBytes = 64 << 10
	// maxResponseBytes bounds the body of a response. Responses are buffered completely, so that a truncated one is never handed on
	// as complete.
	maxResponseBytes = 32 << 20
	// maxOtherBytes bounds the body of a response that is not handed on: one to another request, or a refusal.
	maxOtherBytes  = 1 << 20
	readBufferSize = 4 << 10
)

// read reads responses until the one to msg.
func (snd *Sender) read(ctx context.Context, con *conn, msg Message) (rep Reply, reusable bool, err error) {
	req := &http.Request{
		Method: msg.Method,
	}
	for num := range maxUnrelatedResponses {
		rsp, err := con.readHead(ctx, req) //nolint:bodyclose // see readBody
		if err != nil {
			return rep, false, err
		}
		if rsp.StatusCode < http.StatusOK {
			continue
		}
		inf := snd.cfg.Protocol.ParseResponse(rsp.StatusCode, rsp.Header)
		refusal := inf.NotRun && (inf.ID == msg.ID || (inf.ID == "" && num == 0 && !con.reused))
		if inf.ID == "" && !refusal {
			// Without an id, even a refusal may be a late response to an earlier request on the connection.
			return rep, false, invalidResponse("response with status %d has no request id", rsp.StatusCode)
		}
		if inf.ID != msg.ID || refusal {
			if err = snd.discard(rsp); err != nil {
				return rep, false, readFailure(ctx, err, true)
			}
			if refusal {
				return Reply{Header: rsp.Header}, !rsp.Close, notRunResponse(inf, rsp.StatusCode)
			}
			continue // a late or duplicate response to another request
		}
		if inf.Transformed || (rsp.StatusCode < 300 && !inf.Signed) {
			fai := invalidResponse("response with status %d is not the target's own", rsp.StatusCode)
			fai.Info = inf
			return rep, false, fai
		}
		rep = Reply{
			Status: rsp.StatusCode,
			Header: rsp.Header,
			Info:   inf,
			buf:    snd.cfg.Bodies.NewBuffer(),
		}
		if rep.Body, err = readBody(rsp, rep.buf, maxResponseBytes); err != nil {
			rep.Release()
			fai := readFailure(ctx, err, true)
			fai.Info = inf
			return Reply{}, false, fai
		}
		return rep, !rsp.Close, nil
	}
	return rep, false, invalidResponse("too many responses to other requests")
}

// readHead reads the head of a response. The error is a *Failure.
func (con *conn) readHead(ctx context.Context, req *http.Request) (rsp *http.Response, err error) {
	con.limit.left, con.limit.folds = maxHeadBytes, strict.FoldScanner{}
	already, _ := con.rdr.Peek(con.rdr.Buffered()) // read with the response before; can't fail
	con.limit.folds.Scan(already)
	rsp, err = http.ReadResponse(con.rdr, req)
	con.limit.left = math.MaxInt64 // ReadAll bounds the body
	if err != nil {
		return nil, readFailure(ctx, err, false)
	}
	if err = cmp.Or(strict.CheckResponse(rsp), con.limit.folds.Err()); err != nil {
		return nil, invalidResponse("%v", err)
	}
	if rsp.StatusCode == http.StatusSwitchingProtocols {
		return nil, invalidResponse("the target asks for another protocol")
	}
	return rsp, nil
}

// discard reads the body of a response that is not handed on.
func (snd *Sender) discard(rsp *http.Response) (err error) {
	buf := snd.cfg.Bodies.NewBuffer()
	defer buf.Release()
	_, err = readBody(rsp, buf, maxOtherBytes)
	return err
}

func invalidResponse(format string, args ...any) (err *Failure) {
	return &Failure{
		Kind:           KindInvalidResponse,
		HeaderReceived: true,
		Err:            errors.Errorf(format, args...),
	}
}

func notRunResponse(inf cardamompass.ResponseInfo, status int) (err *Failure) {
	kind := KindShed
	if inf.OtherInstance {
		kind = KindWrongInstance
	}
	return &Failure{
		Kind:           kind,
		NotRun:         true,
		HeaderReceived: true,
		Info:           inf,
		Err:            errors.Errorf("target responded with status %d and has not run the request", status),
	}
}

// readBody reads a body to its end. A response without a declared length ends when the connection is closed; a reset is an error, for
// which strict.Conn provides. It does not close the body, which would read an endless one to its end; after an error the connection is
// closed.
func readBody(rsp *http.Response, buf *buffer.Buffer, limit int64) (data []byte, err error) {
	if rsp.Body == http.NoBody {
		return nil, nil // the length that a response to HEAD declares is that of another response
	}
	return buf.ReadAll(rsp.Body, rsp.ContentLength, limit)
}

func readFailure(ctx context.Context, cause error, headerReceived bool) (err *Failure) {
	kind := KindBroken
	var ner net.Error
	switch {
	case ctx.Err() != nil:
		kind = kindAfter(ctx, KindCancelled)
	case errors.As(cause, &ner) && ner.Timeout():
		kind = KindTimeout
	case errors.Is(cause, errHeadTooLong) || tooLarge(cause) || strings.Contains(cause.Error(), "malformed"):
		kind = KindInvalidResponse
	}
	return &Failure{
		Kind:           kind,
		HeaderReceived: headerReceived,
		Err:            cause,
	}
}

// tooLarge reports whether a body could not be held.
func tooLarge(cause error) (ok bool) {
	var long *buffer.TooLongError
	var full *buffer.FullError
	return errors.As(cause, &long) || errors.As(cause, &full)
}

// errHeadTooLong reports a response whose status line and header exceed maxHeadBytes.
var errHeadTooLong = errors.New("the header of the response is too long")

// limitedReader returns errHeadTooLong once it has read more than left bytes.
type limitedReader struct {
	src   io.Reader
	left  int64
	folds strict.FoldScanner // of the current head
}

func (lrd *limitedReader) Read(dst []byte) (num int, err error) {
	if lrd.left <= 0 {
		return 0, errHeadTooLong
	}
	if int64(len(dst)) > lrd.left {
		dst = dst[:lrd.left]
	}
	num, err = lrd.src.Read(dst)
	lrd.left -= int64(num)
	lrd.folds.Scan(dst[:num])
	return num, err
}

// idleTimeout returns how long a connection may stay idle after a response with this header.
func idleTimeout(hdr http.Header) (dur time.Duration) {
	for part := range strings.SplitSeq(hdr.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if secs, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(secs)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}
