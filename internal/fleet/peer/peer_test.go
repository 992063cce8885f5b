package peer_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cardamompass"
	"cardamompass/internal/fleet/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var key = []byte("0123456789abcdef")

type text struct{ Text string }

// echo is the receiver used by the tests. Closing release unblocks Wait and Hang.
type echo struct{ release chan struct{} }

func (*echo) Say(args text, reply *text) error {
	reply.Text = args.Text
	return nil
}

func (ech *echo) Wait(ctx context.Context, _ text, _ *text) error {
	select {
	case <-ech.release:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// Hang ignores the caller's deadline, like a peer that no longer responds.
func (ech *echo) Hang(text, *text) error {
	<-ech.release
	return nil
}

func (*echo) Fail(args text, _ *text) error {
	switch args.Text {
	case "not-run":
		return &cardamompass.NotRunError{
			Reason: "no capacity",
			Target: "t1",
		}
	case "unknown":
		return &cardamompass.UnknownOutcomeError{
			Reason: "cut",
			Broken: true,
		}
	case "invalid":
		return &cardamompass.InvalidError{
			Field: "path",
		}
	case "unsent":
		return &cardamompass.PeerUnsentError{
			Address: "elsewhere",
			Err:     errors.New("refused"),
		}
	}
	panic("requested by the test")
}

func (*echo) Large(_ text, reply *text) error {
	reply.Text = string(make([]byte, 8<<10))
	return nil
}

func start(t testing.TB, cfg peer.ServerConfig) (srv *peer.Server, ech *echo) {
	if cfg.Key == nil {
		cfg.Key = key
	}
	if cfg.Address == "" && cfg.Listener == nil {
		cfg.Address = "127.0.0.1:0"
	}
	srv, stop, err := peer.NewServer(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ech = &echo{
		release: make(chan struct{}),
	}
	if err = srv.Register("Echo", ech); err != nil {
		t.Fatal(err)
	}
	srv.Start()
	t.Cleanup(stop)
	return srv, ech
}

func client(t testing.TB, cfg peer.ClientConfig) (cli *peer.Client) {
	if cfg.Key == nil {
		cfg.Key = key
	}
	cli, stop, err := peer.NewClient(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return cli
}

// Guards against typed errors that lose their type or fields between server and client, and against a PeerUnsentError
// that the peer returned and that is mistaken for an unsent call of this client.
func TestTypedErrors(t *testing.T) {
	srv, _ := start(t, peer.ServerConfig{})
	cli := client(t, peer.ClientConfig{})
	call := func(txt string) (err error) {
		return cli.Call(t.Context(), srv.Address(), "Echo.Fail", text{Text: txt}, &text{})
	}
	var nre *cardamompass.NotRunError
	if err := call("not-run"); !errors.As(err, &nre) || nre.Reason != "no capacity" || nre.Target != "t1" {
		t.Errorf("not-run: got %v", err)
	}
	var uoe *cardamompass.UnknownOutcomeError
	if err := call("unknown"); !errors.As(err, &uoe) || !uoe.Broken {
		t.Errorf("unknown: got %v", err)
	}
	if err := call("panic"); !errors.As(err, &uoe) {
		t.Errorf("the outcome must be unknown after a panic, got %v", err)
	}
	var ine *cardamompass.InvalidError
	var pue *cardamompass.PeerUnsentError
	if err := cli.Call(t.Context(), srv.Address(), "Echo.Say", 5, &text{}); !errors.As(err, &ine) {
		t.Errorf("arguments of another type: got %v", err)
	}
	var num int
	if err := cli.Call(t.Context(), srv.Address(), "Echo.Say", text{Text: "hi"}, &num); err == nil || errors.As(err, &pue) {
		t.Errorf("reply of another type: got %v", err)
	}
	if err := call("invalid"); !errors.As(err, &ine) || ine.Field != "path" {
		t.Errorf("invalid: got %v", err)
	}
	var rem *peer.RemoteError
	if err := call("unsent"); errors.As(err, &pue) || !errors.As(err, &rem) {
		t.Errorf("unsent call of the peer: got %v", err)
	}
	if err := cli.Call(t.Context(), srv.Address(), "Echo.None", text{}, &text{}); !errors.As(err, &ine) {
		t.Errorf("unknown method: got %v", err)
	}
	reply := text{}
	if err := cli.Call(t.Context(), srv.Address(), "Echo.Say", text{Text: "hi"}, &reply); err != nil || reply.Text != "hi" {
		t.Errorf("connection must survive errors: %v, %q", err, reply.Text)
	}
	if trf := srv.Traffic(); trf.Connections != 1 || trf.Calls != 9 || trf.BytesIn != cli.Traffic().BytesOut {
		t.Errorf("server counted %+v, client %+v", trf, cli.Traffic())
	}
}

// Guards against a wrong report of whether any byte of a call was sent. At-most-once execution depends on it.
func TestUnsent(t *testing.T) {
	srv, _ := start(t, peer.ServerConfig{
		MaxMessageBytes: 4 << 10,
	})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	large := text{
		Text: string(make([]byte, 8<<10)),
	}
	tests := []struct {
		name    string
		address string
		method  string
		args    any
		key     string
		unsent  bool
	}{
		{name: "connection refused", address: closed.Addr().String(), method: "Echo.Say", args: text{}, unsent: true},
		{name: "no data from the peer in the handshake", address: silent.Addr().String(), method: "Echo.Say", args: text{}, unsent: true},
		{name: "other key", address: srv.Address(), method: "Echo.Say", args: text{}, key: "fedcba9876543210", unsent: true},
		{name: "arguments too large", address: srv.Address(), method: "Echo.Say", args: large, unsent: true},
		{name: "arguments not encodable", address: srv.Address(), method: "Echo.Say", args: func() {}, unsent: true},
		{name: "reply too large", address: srv.Address(), method: "Echo.Large", args: text{}},
		{name: "arguments of another type", address: srv.Address(), method: "Echo.Say", args: 5},
		{name: "deadline exceeded in the method", address: srv.Address(), method: "Echo.Wait", args: text{}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			cfg := peer.ClientConfig{
				MaxMessageBytes: 4 << 10,
				DialTimeout:     100 * time.Millisecond,
			}
			if tst.key != "" {
				cfg.Key = []byte(tst.key)
			}
			cli := client(t, cfg)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			err := cli.Call(ctx, tst.address, tst.method, tst.args, &text{})
			var pue *cardamompass.PeerUnsentError
			if err == nil || errors.As(err, &pue) != tst.unsent {
				t.Fatalf("got %v, want unsent=%v", err, tst.unsent)
			}
			reply := text{}
			err = cli.Call(t.Context(), srv.Address(), "Echo.Say", text{Text: "next"}, &reply)
			if tst.key == "" && (err != nil || reply.Text != "next") {
				t.Fatalf("next call: %v, %q", err, reply.Text)
			}
		})
	}
}

// Guards against calls that are blocked by a slow call on the same connection.
func TestMultiplexed(t *testing.T) {
	srv, ech := start(t, peer.ServerConfig{})
	cli := client(t, peer.ClientConfig{})
	done := make(chan error, 1)
	go func() { done <- cli.Call(context.Background(), srv.Address(), "Echo.Wait", text{}, &text{}) }()
	for range 100 {
		if err := cli.Call(t.Context(), srv.Address(), "Echo.Say", text{}, &text{}); err != nil {
			t.Fatal(err)
		}
	}
	close(ech.release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if cnt := srv.Traffic().Connections; cnt != 1 {
		t.Errorf("%d connections, want 1", cnt)
	}
}

// Guards against new calls on a connection whose peer no longer responds, and against idle connections that stay open.
func TestRetired(t *testing.T) {
	srv, ech := start(t, peer.ServerConfig{})
	cli := client(t, peer.ClientConfig{
		IdleTimeout: 20 * time.Millisecond,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := cli.Call(ctx, srv.Address(), "Echo.Hang", text{}, &text{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v", err)
	}
	close(ech.release)
	// Each round ends when the idle connection has been closed and the call needed a new one.
	for want := uint64(2); want <= 3; want++ {
		for srv.Traffic().Connections < want {
			if err := cli.Call(t.Context(), srv.Address(), "Echo.Say", text{}, &text{}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(30 * time.Millisecond)
		}
	}
}

// Guards against a restarted peer that stays unreachable because of its old connection.
func TestRestartedServer(t *testing.T) {
	first, stop, err := peer.NewServer(peer.ServerConfig{
		Address: "127.0.0.1:0",
		Key:     key,
	})
	if err != nil {
		t.Fatal(err)
	}
	_ = first.Register("Echo", &echo{})
	first.Start()
	cli := client(t, peer.ClientConfig{})
	if err = cli.Call(t.Context(), first.Address(), "Echo.Say", text{}, &text{}); err != nil {
		t.Fatal(err)
	}
	stop()
	start(t, peer.ServerConfig{
		Address: first.Address(),
	})
	// The closing of the old connection may be detected only by a failed call.
	err = cli.Call(t.Context(), first.Address(), "Echo.Say", text{}, &text{})
	if err != nil {
		err = cli.Call(t.Context(), first.Address(), "Echo.Say", text{}, &text{})
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against more open connections than configured.
func TestConnectionLimit(t *testing.T) {
	srv, _ := start(t, peer.ServerConfig{
		MaxConnections: 1,
	})
	if err := client(t, peer.ClientConfig{}).Call(t.Context(), srv.Address(), "Echo.Say", text{}, &text{}); err != nil {
		t.Fatal(err)
	}
	var pue *cardamompass.PeerUnsentError
	err := client(t, peer.ClientConfig{}).Call(t.Context(), srv.Address(), "Echo.Say", text{}, &text{})
	if !errors.As(err, &pue) {
		t.Fatalf("got %v", err)
	}
}
