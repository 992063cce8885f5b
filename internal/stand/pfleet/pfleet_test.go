package pfleet_test

import (
	"io"
	"net"
	"testing"
	"time"

	"cardamompass/internal/stand/pfleet"
)

// Guards against requests of another test's processes at a target: a VM of cardamompass serve probes the port of a crashed target, which
// a target of a parallel test may have by then. TestRestartDoesNotBringTargetsBack counted such probes as altered requests.
func TestTargetsHaveTheirOwnAddress(t *testing.T) {
	flt, stop, err := pfleet.New(pfleet.Config{
		Dir:     t.TempDir(),
		Targets: 2,
		Slots:   1,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	for _, tgt := range flt.Targets {
		proxied := func() (count int) { return int(tgt.Proxy.Stats().Connections) }
		expectSeparate(t, tgt.Address(), tgt.Connections)
		expectSeparate(t, tgt.Proxy.Address(), proxied)
	}
}

// expectSeparate checks that a listener is not reached at 127.0.0.1. Another process may listen there at the same port, so that it is
// the number of connections which the listener accepted that tells.
func expectSeparate(t *testing.T, address string, accepted func() int) {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	for _, tst := range []struct {
		address string
		reached bool
	}{
		{address, true},
		{net.JoinHostPort("127.0.0.1", port), false},
	} {
		before := accepted()
		con, err := net.Dial("tcp", tst.address)
		if err != nil && !tst.reached {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		// A response, or the end of the connection, comes after the listener has counted the connection.
		_ = con.SetDeadline(time.Now().Add(2 * time.Second))
		_, _ = io.WriteString(con, "GET / HTTP/1.0\r\n\r\n")
		_, _ = con.Read(make([]byte, 1))
		con.Close()
		if reached := accepted() > before; reached != tst.reached {
			t.Errorf("%s: reached at %s: %v", address, tst.address, reached)
		}
	}
}

// Guards against a check of separate addresses that fails because another process has the port at 127.0.0.1, as it did in CI.
func TestSamePortElsewhere(t *testing.T) {
	flt, stop, err := pfleet.New(pfleet.Config{
		Dir:     t.TempDir(),
		Targets: 1,
		Slots:   1,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	tgt := flt.Targets[0]
	_, port, err := net.SplitHostPort(tgt.Address())
	if err != nil {
		t.Fatal(err)
	}
	// If the port is taken, another process makes the case.
	if lsn, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port)); err == nil {
		defer lsn.Close()
		go func() {
			if con, err := lsn.Accept(); err == nil {
				con.Close()
			}
		}()
	}
	expectSeparate(t, tgt.Address(), tgt.Connections)
}
