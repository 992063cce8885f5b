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

// dispatchMethod is the only method registered with net/rpc. It dispatches to the registered receivers, which preserves
// the type of a method's error; net/rpc reduces errors to strings.
const dispatchMethod = "Dispatch.Call"

var (
	typeContext = reflect.TypeFor[context.Context]()
	typeError   = reflect.TypeFor[error]()
)

// method is a method of a registered receiver.
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

// invoke calls the method. A panic is converted to an UnknownOutcomeError, because the method may have had an effect.
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

// Dispatch is the only receiver registered with net/rpc. It is exported only because net/rpc requires it.
type Dispatch struct{}

// Inbound is a call received by the server. It is exported only because net/rpc requires it.
type Inbound struct {
	run func() (reply any, err error)
}

// Outbound is the result of a call. It is exported only because net/rpc requires it.
type Outbound struct {
	reply any
	err   error
}

// Call runs a received call.
func (*Dispatch) Call(inb *Inbound, out *Outbound) (err error) {
	out.reply, out.err = inb.run()
	return nil
}

// serverCodec implements rpc.ServerCodec. net/rpc reads from one goroutine and serializes the writes.
type serverCodec struct {
	srv     *Server
	con     countedConn
	frd     *frameReader
	fwr     *frameWriter
	hdr     requestHeader
	running chan struct{}
	// done is closed when the server stops.
	done   <-chan struct{}
	cancel context.CancelFunc
	// newCall returns the context of a call that has just been received.
	newCall func(timeout time.Duration) (ctx context.Context, cancel context.CancelFunc)
	// readErr is the error that ended reading. Only the reading goroutine accesses it.
	readErr error
	once    sync.Once
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

func newServerCodec(srv *Server, con countedConn) *serverCodec {
	base, cancel := srv.newBase()
	return &serverCodec{
		srv:     srv,
		con:     con,
		frd:     newFrameReader(con, srv.cfg.MaxMessageBytes),
		fwr:     newFrameWriter(con, srv.cfg.MaxMessageBytes),
		running: make(chan struct{}, srv.cfg.MaxCalls),
		done:    base.Done(),
		cancel:  cancel,
		newCall: func(timeout time.Duration) (context.Context, context.CancelFunc) {
			if timeout <= 0 {
				return context.WithCancel(base)
			}
			return context.WithTimeout(base, timeout)
		},
	}
}

// fail records the error that ends reading and cancels the running calls.
func (scd *serverCodec) fail(err error) error {
	if scd.readErr == nil {
		scd.readErr = err
	}
	scd.cancel()
	return err
}

// ReadRequestHeader implements rpc.ServerCodec.
func (scd *serverCodec) ReadRequestHeader(req *rpc.Request) (err error) {
	if scd.readErr != nil {
		return scd.readErr
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
	// WriteResponse removes the entry again. While the channel is full, no further frames of the peer are read.
	select {
	case scd.running <- struct{}{}:
	case <-scd.done:
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

// refuse logs arguments that can't be decoded and returns an error, which net/rpc sends as the reply. The connection stays
// open, because the frame delimits the arguments, and a bad call of a peer of another version must not fail the other
// calls on the connection.
func (scd *serverCodec) refuse(name string, err error) error {
	scd.srv.cfg.Logger.Warn("peer-arguments-refused",
		zap.Stringer("from", scd.con.RemoteAddr()), zap.String("method", name), zap.Error(err))
	return errors.Wrapf(err, "do not fit %s", name)
}

// WriteResponse implements rpc.ServerCodec.
func (scd *serverCodec) WriteResponse(rsp *rpc.Response, body any) (err error) {
	defer func() { <-scd.running }()
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

// abort closes the connection after a failed write, because the peer can't locate the start of the next frame.
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
