package fault_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cardamompass/internal/plat/strict"
	"cardamompass/internal/stand/ctrl"
	"cardamompass/internal/stand/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	t   *testing.T
	prx *fault.Proxy
	clk *ctrl.ManualClock
	// acc receives the connections that the upstream accepts.
	acc chan net.Conn
}

func start(t *testing.T) fixture {
	t.Helper()
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clk := ctrl.NewManualClock(time.Unix(1000, 0))
	prx, cleanup, err := fault.New(fault.Config{
		Address:  "127.0.0.1:0",
		Upstream: lsn.Addr().String(),
		Clock:    clk,
	})
	if err != nil {
		t.Fatal(err)
	}
	acc := make(chan net.Conn, 10)
	go func() {
		defer close(acc)
		for {
			con, err := lsn.Accept()
			if err != nil {
				return
			}
			acc <- con
		}
	}()
	t.Cleanup(func() {
		cleanup()
		lsn.Close()
	})
	return fixture{
		t:   t,
		prx: prx,
		clk: clk,
		acc: acc,
	}
}

// pair returns both ends of a new connection through the proxy.
func (fix fixture) pair() (cli, ups net.Conn) {
	fix.t.Helper()
	cli, err := net.Dial("tcp", fix.prx.Address())
	if err != nil {
		fix.t.Fatal(err)
	}
	ups = <-fix.acc
	fix.t.Cleanup(func() {
		cli.Close()
		ups.Close()
	})
	fix.echo(cli, ups)
	return cli, ups
}

// echo checks that bytes are forwarded in both directions.
func (fix fixture) echo(cli, ups net.Conn) {
	fix.t.Helper()
	fix.send(cli, ups, "up")
	fix.send(ups, cli, "down")
}

func (fix fixture) send(src, dst net.Conn, txt string) {
	fix.t.Helper()
	_, _ = io.WriteString(src, txt)
	fix.read(dst, txt)
}

func (fix fixture) read(dst net.Conn, want string) {
	fix.t.Helper()
	buf := make([]byte, len(want))
	_ = dst.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.ReadFull(dst, buf); err != nil || string(buf) != want {
		fix.t.Fatalf("read %q, %v; want %q", buf, err, want)
	}
}

// expectReset checks that a connection ends with an error other than an orderly end or a timeout.
func (fix fixture) expectReset(con net.Conn) {
	fix.t.Helper()
	_ = con.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err := con.Read(make([]byte, 1))
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		fix.t.Fatalf("read of a reset connection: %v", err)
	}
}

func (fix fixture) until(cond func(fault.Stats) bool) {
	fix.t.Helper()
	for range 10000 {
		if cond(fix.prx.Stats()) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	fix.t.Fatalf("condition not reached: %+v", fix.prx.Stats())
}

// Guards against bytes that are delivered before their delay, and against losing them when their sender closes first.
func TestLateDelivery(t *testing.T) {
	fix := start(t)
	cli, ups := fix.pair()
	fix.prx.SetDelay(fault.Up, time.Minute)
	fix.send(ups, cli, "the other direction is not delayed")
	_, _ = io.WriteString(cli, "late")
	cli.(*net.TCPConn).CloseWrite()
	fix.clk.AwaitTimers(1)
	if got := fix.prx.Stats().BytesUp; got != 2 {
		t.Fatalf("%d bytes were delivered before the delay was over, want 2", got)
	}
	fix.clk.Advance(time.Minute)
	fix.read(ups, "late")
}

// Guards against a freeze that loses or forwards bytes.
func TestFreeze(t *testing.T) {
	fix := start(t)
	cli, ups := fix.pair()
	fix.prx.Freeze()
	_, _ = io.WriteString(cli, "held")
	_, _ = io.WriteString(ups, "too")
	// The short deadline may miss a fault but cannot cause a false failure.
	_ = ups.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if num, err := ups.Read(make([]byte, 1)); num > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("bytes were forwarded during a freeze: %v", err)
	}
	if sts := fix.prx.Stats(); sts.BytesUp != 2 || sts.BytesDown != 4 {
		t.Fatalf("bytes were forwarded during a freeze: %+v", sts)
	}
	fix.prx.Resume()
	fix.read(ups, "held")
	fix.read(cli, "too")
}

// Guards against a one-way drop that affects both directions, and against a stream with a gap after Heal.
func TestOneWayCut(t *testing.T) {
	fix := start(t)
	cli, ups := fix.pair()
	fix.prx.Drop(fault.Up)
	_, _ = io.WriteString(cli, "lost")
	fix.until(func(sts fault.Stats) bool { return sts.DroppedUp == 4 })
	fix.send(ups, cli, "still passes")
	if err := fix.prx.Heal(); err != nil {
		t.Fatal(err)
	}
	fix.expectReset(cli)
	fix.pair()
}

// Guards against a Cut that keeps connections open, and against a Heal after which connections still fail.
func TestCutAndRefuse(t *testing.T) {
	fix := start(t)
	cli, ups := fix.pair()
	fix.prx.Cut()
	fix.expectReset(cli)
	fix.expectReset(ups)
	con, err := net.Dial("tcp", fix.prx.Address())
	if err == nil {
		fix.expectReset(con)
		con.Close()
	}
	if err := fix.prx.Heal(); err != nil {
		t.Fatal(err)
	}
	cli, _ = fix.pair()
	fix.prx.Refuse()
	fix.expectReset(cli)
	if con, err := net.Dial("tcp", fix.prx.Address()); err == nil {
		con.Close()
		t.Fatal("the port still accepts connections after Refuse")
	}
	if err := fix.prx.Heal(); err != nil {
		t.Fatal(err)
	}
	fix.pair()
	fix.until(func(sts fault.Stats) bool { return sts.Connections == 3 && sts.Open == 1 })
}

// Guards against a bandwidth that is not kept, that each connection has for itself, or that stays after Heal.
func TestBandwidth(t *testing.T) {
	fix := start(t)
	const rate, size = 64 << 10, 32 << 10
	one, upOne := fix.pair()
	two, upTwo := fix.pair()
	before := fix.prx.Stats().BytesDown
	fix.prx.SetBandwidth(fault.Down, rate)
	for _, ups := range []net.Conn{upOne, upTwo} {
		if _, err := ups.Write(make([]byte, size)); err != nil {
			t.Fatal(err)
		}
	}
	for begin := fix.clk.Now(); fix.prx.Stats().BytesDown < before+2*size; fix.clk.Advance(50 * time.Millisecond) {
		ela := fix.clk.Now().Sub(begin)
		if got, most := fix.prx.Stats().BytesDown-before, int64(rate*ela.Seconds()); got > most {
			t.Fatalf("%d bytes after %v, at most %d are allowed", got, ela, most)
		}
		time.Sleep(time.Millisecond)
	}
	fix.read(one, string(make([]byte, size)))
	fix.read(two, string(make([]byte, size)))
	if err := fix.prx.Heal(); err != nil {
		t.Fatal(err)
	}
	fix.send(upOne, one, string(make([]byte, 4*size)))
}

// Guards against passing on the reset of an upstream as its close, when the reset was reported to the other direction.
func TestUpstreamResetDuringUpload(t *testing.T) {
	const connections = 20 // a read or a write of the connection gets the report of the reset
	fix := start(t)
	for num := range connections {
		raw, ups := fix.pair()
		cli := strict.NewConn(raw)
		go func() {
			buf := make([]byte, 64<<10)
			for err := error(nil); err == nil; {
				_, err = cli.Write(buf)
			}
		}()
		_, _ = io.ReadFull(ups, make([]byte, 8<<20)) // the upload is in progress
		_, _ = io.WriteString(ups, "part of")
		_ = ups.(*net.TCPConn).SetLinger(0)
		_ = ups.Close()
		if data, err := io.ReadAll(cli); err == nil {
			t.Fatalf("connection %d: read %q and an orderly end", num, data)
		}
	}
}
