// Package send sends one request to one instance of a target and returns its complete response, or a Failure that tells whether the
// request has certainly not run.
//
// A connection carries one request at a time. It is kept for the next one only after a complete response with no bytes behind it.
// The package writes each request at most once and never on two connections. A Failure claims that the request has not run only if
// no byte of it was written or the target itself reported so.
package send

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
)

const (
	// dialTimeout bounds the opening of a connection. Regions are up to 35 ms apart; a lost SYN is retransmitted only after one
	// second.
	dialTimeout = 450 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept when the target states no idle timeout.
	defaultIdleTimeout = 6 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that a target states, to allow for network delay and differences of
	// clocks.
	idleTimeoutMargin = time.Second
	// maxInlineBody is the size up to which a request body is written before the response is read. A longer body is written
	// concurrently, because a target may respond before it has read the body.
	maxInlineBody = 16 << 10
	// maxUnrelatedResponses bounds the responses that are read on one connection to find the one to a request.
	maxUnrelatedResponses = 4
	// maxResponseBytes bounds the size of a response. Responses are buffered completely, so that a truncated one is never handed on
	// as complete.
	maxResponseBytes = 32 << 20
	readBufferSize   = 4 << 10
	// safeIdleTime is the longest idle time of a connection that is reused while idle connections are suspect. The users' targets
	// that drop idle connections do so after 300 ms.
	safeIdleTime = 250 * time.Millisecond
	// idleSuspectTime is how long idle connections are suspect after one broke that had been idle for longer than safeIdleTime. If
	// targets still drop connections when that time ends, each VM that reuses one loses a request. On the users' platform such
	// faults last 2 to 7 s.
	idleSuspectTime = 5 * time.Second
	// idleSuspectTimeNonIdempotent is the same for non-idempotent requests. It is longer because these can't be retried, so that
	// idempotent requests test the connections first.
	idleSuspectTimeNonIdempotent = 30 * time.Second
)

// Kind is the kind of a Failure.
type Kind string

// The kinds of failures.
const (
	// KindConnect is a connection that could not be opened.
	KindConnect Kind = "connect"
	// KindRefused is a connection that was refused: nothing listens at the address.
	KindRefused Kind = "refused"
	// KindShed is a response that states that the target has not run the request.
	KindShed Kind = "shed"
	// KindWrongInstance is a response that states that another instance has the address.
	KindWrongInstance Kind = "other-instance"
	// KindBroken is a connection that ended before the complete response.
	KindBroken Kind = "broken"
	// KindInvalidResponse is malformed data or a response that the target itself did not produce.
	KindInvalidResponse Kind = "garbled"
	// KindTimeout is a deadline that has passed.
	KindTimeout Kind = "timeout"
	// KindCancelled is a request whose context was cancelled.
	KindCancelled Kind = "cancelled"
)

// Failure reports a request without a complete response.
type Failure struct {
	Kind Kind
	// NotRun is set when the request has certainly not run and never will.
	NotRun bool
	// HeaderReceived is set when the header of a response was received.
	HeaderReceived bool
	// Info holds what a target stated in a response that reports the request as not run.
	Info cardamompass.ResponseInfo
	Err  error
}

func (err *Failure) Error() string { return string(err.Kind) + ": " + err.Err.Error() }

// Unwrap returns the cause.
func (err *Failure) Unwrap() error { return err.Err }

// Message is a request to be sent to an instance.
type Message struct {
	ID     cardamompass.RequestID
	Method string
	// URI is the request target as the caller sent it.
	URI  string
	Host string
	// Header holds the caller's end-to-end headers. It is not modified.
	Header   http.Header
	Body     []byte
	HasBody  bool
	Deadline time.Time
	// NonIdempotent is set when the request must run at most once, so that it can't be retried after its connection broke.
	NonIdempotent bool
}

// Reply is the complete response of an instance.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Info   cardamompass.ResponseInfo
}

// Config configures a Sender.
type Config struct {
	Protocol cardamompass.Protocol
	Clock    cardamompass.Clock
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (con net.Conn, err error)
	// OnConnect is called after each new connection. Optional.
	OnConnect func()
	// Log receives a line when idle connections become suspect. Optional.
	Log *zap.Logger
}

// Sender sends requests to instances. It is safe for concurrent use.
type Sender struct {
	cfg  Config
	mu   sync.Mutex
	idle map[cardamompass.InstanceID][]*conn
	// lastIdleBreak is when a request last broke on a connection that had been idle for longer than safeIdleTime.
	lastIdleBreak time.Time
}

type conn struct {
	net.Conn
	rdr       *bufio.Reader
	expires   time.Time // no reuse after this time
	idleSince time.Time // end of the last request, or the time of the dial
}

// New returns a Sender and a function that closes its idle connections.
func New(cfg Config) (snd *Sender, cleanup func()) {
	if cfg.OnConnect == nil {
		cfg.OnConnect = func() {}
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	snd = &Sender{
		cfg:  cfg,
		idle: make(map[cardamompass.InstanceID][]*conn),
	}
	return snd, func() { snd.PruneIdle(func(cardamompass.InstanceID) bool { return false }) }
}

// Do sends msg to ins and returns the response. Cancelling ctx closes the connection, which makes most targets drop the request.
// The error is a *Failure.
func (snd *Sender) Do(ctx context.Context, ins cardamompass.Instance, msg Message) (rep Reply, err error) {
	con, err := snd.connect(ctx, ins, msg)
	if err != nil {
		return rep, err
	}
	began := snd.cfg.Clock.Now()
	left := msg.Deadline.Sub(began)
	if left <= 0 || ctx.Err() != nil {
		snd.putIdle(ins.ID, con)
		return rep, notSent(kindAfter(ctx, KindTimeout), errors.New("no time left to send"))
	}
	_ = con.SetDeadline(msg.Deadline) // fails only on a closed connection, and then the write fails too
	stop := context.AfterFunc(ctx, func() { _ = con.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	rep, reusable, err := snd.exchange(ctx, con, ins, msg, left)
	if idleFor := began.Sub(con.idleSince); idleFor > safeIdleTime && brokenBeforeResponse(err) {
		snd.suspectIdle(ins.ID, msg.ID, idleFor)
	}
	if stop() && reusable && con.rdr.Buffered() == 0 {
		con.idleSince = snd.cfg.Clock.Now()
		con.expires = con.idleSince.Add(idleTimeout(rep.Header))
		snd.putIdle(ins.ID, con)
	} else {
		_ = con.Close()
	}
	return rep, err
}

// exchange writes the request and reads the response. reusable is set when the connection is at the end of the response and may be
// kept.
func (snd *Sender) exchange(
	ctx context.Context, con *conn, ins cardamompass.Instance, msg Message, left time.Duration,
) (rep Reply, reusable bool, err error) {
	head, body := snd.encode(ins, msg, left)
	written := make(chan error, 1)
	if len(body) <= maxInlineBody {
		num, werr := con.Write(append(head, body...))
		if werr != nil && num == 0 {
			return rep, false, notSent(kindAfter(ctx, KindBroken), werr)
		}
		written <- werr // read the response all the same: a target may respond before it has read the complete request
	} else {
		go func() {
			_, werr := con.Write(append(head, body...))
			written <- werr
		}()
	}
	rep, keepAlive, err := snd.read(ctx, con, msg)
	select {
	case werr := <-written:
		return rep, keepAlive && werr == nil, err
	default:
		return rep, false, err // the body is still being written; the connection will be closed
	}
}

// encode encodes the request. It never uses chunked encoding, because the length of the body is known.
func (snd *Sender) encode(ins cardamompass.Instance, msg Message, left time.Duration) (head, body []byte) {
	hdr := make(http.Header, len(msg.Header)+3)
	for name, values := range msg.Header {
		hdr[name] = values
	}
	snd.cfg.Protocol.SetRequestHeaders(hdr, ins.ID, left)
	if msg.HasBody {
		hdr["Content-Length"] = []string{strconv.Itoa(len(msg.Body))}
	}
	var buf bytes.Buffer
	buf.Grow(512 + min(len(msg.Body), maxInlineBody))
	buf.WriteString(msg.Method + " " + msg.URI + " HTTP/1.1\r\nHost: " + msg.Host + "\r\n")
	_ = hdr.Write(&buf) // bytes.Buffer.Write never fails
	buf.WriteString("\r\n")
	return buf.Bytes(), msg.Body
}

// read reads responses until the one to msg.
func (snd *Sender) read(ctx context.Context, con *conn, msg Message) (rep Reply, reusable bool, err error) {
	req := &http.Request{
		Method: msg.Method,
	}
	for range maxUnrelatedResponses {
		rsp, err := http.ReadResponse(con.rdr, req)
		if err != nil {
			return rep, false, readFailure(ctx, err, false)
		}
		if rsp.StatusCode < http.StatusOK {
			continue
		}
		inf := snd.cfg.Protocol.ParseResponse(rsp.StatusCode, rsp.Header)
		data, err := readBody(rsp)
		if err != nil {
			return rep, false, readFailure(ctx, err, true)
		}
		if inf.ID != msg.ID && inf.ID != "" {
			continue // a late or duplicate response to another request
		}
		if inf.NotRun {
			return Reply{Header: rsp.Header}, !rsp.Close, notRunResponse(inf, rsp.StatusCode)
		}
		if inf.ID == "" || inf.Transformed || (rsp.StatusCode < 300 && !inf.Signed) {
			return rep, false, &Failure{
				Kind:           KindInvalidResponse,
				HeaderReceived: true,
				Err:            errors.Errorf("response with status %d is not the target's own", rsp.StatusCode),
			}
		}
		return Reply{
			Status: rsp.StatusCode,
			Header: rsp.Header,
			Body:   data,
			Info:   inf,
		}, !rsp.Close, nil
	}
	return rep, false, &Failure{
		Kind:           KindInvalidResponse,
		HeaderReceived: true,
		Err:            errors.New("too many responses to other requests"),
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

// readBody reads a body to its end. A response without a declared length ends when the connection is closed; a reset is an error.
func readBody(rsp *http.Response) (data []byte, err error) {
	defer rsp.Body.Close() //nolint:errcheck // the body is read to its end or the connection is closed
	if rsp.ContentLength > maxResponseBytes {
		return nil, errors.Errorf("response body of %d bytes exceeds the size limit", rsp.ContentLength)
	}
	if rsp.ContentLength >= 0 {
		data = make([]byte, rsp.ContentLength)
		_, err = io.ReadFull(rsp.Body, data)
		return data, err
	}
	data, err = io.ReadAll(io.LimitReader(rsp.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = errors.New("response body exceeds the size limit")
	}
	return data, err
}

func readFailure(ctx context.Context, cause error, headerReceived bool) (err *Failure) {
	kind := KindBroken
	var ner net.Error
	switch {
	case ctx.Err() != nil:
		kind = kindAfter(ctx, KindCancelled)
	case errors.As(cause, &ner) && ner.Timeout():
		kind = KindTimeout
	case strings.Contains(cause.Error(), "malformed"):
		kind = KindInvalidResponse
	}
	return &Failure{
		Kind:           kind,
		HeaderReceived: headerReceived,
		Err:            cause,
	}
}

func notSent(kind Kind, cause error) (err *Failure) {
	return &Failure{
		Kind:   kind,
		NotRun: true,
		Err:    cause,
	}
}

// kindAfter returns the kind of a failure: the one that the end of ctx implies, or kind while ctx has not ended.
func kindAfter(ctx context.Context, kind Kind) Kind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return KindTimeout
	case ctx.Err() != nil:
		return KindCancelled
	default:
		return kind
	}
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
