// Package send carries one request to one instance of a target and returns its whole answer, or a Failure that says what is certain.
//
// A connection carries one request at a time and is kept for the next one only after a whole answer with nothing behind it. The
// package writes each request at most once and never on two connections. A Failure says that the request has not run only if no byte
// of it was written or the target itself said so.
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
	// dialTimeout bounds the opening of a connection. Regions are up to 35 ms apart; a lost opening packet is repeated only after a second.
	dialTimeout = 450 * time.Millisecond
	// defaultIdle is how long a connection is kept when the target does not say how long it keeps it.
	defaultIdle = 6 * time.Second
	// idleMargin is how long before the end that a target states a connection is given up, for clocks and delay.
	idleMargin = time.Second
	// inlineBody is the size up to which a request body is written before the answer is read. A longer one is written beside it,
	// because a target may answer before it has read the body.
	inlineBody = 16 << 10
	// maxSurplus bounds the answers to other requests that are skipped on one connection.
	maxSurplus = 4
	// maxAnswerBytes bounds an answer. Answers are held whole, so that a broken one never looks complete.
	maxAnswerBytes = 32 << 20
	readBufferSize = 4 << 10
	// sureRest is how long a connection may have rested while targets are held to forget idle ones. Those of the users do so after
	// 300 ms.
	sureRest = 250 * time.Millisecond
	// doubtTime is how long targets are held to forget idle connections after one broke that had rested for longer than sureRest. Each
	// end of it costs a request for each VM that tries again, and its users' troubles last 2 to 7 s.
	doubtTime = 5 * time.Second
	// doubtOnceTime is the same for requests that may run only once: what breaks under them can't be sent again, so others try first.
	doubtOnceTime = 30 * time.Second
)

// Kind is the reason of a Failure.
type Kind string

// The kinds of failures.
const (
	// KindConnect is a connection that could not be opened.
	KindConnect Kind = "connect"
	// KindRefused is a connection that was refused: nothing listens at the address.
	KindRefused Kind = "refused"
	// KindShed is an answer that says that the target has not run the request.
	KindShed Kind = "shed"
	// KindOther is an answer that says that another instance has the address.
	KindOther Kind = "other-instance"
	// KindBroken is a connection that ended before the whole answer.
	KindBroken Kind = "broken"
	// KindGarbled is bytes that are no answer, or an answer that is not the target's own.
	KindGarbled Kind = "garbled"
	// KindTimeout is a deadline that passed.
	KindTimeout Kind = "timeout"
	// KindCancelled is a request that its sender gave up.
	KindCancelled Kind = "cancelled"
)

// Failure reports a request without a whole answer.
type Failure struct {
	Kind Kind
	// NotRun is set when the request has certainly not run and never will.
	NotRun bool
	// Answered is set when the target sent the header of an answer.
	Answered bool
	// Stated is what a target said that shed the request.
	Stated cardamompass.ResponseInfo
	Err    error
}

func (err *Failure) Error() string { return string(err.Kind) + ": " + err.Err.Error() }

// Unwrap returns the cause.
func (err *Failure) Unwrap() error { return err.Err }

// Message is a request as it goes to an instance.
type Message struct {
	ID     cardamompass.RequestID
	Method string
	// URI is the request target as the caller sent it.
	URI  string
	Host string
	// Header holds the caller's headers without those of one connection. It is not modified.
	Header   http.Header
	Body     []byte
	HasBody  bool
	Deadline time.Time
	// Once is set when the request may run only once, so that it can't be sent again after its connection broke.
	Once bool
}

// Reply is the whole answer of an instance.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Stated cardamompass.ResponseInfo
}

// Config configures a Sender.
type Config struct {
	Protocol cardamompass.Protocol
	Clock    cardamompass.Clock
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (con net.Conn, err error)
	// Opened is called after each new connection. Optional.
	Opened func()
	// Log gets a line when a rested connection breaks, which puts the others in doubt. Optional.
	Log *zap.Logger
}

// Sender sends requests to instances. It is safe for concurrent use.
type Sender struct {
	cfg  Config
	mu   sync.Mutex
	idle map[cardamompass.InstanceID][]*conn
	// doubted is when a kept connection that had rested for longer than sureRest last broke under a request.
	doubted time.Time
}

type conn struct {
	net.Conn
	rdr    *bufio.Reader
	usable time.Time // the connection must not be used after this time
	rested time.Time // the connection carries no request since this time
}

// New returns a Sender and the function that closes its idle connections.
func New(cfg Config) (snd *Sender, cleanup func()) {
	if cfg.Opened == nil {
		cfg.Opened = func() {}
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	snd = &Sender{
		cfg:  cfg,
		idle: make(map[cardamompass.InstanceID][]*conn),
	}
	return snd, func() { snd.Trim(func(cardamompass.InstanceID) bool { return false }) }
}

// Do sends msg to ins and returns its answer. Cancelling ctx closes the connection, which makes most targets drop the request.
// The error is a *Failure.
func (snd *Sender) Do(ctx context.Context, ins cardamompass.Instance, msg Message) (rep Reply, err error) {
	con, err := snd.connect(ctx, ins, msg)
	if err != nil {
		return rep, err
	}
	began := snd.cfg.Clock.Now()
	left := msg.Deadline.Sub(began)
	if left <= 0 || ctx.Err() != nil {
		snd.keep(ins.ID, con)
		return rep, notRun(reasonOf(ctx, KindTimeout), errors.New("no time left to send"))
	}
	_ = con.SetDeadline(msg.Deadline) // fails only on a closed connection, which the write reports
	stop := context.AfterFunc(ctx, func() { _ = con.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	rep, whole, err := snd.exchange(ctx, con, ins, msg, left)
	if rested := began.Sub(con.rested); rested > sureRest && forgotten(err) {
		snd.doubt(ins.ID, msg.ID, rested)
	}
	if stop() && whole && con.rdr.Buffered() == 0 {
		con.rested = snd.cfg.Clock.Now()
		con.usable = con.rested.Add(keepTime(rep.Header))
		snd.keep(ins.ID, con)
	} else {
		_ = con.Close()
	}
	return rep, err
}

// exchange writes the request and reads its answer. whole is set when the connection is at the end of the answer and may be kept.
func (snd *Sender) exchange(
	ctx context.Context, con *conn, ins cardamompass.Instance, msg Message, left time.Duration,
) (rep Reply, whole bool, err error) {
	head, body := snd.encode(ins, msg, left)
	written := make(chan error, 1)
	if len(body) <= inlineBody {
		num, werr := con.Write(append(head, body...))
		if werr != nil && num == 0 {
			return rep, false, notRun(reasonOf(ctx, KindBroken), werr)
		}
		written <- werr // a target may answer before it has read everything, so the answer is read all the same
	} else {
		go func() {
			_, werr := con.Write(append(head, body...))
			written <- werr
		}()
	}
	rep, keep, err := snd.read(ctx, con, msg)
	select {
	case werr := <-written:
		return rep, keep && werr == nil, err
	default:
		return rep, false, err // the rest of the body is not sent; the connection is closed instead
	}
}

// encode renders the request. It never sends chunks: the body is known whole.
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
	buf.Grow(512 + min(len(msg.Body), inlineBody))
	buf.WriteString(msg.Method + " " + msg.URI + " HTTP/1.1\r\nHost: " + msg.Host + "\r\n")
	_ = hdr.Write(&buf) // a bytes.Buffer does not fail
	buf.WriteString("\r\n")
	return buf.Bytes(), msg.Body
}

// read reads answers until the one to msg.
func (snd *Sender) read(ctx context.Context, con *conn, msg Message) (rep Reply, keep bool, err error) {
	req := &http.Request{
		Method: msg.Method,
	}
	for range maxSurplus {
		rsp, err := http.ReadResponse(con.rdr, req)
		if err != nil {
			return rep, false, readFailure(ctx, err, false)
		}
		if rsp.StatusCode < http.StatusOK {
			continue
		}
		std := snd.cfg.Protocol.ParseResponse(rsp.StatusCode, rsp.Header)
		data, err := readBody(rsp)
		if err != nil {
			return rep, false, readFailure(ctx, err, true)
		}
		if std.ID != msg.ID && std.ID != "" {
			continue // a late or second answer to another request
		}
		if std.NotRun {
			return Reply{Header: rsp.Header}, !rsp.Close, shed(std, rsp.StatusCode)
		}
		if std.ID == "" || std.Transformed || (rsp.StatusCode < 300 && !std.Signed) {
			return rep, false, &Failure{
				Kind:     KindGarbled,
				Answered: true,
				Err:      errors.Errorf("answer %d is not the target's own", rsp.StatusCode),
			}
		}
		return Reply{
			Status: rsp.StatusCode,
			Header: rsp.Header,
			Body:   data,
			Stated: std,
		}, !rsp.Close, nil
	}
	return rep, false, &Failure{
		Kind:     KindGarbled,
		Answered: true,
		Err:      errors.New("too many answers to other requests"),
	}
}

func shed(std cardamompass.ResponseInfo, status int) (err *Failure) {
	kind := KindShed
	if std.OtherInstance {
		kind = KindOther
	}
	return &Failure{
		Kind:     kind,
		NotRun:   true,
		Answered: true,
		Stated:   std,
		Err:      errors.Errorf("the target answered %d and has not run the request", status),
	}
}

// readBody reads a body to its end. An answer without a length ends with its connection; a reset is an error and not an end.
func readBody(rsp *http.Response) (data []byte, err error) {
	defer rsp.Body.Close() //nolint:errcheck // the body is read whole or the connection is given up
	if rsp.ContentLength > maxAnswerBytes {
		return nil, errors.Errorf("answer of %d bytes is too long", rsp.ContentLength)
	}
	if rsp.ContentLength >= 0 {
		data = make([]byte, rsp.ContentLength)
		_, err = io.ReadFull(rsp.Body, data)
		return data, err
	}
	data, err = io.ReadAll(io.LimitReader(rsp.Body, maxAnswerBytes+1))
	if err == nil && len(data) > maxAnswerBytes {
		err = errors.New("answer is too long")
	}
	return data, err
}

func readFailure(ctx context.Context, cause error, answered bool) (err *Failure) {
	kind := KindBroken
	var ner net.Error
	switch {
	case ctx.Err() != nil:
		kind = reasonOf(ctx, KindCancelled)
	case errors.As(cause, &ner) && ner.Timeout():
		kind = KindTimeout
	case strings.Contains(cause.Error(), "malformed"):
		kind = KindGarbled
	}
	return &Failure{
		Kind:     kind,
		Answered: answered,
		Err:      cause,
	}
}

func notRun(kind Kind, cause error) (err *Failure) {
	return &Failure{
		Kind:   kind,
		NotRun: true,
		Err:    cause,
	}
}

// reasonOf is the kind of a failure after ctx has ended, or kind while it has not.
func reasonOf(ctx context.Context, kind Kind) Kind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return KindTimeout
	case ctx.Err() != nil:
		return KindCancelled
	default:
		return kind
	}
}

// keepTime is how long a connection may be kept after an answer with this header.
func keepTime(hdr http.Header) (dur time.Duration) {
	for part := range strings.SplitSeq(hdr.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if secs, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(secs)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}
