package send

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/sock"
)

// connect returns a kept connection that is still silent, or a new one.
func (snd *Sender) connect(ctx context.Context, ins cardamompass.Instance, msg Message) (con *conn, err error) {
	for {
		con = snd.take(ins.ID, msg.Once)
		if con == nil {
			break
		}
		// Bytes that arrived while no request was under way belong to no request.
		if sock.Peek(con.Conn) == sock.Silent {
			return con, nil
		}
		_ = con.Close()
	}
	now := snd.cfg.Clock.Now()
	limit := min(dialTimeout, msg.Deadline.Sub(now))
	if limit <= 0 || ctx.Err() != nil {
		return nil, notRun(reasonOf(ctx, KindTimeout), errors.New("no time left to connect"))
	}
	dctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	raw, err := snd.cfg.Dial(dctx, "tcp", ins.Address)
	if err != nil {
		kind := reasonOf(ctx, KindConnect)
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = KindRefused
		}
		return nil, notRun(kind, err)
	}
	snd.cfg.Opened()
	return &conn{
		Conn:   raw,
		rdr:    bufio.NewReaderSize(raw, readBufferSize),
		rested: snd.cfg.Clock.Now(),
	}, nil
}

// take returns the connection that was used last, since the others are closer to the target's idle timeout. While targets are held to
// forget idle connections it returns none that has rested for longer than sureRest.
func (snd *Sender) take(id cardamompass.InstanceID, once bool) (con *conn) {
	now := snd.cfg.Clock.Now()
	snd.mu.Lock()
	defer snd.mu.Unlock()
	doubted := now.Sub(snd.doubted) // the longest duration while none broke
	for {
		list := snd.idle[id]
		if len(list) == 0 {
			return nil
		}
		con = list[len(list)-1]
		long := now.Sub(con.rested) > sureRest
		if once && long && doubted < doubtOnceTime {
			return nil // stays for a request that may be repeated
		}
		snd.idle[id] = list[:len(list)-1]
		if now.Before(con.usable) && (!long || doubted >= doubtTime) {
			return con
		}
		_ = con.Close()
	}
}

// doubt gives up rested connections for a while, since one that had rested broke under a request.
func (snd *Sender) doubt(id cardamompass.InstanceID, req cardamompass.RequestID, rested time.Duration) {
	snd.mu.Lock()
	snd.doubted = snd.cfg.Clock.Now()
	snd.mu.Unlock()
	snd.cfg.Log.Info("idle connections in doubt", zap.String("request", string(req)), zap.String("target", string(id)),
		zap.Duration("rested", rested), zap.Duration("for", doubtTime))
}

// forgotten reports whether a request ended as on a connection that its target has forgotten: broken before any answer.
func forgotten(err error) (ok bool) {
	var fail *Failure
	return errors.As(err, &fail) && fail.Kind == KindBroken && !fail.Answered
}

func (snd *Sender) keep(id cardamompass.InstanceID, con *conn) {
	snd.mu.Lock()
	defer snd.mu.Unlock()
	if con.usable.IsZero() {
		con.usable = snd.cfg.Clock.Now().Add(defaultIdle)
	}
	snd.idle[id] = append(snd.idle[id], con)
}

// Trim closes the idle connections that are too old and those of instances that are not wanted any more.
func (snd *Sender) Trim(wanted func(id cardamompass.InstanceID) bool) {
	now := snd.cfg.Clock.Now()
	snd.mu.Lock()
	defer snd.mu.Unlock()
	for id, list := range snd.idle {
		ok := wanted(id)
		kept := list[:0]
		for _, con := range list {
			if ok && now.Before(con.usable) {
				kept = append(kept, con)
			} else {
				_ = con.Close()
			}
		}
		snd.idle[id] = kept
		if len(kept) == 0 {
			delete(snd.idle, id)
		}
	}
}

// Idle returns the number of kept connections.
func (snd *Sender) Idle() (count int) {
	snd.mu.Lock()
	defer snd.mu.Unlock()
	for _, list := range snd.idle {
		count += len(list)
	}
	return count
}

// Dialer returns a dial function whose connections end when the other side stays silent on sent bytes for limit.
func Dialer(limit time.Duration) (dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	dlr := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) (err error) {
			cerr := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
			})
			return errors.Wrap(firstError(cerr, err), "set the user timeout")
		},
	}
	return dlr.DialContext
}

const (
	// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, in milliseconds.
	tcpUserTimeout = 0x12
	// keepAliveInterval and keepAliveCount find a connection that went silent within about two seconds.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

func firstError(errs ...error) (err error) {
	for _, err = range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
