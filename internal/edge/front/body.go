package front

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass/internal/edge/buffer"
)

// readBody reads the complete body. On error it has already responded to the caller.
//
// Bodies are held completely before the request is sent, so that a target never runs a part of one and the request can be sent to
// another target.
func (exc *exchange) readBody() (body []byte, err error) {
	limit := exc.vew.Table.Limits.MaxBodyBytes
	length := exc.req.ContentLength
	if limit > 0 && length > limit {
		err = &buffer.TooLongError{
			Limit: limit,
		}
		exc.rejectBody(err)
		return nil, err
	}
	if err = exc.frt.cfg.Bodies.Check(length); err != nil {
		exc.rejectBody(err)
		return nil, err
	}
	if exc.req.Body != http.NoBody {
		rte, _ := exc.vew.Table.Match(hostName(exc.req.Host), exc.req.URL.EscapedPath())
		ctl := http.NewResponseController(exc.wrt)
		_ = ctl.SetReadDeadline(exc.start.Add(exc.timeout(rte))) // without it, the body may take as long as the connection lasts
		body, err = exc.body.ReadAll(exc.req.Body, length, limit)
		if err == nil {
			// A deadline in the past would look like a caller that has disconnected.
			_ = ctl.SetReadDeadline(time.Time{})
		}
	}
	exc.received = exc.frt.cfg.Clock.Now()
	if err != nil {
		exc.rejectBody(err)
	}
	return body, err
}

// rejectBody responds to a request whose body was not read completely. The request has not run.
func (exc *exchange) rejectBody(err error) {
	exc.log.Info("request body not read", zap.Error(err), zap.Int64("length", exc.req.ContentLength))
	var long *buffer.TooLongError
	var full *buffer.FullError
	var ner net.Error
	switch {
	case errors.As(err, &long):
		exc.writeError(http.StatusRequestEntityTooLarge, "the body is too long")
	case errors.As(err, &full):
		exc.refuse("no memory for the body")
	case errors.As(err, &ner) && ner.Timeout():
		exc.writeError(http.StatusRequestTimeout, "the body did not arrive in time")
	default:
		exc.writeError(http.StatusBadRequest, "the body is not whole")
	}
}
