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

// stream returns a long answer whose body is read from the target as the receiver reads it.
func (rly *Relay) stream(
	ctx context.Context, cancel context.CancelFunc, atm Attempt, rsp *http.Response, lgr *ledger,
) (ans cardamompass.Response) {
	str := &stream{
		rly:    rly,
		ctx:    ctx,
		cancel: cancel,
		atm:    atm,
		lgr:    lgr,
		body:   rsp.Body,
		total:  bodyLength(rsp),
		part:   bodyLength(rsp),
	}
	if resumable(atm.Request, rsp) {
		str.etag = rsp.Header.Get("Etag")
	}
	length := rsp.ContentLength
	strip(rsp.Header)
	return cardamompass.Response{
		Status: rsp.StatusCode,
		Header: rsp.Header,
		Body:   str,
		Length: length,
		Target: atm.Target.ID,
	}
}

// resumable reports whether the rest of a cut answer may be fetched with a second request: the first request may run
// twice, asked for the whole content, and the content has a strong validator.
func resumable(req cardamompass.Request, rsp *http.Response) bool {
	tag := rsp.Header.Get("Etag")
	strong := len(tag) >= 2 && tag[0] == '"' && tag[len(tag)-1] == '"'
	return strong && req.Idempotent && req.Method == http.MethodGet && rsp.StatusCode == http.StatusOK &&
		len(req.Header["Range"]) == 0 && !strings.EqualFold(rsp.Header.Get("Accept-Ranges"), "none")
}

// stream is the body of a long answer. It is used by one goroutine at a time.
type stream struct {
	rly    *Relay
	ctx    context.Context //nolint:containedctx // the body belongs to the request that ctx bounds
	cancel context.CancelFunc
	atm    Attempt
	lgr    *ledger
	body   io.ReadCloser
	etag   string // strong validator, empty if the answer can't be resumed
	total  int64  // length of the content, -1 while unknown
	part   int64  // length of the current part, -1 if unknown
	offset int64  // bytes handed on
	resume int    // resumptions so far
	err    error  // sticky end
}

// Read implements io.Reader. It returns io.EOF only after the whole answer; a cut that can't be resumed is an
// UnknownOutcomeError.
func (str *stream) Read(buf []byte) (num int, err error) {
	for str.err == nil {
		num, err = str.body.Read(buf[:min(len(buf), ChunkBytes)])
		str.offset += int64(num)
		if err != nil {
			str.finish(err)
		}
		if num > 0 && str.atm.Pace != nil {
			if perr := str.atm.Pace(str.ctx, num); perr != nil {
				str.end(str.lgr.failure(str.ctx, str.atm.Target.ID, perr))
			}
		}
		if num > 0 || len(buf) == 0 {
			return num, nil
		}
	}
	return 0, str.err
}

// finish handles the end of the current part: the end of the answer, or a cut.
func (str *stream) finish(cause error) {
	whole := errors.Is(cause, io.EOF) && (str.total < 0 || str.offset == str.total)
	if whole && str.part >= 0 && str.lgr.surplus(str.part) {
		str.end(str.lgr.bad(str.atm.Target.ID, "bytes follow its declared end"))
		return
	}
	if whole {
		str.end(io.EOF)
		return
	}
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	err := str.lgr.failure(str.ctx, str.atm.Target.ID, cause)
	for str.etag != "" && str.resume < str.rly.cfg.MaxResumptions && str.ctx.Err() == nil {
		str.resume++
		again, rerr := str.reopen()
		if rerr == nil {
			return
		}
		err = errors.Wrapf(err, "resumption %d: %v", str.resume, rerr)
		if !again {
			break
		}
	}
	str.end(err)
}

// reopen asks the target for the rest of the content. again tells whether a further try may succeed.
func (str *stream) reopen() (again bool, err error) {
	str.body.Close() //nolint:errcheck // the part was cut
	atm := str.atm
	atm.AttemptID = str.atm.AttemptID + "-resume-" + strconv.Itoa(str.resume)
	ctx, cancel, left, err := str.rly.withDeadline(str.ctx, time.Time{}) // the stream's context has the deadline
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
	rsp, lgr, err := str.rly.send(ctx, atm, hdr)
	if err != nil {
		return true, err
	}
	total, err := str.rest(rsp)
	if err != nil {
		rsp.Body.Close() //nolint:errcheck // the answer is given up
		return false, lgr.bad(atm.Target.ID, err.Error())
	}
	str.lgr, str.body, str.total, str.part = lgr, rsp.Body, total, rsp.ContentLength
	return false, nil
}

// rest checks that rsp is exactly the missing rest of the same content and returns the length of the whole content.
func (str *stream) rest(rsp *http.Response) (total int64, err error) {
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
	str.body.Close() //nolint:errcheck // read to its end or given up
	str.cancel()
}

// Close implements io.Closer. Closing before the end closes the connection, which cancels the request.
func (str *stream) Close() (err error) {
	if str.err == nil {
		str.end(errors.New("answer closed"))
	}
	return nil
}
