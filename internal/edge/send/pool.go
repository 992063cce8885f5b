package send

import (
	"bufio"
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/sock"
	"cardamompass/internal/plat/strict"
)

// connect returns an idle connection on which nothing has arrived, or a new one.
func (snd *Sender) connect(ctx context.Context, ins cardamompass.Instance, msg Message) (con *conn, err error) {
	for {
		con = snd.takeIdle(ins.ID, msg.NonIdempotent)
		if con == nil {
			break
		}
		// Bytes that arrived while the connection was idle belong to no request.
		if sock.Peek(con.socket) == sock.NoData {
			return con, nil
		}
		_ = con.Close()
	}
	now := snd.cfg.Clock.Now()
	limit := min(dialTimeout, msg.Deadline.Sub(now))
	if limit <= 0 || ctx.Err() != nil {
		return nil, notSent(kindAfter(ctx, KindTimeout), errors.New("no time left to connect"))
	}
	return snd.open(ctx, ins, limit)
}

// Check returns nil if an idle connection to an instance still holds. If there is none, it opens one, which is kept for the next request. The
// error is a *Failure: KindBroken means that the instance has closed the idle connection, which it may do at any time, KindRefused that nothing
// listens at its address.
func (snd *Sender) Check(ctx context.Context, ins cardamompass.Instance) (err error) {
	con := snd.takeIdle(ins.ID, false)
	if con == nil {
		if con, err = snd.open(ctx, ins, dialTimeout); err != nil {
			return err
		}
	}
	if sock.Peek(con.socket) != sock.NoData {
		_ = con.Close()
		return notSent(KindBroken, errors.New("the idle connection was closed"))
	}
	snd.putIdle(ins.ID, con)
	return nil
}

// open opens a connection within a time limit.
func (snd *Sender) open(ctx context.Context, ins cardamompass.Instance, limit time.Duration) (con *conn, err error) {
	dctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	raw, err := snd.cfg.Dial(dctx, "tcp", ins.Address)
	if err != nil {
		kind := kindAfter(ctx, KindConnect)
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = KindRefused
		}
		return nil, notSent(kind, err)
	}
	snd.cfg.OnConnect()
	scn := strict.NewConn(raw)
	lrd := &limitedReader{
		src: scn,
	}
	return &conn{
		Conn:      scn,
		socket:    raw,
		rdr:       bufio.NewReaderSize(lrd, readBufferSize),
		limit:     lrd,
		idleSince: snd.cfg.Clock.Now(),
	}, nil
}

// takeIdle returns the most recently used connection, because the others are closer to the idle timeout of the target. While idle
// connections are suspect it returns none that has been idle for longer than safeIdleTime.
func (snd *Sender) takeIdle(id cardamompass.InstanceID, nonIdempotent bool) (con *conn) {
	now := snd.cfg.Clock.Now()
	snd.mu.Lock()
	defer snd.mu.Unlock()
	sinceBreak := now.Sub(snd.lastIdleBreak) // the maximum duration if none has broken yet
	for {
		list := snd.idle[id]
		if len(list) == 0 {
			return nil
		}
		con = list[len(list)-1]
		overSafe := now.Sub(con.idleSince) > safeIdleTime
		if nonIdempotent && overSafe && sinceBreak < idleSuspectTimeNonIdempotent {
			return nil // stays in the pool for an idempotent request
		}
		snd.idle[id] = list[:len(list)-1]
		if now.Before(con.expires) && (!overSafe || sinceBreak >= idleSuspectTime) {
			return con
		}
		_ = con.Close()
	}
}

// suspectIdle marks all idle connections as suspect for a while, after a request broke on one that had been idle.
func (snd *Sender) suspectIdle(id cardamompass.InstanceID, req cardamompass.RequestID, idleFor time.Duration) {
	snd.mu.Lock()
	snd.lastIdleBreak = snd.cfg.Clock.Now()
	snd.mu.Unlock()
	snd.cfg.Log.Info("idle connections in doubt", zap.String("request", string(req)), zap.String("target", string(id)),
		zap.Duration("rested", idleFor), zap.Duration("for", idleSuspectTime))
}

// brokenBeforeResponse reports whether the connection broke before any part of a response arrived, as it does when the target has
// silently dropped the idle connection.
func brokenBeforeResponse(err error) (ok bool) {
	var fail *Failure
	return errors.As(err, &fail) && fail.Kind == KindBroken && !fail.HeaderReceived
}

func (snd *Sender) putIdle(id cardamompass.InstanceID, con *conn) {
	snd.mu.Lock()
	defer snd.mu.Unlock()
	if snd.closed {
		_ = con.Close()
		return
	}
	if con.expires.IsZero() {
		con.expires = snd.cfg.Clock.Now().Add(defaultIdleTimeout)
	}
	snd.idle[id] = append(snd.idle[id], con)
}

// PruneIdle closes idle connections that have expired and those to instances for which wanted returns false.
func (snd *Sender) PruneIdle(wanted func(id cardamompass.InstanceID) bool) {
	now := snd.cfg.Clock.Now()
	snd.mu.Lock()
	defer snd.mu.Unlock()
	for id, list := range snd.idle {
		ok := wanted(id)
		kept := list[:0]
		for _, con := range list {
			if ok && now.Before(con.expires) {
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

// IdleCount returns the number of idle connections.
func (snd *Sender) IdleCount() (count int) {
	snd.mu.Lock()
	defer snd.mu.Unlock()
	for _, list := range snd.idle {
		count += len(list)
	}
	return count
}
