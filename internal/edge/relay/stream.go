package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
)

// stream returns a long response whose body is read from the target while the receiver reads it.
func (rly *Relay) stream(
	ctx context.Context, cancel context.CancelFunc, atm Attempt, rsp *http.Response, ast *attemptState,
) (ans cardamompass.Response) {
	str := &stream{
		rly:        rly,
		ctx:        ctx,
		cancel:     cancel,
		atm:        atm,
		ast:        ast,
		body:       rsp.Body,
		total:      bodyLength(rsp),
		partLength: bodyLength(rsp),
	}
	if resumable(atm.Request, rsp) {
		str.etag = rsp.Header.Get("Etag")
	}
	length := rsp.ContentLength
	stripHeaders(rsp.Header)
	return cardamompass.Response{
		Status: rsp.StatusCode,
		Header: rsp.Header,
		Body:   str,
		Length: length,
		Target: atm.Target.ID,
	}
}

// resumable reports whether the rest of an interrupted response may be fetched with a second request: the request is an idempotent
// GET for the complete content, and the content has a strong validator.
func resumable(req cardamompass.Request, rsp *http.Response) bool {
	tag := rsp.Header.Get("Etag")
	strong := len(tag) >= 2 && tag[0] == '"' && tag[len(tag)-1] == '"'
	return strong && req.Idempotent && req.Method == http.MethodGet && rsp.StatusCode == http.StatusOK &&
		len(req.Header["Range"]) == 0 && !strings.EqualFold(rsp.Header.Get("Accept-Ranges"), "none")
}

// stream is the body of a long response. It must be used by one goroutine at a time.
type stream struct {
	rly         *Relay
	ctx         context.Context //nolint:containedctx // the body belongs to the request that ctx bounds
	cancel      context.CancelFunc
	atm         Attempt
	ast         *attemptState
	body        io.ReadCloser
	etag        string // strong validator, empty if the response can't be resumed
	total       int64  // length of the content, -1 while unknown
	partLength  int64  // length of the current part, -1 if unknown
	offset      int64  // bytes returned
	resumptions int    // resumptions so far
	err         error  // returned by all further reads
}

// Read implements io.Reader. It returns io.EOF only after the complete response; an interruption that can't be resumed is an
// UnknownOutcomeError.
func (str *stream) Read(buf []byte) (num int, err error) {
	for str.err == nil {
		num, err = str.body.Read(buf[:min(len(buf), ChunkBytes)])
		str.offset += int64(num)
		if err != nil {
			str.endPart(err)
		}
		if num > 0 && str.atm.Pace != nil {
			if perr := str.atm.Pace(str.ctx, num); perr != nil {
				str.end(str.ast.failure(str.ctx, str.atm.Target.ID, perr))
			}
		}
		if num > 0 || len(buf) == 0 {
			return num, nil
		}
	}
	return 0, str.err
}

// endPart handles the end of the current part: the end of the response or an interruption.
func (str *stream) endPart(cause error) {
	complete := errors.Is(cause, io.EOF) && (str.total < 0 || str.offset == str.total)
	if complete && str.partLength >= 0 && str.ast.hasTrailingBytes(str.partLength) {
		str.end(str.ast.rejectResponse(str.atm.Target.ID, "bytes follow its declared end"))
		return
	}
	if complete {
		str.end(io.EOF)
		return
	}
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	err := str.ast.failure(str.ctx, str.atm.Target.ID, cause)
	for str.etag != "" && str.resumptions < str.rly.cfg.MaxResumptions && str.ctx.Err() == nil {
		str.resumptions++
		mayRetry, rerr := str.resume()
		if rerr == nil {
			return
		}
		err = errors.Wrapf(err, "resumption %d: %v", str.resumptions, rerr)
		if !mayRetry {
			break
		}
	}
	str.end(err)
}

// resume requests the rest of the content from the target. mayRetry tells whether a further try may succeed.
func (str *stream) resume() (mayRetry bool, err error) {
	str.body.Close() //nolint:errcheck // the part was interrupted
	atm := str.atm
	atm.AttemptID = str.atm.AttemptID + "-resume-" + strconv.Itoa(str.resumptions)
	ctx, cancel, left, err := str.rly.withDeadline(str.ctx, time.Time{}) // str.ctx already has the deadline
	if err != nil {
		return false, err
	}
	defer cancel()
	hdr, err := requestHeader(atm, left, str.rly.cfg.MaxHeaderBytes)
	if err != nil {
		return false, err
	}
	hdr["Range"] = []string{"bytes=" + strconv.FormatInt(str.offset, 10) + "-"}
	hdr["If-Range"] = []string{str.etag}
	rsp, ast, err := str.rly.send(ctx, atm, hdr)
	if err != nil {
		return true, err
	}
	total, err := str.checkRemainder(rsp)
	if err != nil {
		rsp.Body.Close() //nolint:errcheck // the response is dropped
		return false, ast.rejectResponse(atm.Target.ID, err.Error())
	}
	str.ast, str.body, str.total, str.partLength = ast, rsp.Body, total, rsp.ContentLength
	return false, nil
}

// checkRemainder verifies that rsp is exactly the missing rest of the same content and returns the length of the complete content.
func (str *stream) checkRemainder(rsp *http.Response) (total int64, err error) {
	if rsp.StatusCode != http.StatusPartialContent || rsp.Header.Get("Etag") != str.etag {
		return 0, errors.Errorf("status %d instead of the rest of the same content", rsp.StatusCode)
	}
	var first, last int64
	line := rsp.Header.Get("Content-Range")
	num, err := fmt.Sscanf(line, "bytes %d-%d/%d", &first, &last, &total)
	if err != nil || num != 3 || line != fmt.Sprintf("bytes %d-%d/%d", first, last, total) {
		return 0, errors.Errorf("malformed Content-Range %q", line)
	}
	length := rsp.ContentLength
	if first != str.offset || last != total-1 || first > last || (str.total >= 0 && total != str.total) ||
		(length >= 0 && length != last-first+1) {
		return 0, errors.Errorf("Content-Range %q does not continue at byte %d", line, str.offset)
	}
	return total, nil
}

func (str *stream) end(err error) {
	str.err = err
	str.body.Close() //nolint:errcheck // read to its end or dropped
	str.cancel()
}

// Close implements io.Closer. Closing before the end closes the connection, which cancels the request.
func (str *stream) Close() (err error) {
	if str.err == nil {
		str.end(errors.New("response closed"))
	}
	return nil
}
