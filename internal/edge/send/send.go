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
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/buffer"
	"cardamompass/internal/plat/strict"
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
	// KindWithheld is a request that was not sent because the instance no longer wants requests.
	KindWithheld Kind = "withheld"
)

// Failure reports a request without a complete response.
type Failure struct {
	Kind Kind
	// NotRun is set when the request has certainly not run and never will.
	NotRun bool
	// HeaderReceived is set when the header of a response was received.
	HeaderReceived bool
	// Info holds what a target stated in the header of a response to the request.
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
	Header http.Header
	// Team is passed to Protocol.SetRequestHeaders: nil if the deployment has no teams, and without a name if the request has none.
	Team    *cardamompass.Team
	Body    []byte
	HasBody bool
	// Buffer holds the memory of Body. Optional.
	Buffer   *buffer.Buffer
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
	buf    *buffer.Buffer
}

// Release returns the memory of the body, which must not be used afterwards.
func (rep *Reply) Release() {
	if rep.buf != nil {
		rep.buf.Release()
		rep.buf, rep.Body = nil, nil
	}
}

// Config configures a Sender.
type Config struct {
	Protocol cardamompass.Protocol
	Clock    cardamompass.Clock
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (con net.Conn, err error)
	// MaySend reports whether an instance still wants requests. It is called just before a request is written, since the time
	// since the instance was chosen may be long on a slow VM. Optional.
	MaySend func(ins cardamompass.Instance) bool
	// OnConnect is called after each new connection. Optional.
	OnConnect func()
	// Log receives a line when idle connections become suspect. Optional.
	Log *zap.Logger
	// Bodies is the memory for the bodies of responses. Optional.
	Bodies *buffer.Pool
}

// Sender sends requests to instances. It is safe for concurrent use.
type Sender struct {
	cfg    Config
	writes sync.WaitGroup // of requests whose response came before their body was written

	mu     sync.Mutex
	idle   map[cardamompass.InstanceID][]*conn
	closed bool
	// writing holds the connections whose response came before the body of the request was written.
	writing map[*conn]bool
	// lastIdleBreak is when a request last broke on a connection that had been idle for longer than safeIdleTime.
	lastIdleBreak time.Time
}

type conn struct {
	*strict.Conn
	socket    net.Conn // below Conn; not for reads and writes
	rdr       *bufio.Reader
	limit     *limitedReader // below rdr
	reused    bool           // has carried a request before
	expires   time.Time      // no reuse after this time
	idleSince time.Time      // end of the last request, or the time of the dial
}

// New returns a Sender and a function that closes its idle connections and those on which a request body is still being written.
func New(cfg Config) (snd *Sender, cleanup func()) {
	if cfg.OnConnect == nil {
		cfg.OnConnect = func() {}
	}
	if cfg.MaySend == nil {
		cfg.MaySend = func(cardamompass.Instance) bool { return true }
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Bodies == nil {
		cfg.Bodies = buffer.New(buffer.Config{})
	}
	snd = &Sender{
		cfg:     cfg,
		idle:    make(map[cardamompass.InstanceID][]*conn),
		writing: make(map[*conn]bool),
	}
	return snd, snd.close
}

func (snd *Sender) close() {
	snd.mu.Lock()
	snd.closed = true
	for con := range snd.writing {
		_ = con.Close() // ends the write
	}
	snd.mu.Unlock()
	snd.writes.Wait()
	snd.PruneIdle(func(cardamompass.InstanceID) bool { return false })
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
	if !snd.cfg.MaySend(ins) {
		snd.putIdle(ins.ID, con)
		return rep, notSent(KindWithheld, errors.New("the instance wants no requests any more"))
	}
	_ = con.SetDeadline(msg.Deadline) // fails only on a closed connection, and then the write fails too
	stop := context.AfterFunc(ctx, func() { _ = con.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	restore := func() {}
	if msg.NonIdempotent {
		restore = disableDetection(con.socket)
	}
	rep, reusable, written, err := snd.exchange(ctx, con, ins, msg, left)
	if idleFor := began.Sub(con.idleSince); idleFor > safeIdleTime && brokenBeforeResponse(err) {
		snd.suspectIdle(ins.ID, msg.ID, idleFor)
	}
	if !stop() || !reusable || con.rdr.Buffered() > 0 {
		_ = con.Close()
		return rep, err
	}
	restore()
	con.reused = true
	con.idleSince = snd.cfg.Clock.Now()
	con.expires = con.idleSince.Add(idleTimeout(rep.Header))
	select {
	case werr := <-written:
		if werr == nil {
			snd.putIdle(ins.ID, con)
		} else {
			_ = con.Close()
		}
	default:
		snd.finishWrite(ins.ID, con, written)
	}
	return rep, err
}

// finishWrite keeps a connection until the body of its request is written, and then for the next request: a target that responds
// before it has read the body may read the rest later. It does not block.
func (snd *Sender) finishWrite(id cardamompass.InstanceID, con *conn, written <-chan error) {
	snd.mu.Lock()
	defer snd.mu.Unlock()
	if snd.closed {
		_ = con.Close()
		return
	}
	snd.writing[con] = true
	snd.writes.Go(func() {
		err := <-written // the write ends at the deadline of the request
		snd.mu.Lock()
		delete(snd.writing, con)
		snd.mu.Unlock()
		if err != nil {
			_ = con.Close()
			return
		}
		snd.putIdle(id, con)
	})
}

// exchange writes the request and reads the response. reusable is set when the connection is at the end of the response and may be
// kept once written has returned the result of the write, which may still be in progress.
func (snd *Sender) exchange(
	ctx context.Context, con *conn, ins cardamompass.Instance, msg Message, left time.Duration,
) (rep Reply, reusable bool, written <-chan error, err error) {
	head, body := snd.encode(ins, msg, left)
	result := make(chan error, 1)
	if len(body) <= maxInlineBody {
		num, werr := con.Write(append(head, body...))
		if werr != nil && num == 0 {
			return rep, false, nil, notSent(kindAfter(ctx, KindBroken), werr)
		}
		result <- werr // read the response all the same: a target may respond before it has read the complete request
	} else {
		if msg.Buffer != nil {
			msg.Buffer.Retain()
		}
		go func() {
			_, werr := con.WriteBuffers(net.Buffers{head, body})
			if msg.Buffer != nil {
				msg.Buffer.Release()
			}
			result <- werr
		}()
	}
	rep, reusable, err = snd.read(ctx, con, msg)
	return rep, reusable, result, err
}

// encode encodes the request. It never uses chunked encoding, because the length of the body is known.
func (snd *Sender) encode(ins cardamompass.Instance, msg Message, left time.Duration) (head, body []byte) {
	hdr := make(http.Header, len(msg.Header)+3)
	for name, values := range msg.Header {
		hdr[name] = values
	}
	snd.cfg.Protocol.SetRequestHeaders(hdr, ins.ID, msg.Team, left)
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
