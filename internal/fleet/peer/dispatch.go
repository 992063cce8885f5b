package peer

import (
	"context"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
)

// dispatchMethod is the only method that net/rpc sees. Dispatching behind it keeps the type of a method's error, which
// net/rpc reduces to a string.
const dispatchMethod = "Dispatch.Call"

var (
	typeContext = reflect.TypeFor[context.Context]()
	typeError   = reflect.TypeFor[error]()
)

// method is one registered method.
type method struct {
	fun     reflect.Value
	args    reflect.Type
	reply   reflect.Type
	withCtx bool
}

func methodsOf(name string, receiver any) (mths map[string]method) {
	mths = map[string]method{}
	val := reflect.ValueOf(receiver)
	for num := range val.NumMethod() {
		fun := val.Method(num)
		typ := fun.Type()
		off := 0
		if typ.NumIn() == 3 && typ.In(0) == typeContext {
			off = 1
		}
		if typ.NumIn() != off+2 || typ.In(off+1).Kind() != reflect.Pointer ||
			typ.NumOut() != 1 || typ.Out(0) != typeError {
			continue
		}
		mths[name+"."+val.Type().Method(num).Name] = method{
			fun:     fun,
			args:    typ.In(off),
			reply:   typ.In(off + 1).Elem(),
			withCtx: off == 1,
		}
	}
	return mths
}

// invoke runs the method. A panic of the method becomes an UnknownOutcomeError, because the method may have had effect.
func (mth method) invoke(ctx context.Context, args, reply reflect.Value) (err error) {
	defer func() {
		if rec := recover(); rec != nil {
			err = &cardamompass.UnknownOutcomeError{
				Reason: "method panicked",
			}
			err = errors.Wrapf(err, "%v", rec)
		}
	}()
	inp := []reflect.Value{args, reply}
	if mth.withCtx {
		inp = []reflect.Value{reflect.ValueOf(ctx), args, reply}
	}
	err, _ = mth.fun.Call(inp)[0].Interface().(error)
	return err
}

// Dispatch is the receiver that net/rpc sees. It is exported only because net/rpc requires it.
type Dispatch struct{}

// Inbound is one call as the server received it. It is exported only because net/rpc requires it.
type Inbound struct {
	run func() (reply any, err error)
}

// Outbound is the result of one call. It is exported only because net/rpc requires it.
type Outbound struct {
	reply any
	err   error
}

// Call runs one received call.
func (*Dispatch) Call(inb *Inbound, out *Outbound) (err error) {
	out.reply, out.err = inb.run()
	return nil
}

// serverCodec implements rpc.ServerCodec. net/rpc reads from one goroutine and serializes the writes.
type serverCodec struct {
	srv   *Server
	con   countedConn
	frd   *frameReader
	fwr   *frameWriter
	hdr   requestHeader
	slots chan struct{}
	// ended is closed when the server stops.
	ended  <-chan struct{}
	cancel context.CancelFunc
	// newCall returns the context of a call that arrives now.
	newCall func(timeout time.Duration) (ctx context.Context, cancel context.CancelFunc)
	// broken is the error that ended reading. It belongs to the reading goroutine.
	broken error
	once   sync.Once
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

func newServerCodec(srv *Server, con countedConn) *serverCodec {
	base, cancel := srv.newBase()
	return &serverCodec{
		srv:    srv,
		con:    con,
		frd:    newFrameReader(con, srv.cfg.MaxMessageBytes),
		fwr:    newFrameWriter(con, srv.cfg.MaxMessageBytes),
		slots:  make(chan struct{}, srv.cfg.MaxCalls),
		ended:  base.Done(),
		cancel: cancel,
		newCall: func(timeout time.Duration) (context.Context, context.CancelFunc) {
			if timeout <= 0 {
				return context.WithCancel(base)
			}
			return context.WithTimeout(base, timeout)
		},
	}
}

// fail ends the connection for reading and cancels the running calls.
func (scd *serverCodec) fail(err error) error {
	if scd.broken == nil {
		scd.broken = err
	}
	scd.cancel()
	return err
}

// ReadRequestHeader implements rpc.ServerCodec.
func (scd *serverCodec) ReadRequestHeader(req *rpc.Request) (err error) {
	if scd.broken != nil {
		return scd.broken
	}
	if err = scd.con.SetReadDeadline(time.Now().Add(scd.srv.cfg.IdleTimeout)); err != nil {
		return scd.fail(err)
	}
	if err = scd.frd.next(); err != nil {
		return scd.fail(err)
	}
	scd.hdr = requestHeader{}
	if err = scd.frd.decode(&scd.hdr); err != nil {
		return scd.fail(errors.Wrap(err, "bad request header"))
	}
	// A slot is free again when the response is written. Until then the peer's further frames stay unread.
	select {
	case scd.slots <- struct{}{}:
	case <-scd.ended:
		return scd.fail(net.ErrClosed)
	}
	scd.srv.cnt.calls.Inc()
	req.Seq = scd.hdr.Seq
	req.ServiceMethod = dispatchMethod
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (scd *serverCodec) ReadRequestBody(body any) (err error) {
	inb, ok := body.(*Inbound)
	if !ok {
		return scd.frd.decode(nil)
	}
	name := scd.hdr.Method
	mth, ok := scd.srv.lookup(name)
	if !ok {
		inb.run = func() (any, error) {
			return nil, &cardamompass.InvalidError{
				Field:  "method",
				Reason: name + " is not registered",
			}
		}
		if err = scd.frd.decode(nil); err != nil {
			return scd.refuse(name, err)
		}
		return nil
	}
	// Arguments that are declared as pointers decode into a new value of the element type.
	args := reflect.New(mth.args)
	if err = scd.frd.decode(args.Interface()); err != nil {
		return scd.refuse(name, err)
	}
	if mth.args.Kind() == reflect.Pointer && args.Elem().IsNil() {
		args.Elem().Set(reflect.New(mth.args.Elem()))
	}
	ctx, cancel := scd.newCall(scd.hdr.Timeout)
	reply := reflect.New(mth.reply)
	inb.run = func() (any, error) {
		defer cancel()
		return reply.Interface(), mth.invoke(ctx, args.Elem(), reply)
	}
	return nil
}

// refuse makes net/rpc answer with an error. The connection stays open, because the frame delimits the bad arguments
// and a caller of another version must not disturb the other calls on its connection.
func (scd *serverCodec) refuse(name string, err error) error {
	scd.srv.cfg.Logger.Warn("peer-arguments-refused",
		zap.Stringer("from", scd.con.RemoteAddr()), zap.String("method", name), zap.Error(err))
	return errors.Wrapf(err, "do not fit %s", name)
}

// WriteResponse implements rpc.ServerCodec.
func (scd *serverCodec) WriteResponse(rsp *rpc.Response, body any) (err error) {
	defer func() { <-scd.slots }()
	hdr := replyHeader{
		Seq:  rsp.Seq,
		Kind: failureNone,
	}
	out, ok := body.(*Outbound)
	switch {
	case rsp.Error != "" || !ok:
		hdr = hdr.withFailure(&cardamompass.InvalidError{
			Field:  "arguments",
			Reason: rsp.Error,
		})
	case out.err != nil:
		hdr = hdr.withFailure(out.err)
	}
	if hdr.Kind == failureNone {
		if err = scd.fwr.encode(hdr, out.reply); err != nil {
			scd.srv.cfg.Logger.Warn("peer-reply-not-encoded", zap.Error(err))
			hdr = hdr.withFailure(&cardamompass.UnknownOutcomeError{
				Reason: "reply could not be sent: " + err.Error(),
			})
		}
	}
	if hdr.Kind != failureNone {
		if err = scd.fwr.encode(hdr); err != nil {
			return scd.abort(err)
		}
	}
	if err = scd.con.SetWriteDeadline(time.Now().Add(scd.srv.cfg.IdleTimeout)); err != nil {
		return scd.abort(err)
	}
	if _, err = scd.fwr.flush(); err != nil {
		return scd.abort(err)
	}
	return nil
}

// abort closes the connection after a failed write, because the peer can't find the next frame.
func (scd *serverCodec) abort(err error) error {
	_ = scd.con.Close()
	return err
}

// Close implements rpc.ServerCodec.
func (scd *serverCodec) Close() (err error) {
	scd.once.Do(func() {
		scd.cancel()
		err = scd.con.Close()
	})
	return err
}
