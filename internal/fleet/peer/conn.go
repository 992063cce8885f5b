package peer

import (
	"context"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/atomic"
	"go.uber.org/zap"
)

// conn is one connection of a Client.
type conn struct {
	cli     *Client
	address string
	rcl     *rpc.Client
	cdc     *clientCodec
	// writing is a lock held by the call that is being written. It is a channel so that waiting for it can be cancelled.
	writing chan struct{}

	mut     sync.Mutex
	calls   int
	lastUse time.Time
	retired bool
}

func newConn(cli *Client, address string, con net.Conn) (cnn *conn) {
	cnn = &conn{
		cli:     cli,
		address: address,
		writing: make(chan struct{}, 1),
		lastUse: cli.cfg.Clock.Now(),
	}
	cnn.cdc = &clientCodec{
		con:  con,
		frd:  newFrameReader(con, cli.cfg.MaxMessageBytes),
		fwr:  newFrameWriter(con, cli.cfg.MaxMessageBytes),
		done: make(chan struct{}),
	}
	cnn.rcl = rpc.NewClientWithCodec(cnn.cdc)
	release := cli.onStop(cnn.close)
	cli.wgr.Go(func() {
		<-cnn.cdc.done
		release()
		cnn.retire()
	})
	return cnn
}

// acquire registers a new call. It reports false if the connection is retired.
func (cnn *conn) acquire() (ok bool) {
	cnn.mut.Lock()
	defer cnn.mut.Unlock()
	if cnn.retired {
		return false
	}
	cnn.calls++
	return true
}

func (cnn *conn) release() {
	cnn.mut.Lock()
	cnn.calls--
	cnn.lastUse = cnn.cli.cfg.Clock.Now()
	last := cnn.retired && cnn.calls == 0
	cnn.mut.Unlock()
	if last {
		cnn.close()
	}
}

func (cnn *conn) idleFor(now time.Time) time.Duration {
	cnn.mut.Lock()
	defer cnn.mut.Unlock()
	if cnn.calls > 0 {
		return 0
	}
	return now.Sub(cnn.lastUse)
}

// retire stops the use of the connection for new calls. It is closed when its running calls have ended.
func (cnn *conn) retire() {
	cnn.mut.Lock()
	cnn.retired = true
	last := cnn.calls == 0
	cnn.mut.Unlock()
	cnn.cli.removeConn(cnn)
	if last {
		cnn.close()
	}
}

func (cnn *conn) close() { _ = cnn.rcl.Close() }

// call makes one call on an acquired connection. Sent reports whether any byte of the call may have been sent.
func (cnn *conn) call(ctx context.Context, method string, args, reply any) (sent bool, err error) {
	defer cnn.release()
	select {
	case cnn.writing <- struct{}{}:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	deadline, _ := ctx.Deadline()
	// The reply is decoded into a separate value, because it may arrive after this call has returned.
	crp := &callReply{
		value: reflect.New(reflect.TypeOf(reply).Elem()),
	}
	ogc := &outgoingCall{
		method:   method,
		args:     args,
		deadline: deadline,
	}
	before := cnn.cdc.received.Load()
	cll := cnn.rcl.Go(dispatchMethod, ogc, crp, make(chan *rpc.Call, 1))
	<-cnn.writing
	select {
	case <-cll.Done:
	case <-ctx.Done():
		if cnn.cdc.received.Load() == before {
			cnn.cli.cfg.Logger.Info("peer-connection-silent",
				zap.String("address", cnn.address), zap.String("method", method))
			cnn.retire()
		}
		return ogc.sent.Load(), ctx.Err()
	}
	if cll.Error != nil {
		return ogc.sent.Load(), cll.Error
	}
	cnn.cli.cnt.calls.Inc()
	if crp.failure != nil {
		return true, crp.failure
	}
	reflect.ValueOf(reply).Elem().Set(crp.value.Elem())
	return true, nil
}

// outgoingCall is the argument that net/rpc passes to the codec.
type outgoingCall struct {
	method   string
	args     any
	deadline time.Time
	sent     atomic.Bool
}

// encodeError reports arguments that can't be encoded. The connection remains usable.
type encodeError struct{ err error }

func (err *encodeError) Error() string { return err.err.Error() }

// callReply is the reply that the codec fills.
type callReply struct {
	value   reflect.Value
	failure error
}

// clientCodec implements rpc.ClientCodec. net/rpc reads from one goroutine and serializes the writes.
type clientCodec struct {
	con      net.Conn
	frd      *frameReader
	fwr      *frameWriter
	hdr      replyHeader
	readErr  error
	received atomic.Uint64
	done     chan struct{}
	doneOnce sync.Once
}

var _ rpc.ClientCodec = (*clientCodec)(nil)

// WriteRequest implements rpc.ClientCodec.
func (ccd *clientCodec) WriteRequest(req *rpc.Request, body any) (err error) {
	ogc, ok := body.(*outgoingCall)
	if !ok {
		return errors.New("call without arguments")
	}
	hdr := requestHeader{
		Seq:     req.Seq,
		Method:  ogc.method,
		Timeout: time.Until(ogc.deadline),
	}
	if hdr.Timeout <= 0 {
		return context.DeadlineExceeded
	}
	if err = ccd.fwr.encode(hdr, ogc.args); err != nil {
		return &encodeError{
			err: err,
		}
	}
	if err = ccd.con.SetWriteDeadline(ogc.deadline); err != nil {
		return ccd.abort(err)
	}
	cnt, err := ccd.fwr.flush()
	ogc.sent.Store(cnt > 0)
	if err != nil {
		return ccd.abort(err)
	}
	return nil
}

// abort closes the connection after a failed write, because the peer can't locate the start of the next frame.
func (ccd *clientCodec) abort(err error) error {
	_ = ccd.con.Close()
	return err
}

func (ccd *clientCodec) fail(err error) error {
	ccd.readErr = err
	ccd.doneOnce.Do(func() { close(ccd.done) })
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (ccd *clientCodec) ReadResponseHeader(rsp *rpc.Response) (err error) {
	if ccd.readErr != nil {
		return ccd.fail(ccd.readErr)
	}
	if err = ccd.frd.next(); err != nil {
		return ccd.fail(err)
	}
	ccd.received.Inc()
	ccd.hdr = replyHeader{}
	if err = ccd.frd.decode(&ccd.hdr); err != nil {
		return ccd.fail(errors.Wrap(err, "bad reply header"))
	}
	if ccd.hdr.Kind == 0 {
		return ccd.fail(errors.New("reply header without a kind"))
	}
	rsp.Seq = ccd.hdr.Seq
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (ccd *clientCodec) ReadResponseBody(body any) (err error) {
	crp, ok := body.(*callReply)
	if ok {
		crp.failure = ccd.hdr.failure()
	}
	if ccd.hdr.Kind != failureNone {
		return nil
	}
	if !ok {
		_ = ccd.frd.decode(nil)
		return nil
	}
	// A reply of another type fails only its own call, because the frame delimits it.
	if err = ccd.frd.decode(crp.value.Interface()); err != nil {
		crp.failure = errors.Wrap(err, "bad reply")
	}
	return nil
}

// Close implements rpc.ClientCodec.
func (ccd *clientCodec) Close() (err error) { return ccd.con.Close() }
