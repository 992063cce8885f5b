package send_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cardamompass"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/stand/ptarg"
	"cardamompass/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newSender(t *testing.T) (snd *send.Sender) {
	t.Helper()
	return newLoggingSender(t, nil)
}

func newLoggingSender(t *testing.T, log *zap.Logger) (snd *send.Sender) {
	t.Helper()
	snd, stop := send.New(send.Config{
		Protocol: platform.Protocol{},
		Clock:    cardamompass.SystemClock{},
		Dial:     send.Dialer(time.Second),
		Log:      log,
	})
	t.Cleanup(stop)
	return snd
}

func newTarget(t *testing.T) (tgt *ptarg.Target, ins cardamompass.Instance) {
	t.Helper()
	return newTargetAs(t, "i-1")
}

func newTargetAs(t *testing.T, id string) (tgt *ptarg.Target, ins cardamompass.Instance) {
	t.Helper()
	tgt, stop, err := ptarg.New(ptarg.Config{
		ID:      id,
		Address: "127.0.0.1:0",
		Slots:   6,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return tgt, cardamompass.Instance{
		ID:      cardamompass.InstanceID(id),
		Service: "svc",
		Address: tgt.Address(),
		Slots:   6,
	}
}

func message(id string) (msg send.Message) {
	return send.Message{
		ID:     cardamompass.RequestID(id),
		Method: http.MethodPost,
		URI:    "/a/b?c=%20d",
		Host:   "h.example",
		Header: http.Header{
			"Request-Id": {id},
		},
		Body:     []byte("body of " + id),
		HasBody:  true,
		Deadline: time.Now().Add(5 * time.Second),
	}
}

// Guards against a request that is changed on its way to the target, and against a remaining time longer than the caller's timeout.
func TestCompleteResponse(t *testing.T) {
	snd := newSender(t)
	tgt, ins := newTarget(t)
	for _, id := range []string{"r-1", "r-2", "r-3"} {
		rep, err := snd.Do(t.Context(), ins, message(id))
		if err != nil || rep.Status != http.StatusOK || string(rep.Body) != ptarg.Body(id) || !rep.Info.Signed {
			t.Fatalf("reply %+v, error %v", rep, err)
		}
	}
	runs := tgt.Runs()
	if len(runs) != 3 || runs[0].Path != "/a/b?c=%20d" || runs[0].Body != "body of r-1" || runs[0].Method != http.MethodPost {
		t.Fatalf("runs %+v", runs)
	}
	if left := runs[0].Timeout; len(left) != 4 || left > "5000" {
		t.Fatalf("time left %q", left)
	}
	if tgt.Connections() != 1 {
		t.Fatalf("%d connections for three consecutive requests, want 1", tgt.Connections())
	}
}

// Guards against closing idle connections once the deadline of their last request has passed. This opened a new connection for
// every third request on the example sites, although targets keep idle connections for longer.
func TestConnectionOutlivesTheDeadlineOfItsRequest(t *testing.T) {
	snd := newSender(t)
	tgt, ins := newTarget(t)
	for _, id := range []string{"r-1", "r-2", "r-3"} {
		msg := message(id)
		msg.Deadline = time.Now().Add(500 * time.Millisecond)
		if _, err := snd.Do(t.Context(), ins, msg); err != nil {
			t.Fatal(err)
		}
		time.Sleep(600 * time.Millisecond)
	}
	if tgt.Connections() != 1 {
		t.Fatalf("%d connections for three consecutive requests, want 1", tgt.Connections())
	}
}

// Guards against losing one request after the other on idle connections that targets have dropped without closing them. On
// martban-net-grown 928 requests of the day 'forgotten-connections' failed, and 505 when connections were only given up sooner.
func TestForgottenConnections(t *testing.T) {
	const targets = 8
	core, logs := observer.New(zap.InfoLevel)
	snd := newLoggingSender(t, zap.New(core))
	var tgts []*ptarg.Target
	var inss []cardamompass.Instance
	for num := range targets {
		tgt, ins := newTargetAs(t, fmt.Sprintf("i-%d", num))
		tgts, inss = append(tgts, tgt), append(inss, ins)
	}
	round := func(name string, nonIdempotent bool) (broken int) {
		for num, ins := range inss {
			msg := message(fmt.Sprintf("%s-%d", name, num))
			msg.NonIdempotent = nonIdempotent
			_, err := snd.Do(t.Context(), ins, msg)
			var fai *send.Failure
			switch {
			case errors.As(err, &fai) && fai.Kind == send.KindBroken:
				broken++
			case err != nil:
				t.Fatal(err)
			}
		}
		return broken
	}
	if broken := round("warm", true); broken != 0 {
		t.Fatalf("%d requests broke on new connections", broken)
	}
	for _, tgt := range tgts {
		tgt.DropIdle(100 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond)
	if broken := round("once", true); broken != 1 {
		t.Fatalf("%d of %d requests broke, want the first only", broken, targets)
	}
	time.Sleep(400 * time.Millisecond)
	if broken := round("repeatable", false); broken != 0 {
		t.Fatalf("%d of %d requests broke soon after the first", broken, targets)
	}
	if num := logs.FilterMessage("idle connections in doubt").Len(); num != 1 {
		t.Fatalf("%d log lines on suspect idle connections, want 1", num)
	}
}

// Guards against reporting as not run a request that has run, and against accepting a truncated response as complete.
func TestFaultyTargets(t *testing.T) {
	tests := []struct {
		fault  ptarg.Fault
		kind   send.Kind // empty for a response
		notRun bool
		status int
	}{
		{ptarg.FaultReset, send.KindBroken, false, 0},
		{ptarg.FaultTruncated, send.KindBroken, false, 0},
		{ptarg.FaultGarbage, send.KindInvalidResponse, false, 0},
		{ptarg.FaultDuplicated, "", false, 200},
		{ptarg.FaultUnframed, "", false, 200},
		{ptarg.FaultError, "", false, 500},
		{ptarg.FaultShed, send.KindShed, true, 0},
		{ptarg.FaultFalse503, "", false, 503},
		{ptarg.FaultCompressed, send.KindInvalidResponse, false, 0},
		{ptarg.FaultUnsigned, send.KindInvalidResponse, false, 0},
		{ptarg.FaultNoResponse, send.KindTimeout, false, 0},
	}
	for _, tst := range tests {
		t.Run(string(tst.fault), func(t *testing.T) {
			snd := newSender(t)
			tgt, ins := newTarget(t)
			tgt.SetFault(tst.fault)
			msg := message("r-1")
			if tst.fault == ptarg.FaultNoResponse {
				msg.Deadline = time.Now().Add(100 * time.Millisecond)
			}
			rep, err := snd.Do(t.Context(), ins, msg)
			if tst.kind == "" {
				if err != nil || rep.Status != tst.status || string(rep.Body) != ptarg.Body("r-1") {
					t.Fatalf("reply %+v, error %v", rep, err)
				}
				return
			}
			var fai *send.Failure
			if !errors.As(err, &fai) || fai.Kind != tst.kind || fai.NotRun != tst.notRun {
				t.Fatalf("error %#v", err)
			}
			if ran := len(tgt.Runs()) > 0; ran && fai.NotRun {
				t.Fatal("the request ran")
			}
			tgt.SetFault(ptarg.FaultNone)
			if rep, err = snd.Do(t.Context(), ins, message("r-2")); err != nil || string(rep.Body) != ptarg.Body("r-2") {
				t.Fatalf("next request: reply %+v, error %v", rep, err)
			}
		})
	}
}

// Guards against returning a duplicate response to an earlier request as the response to the current one.
func TestSurplusAnswerIsSkipped(t *testing.T) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lsn.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		con, err := lsn.Accept()
		if err != nil {
			return
		}
		defer con.Close()
		buf := make([]byte, 4096)
		for _, ids := range [][]string{{"r-1"}, {"r-1", "r-2"}} {
			if _, err = con.Read(buf); err != nil {
				return
			}
			for _, id := range ids {
				_, _ = con.Write([]byte("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: s\r\nContent-Length: 3\r\n\r\n" + id))
			}
		}
	}()
	snd := newSender(t)
	ins := cardamompass.Instance{
		ID:      "i-1",
		Address: lsn.Addr().String(),
	}
	for _, id := range []string{"r-1", "r-2"} {
		rep, err := snd.Do(t.Context(), ins, message(id))
		if err != nil || string(rep.Body) != id {
			t.Fatalf("reply %q, error %v, want %q", rep.Body, err, id)
		}
	}
	<-done
}

// Guards against reusing a connection on which unexpected bytes have arrived.
func TestConnectionWithSurplusIsNotReused(t *testing.T) {
	snd := newSender(t)
	tgt, ins := newTarget(t)
	tgt.SetFault(ptarg.FaultDuplicated)
	if _, err := snd.Do(t.Context(), ins, message("r-1")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // the duplicate response is sent after 20 ms
	tgt.SetFault(ptarg.FaultNone)
	rep, err := snd.Do(t.Context(), ins, message("r-2"))
	if err != nil || string(rep.Body) != ptarg.Body("r-2") || tgt.Connections() != 2 {
		t.Fatalf("reply %q, error %v, %d connections", rep.Body, err, tgt.Connections())
	}
}

// Guards against a request that is run by another target which has taken over the address.
func TestOtherInstance(t *testing.T) {
	snd := newSender(t)
	tgt, ins := newTarget(t)
	ins.ID = "i-0"
	_, err := snd.Do(t.Context(), ins, message("r-1"))
	var fai *send.Failure
	if !errors.As(err, &fai) || fai.Kind != send.KindWrongInstance || !fai.NotRun || len(tgt.Runs()) != 0 {
		t.Fatalf("error %v, runs %v", err, tgt.Runs())
	}
}

// Guards against reporting an unsent request as possibly run, which would keep its caller from retrying.
func TestConnectionRefused(t *testing.T) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := lsn.Addr().String()
	lsn.Close()
	_, err = newSender(t).Do(t.Context(), cardamompass.Instance{
		ID:      "i-1",
		Address: address,
	}, message("r-1"))
	var fai *send.Failure
	if !errors.As(err, &fai) || fai.Kind != send.KindRefused || !fai.NotRun {
		t.Fatalf("error %v", err)
	}
}

// Guards against blocking on the write of a long body to a target that has already responded, and against the target taking the
// rest of that body for the next request.
func TestEarlyAnswerToLongBody(t *testing.T) {
	snd := newSender(t)
	tgt, ins := newTarget(t)
	tgt.SetFault(ptarg.FaultEarly)
	msg := message("r-1")
	msg.Body = []byte(strings.Repeat("x", 8<<20))
	rep, err := snd.Do(t.Context(), ins, msg)
	if err != nil || rep.Status != http.StatusBadRequest {
		t.Fatalf("status %d, error %v", rep.Status, err)
	}
	tgt.SetFault(ptarg.FaultNone)
	if _, err = snd.Do(t.Context(), ins, message("r-2")); err != nil {
		t.Fatal(err)
	}
	if runs := tgt.Runs(); len(runs) != 1 || runs[0].Body != "body of r-2" {
		t.Fatalf("runs %+v", runs)
	}
}

// Guards against work that continues at a target after its caller has disconnected.
func TestCancelClosesTheConnection(t *testing.T) {
	snd := newSender(t)
	tgt, ins := newTarget(t)
	tgt.SetFault(ptarg.FaultNoResponse)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := snd.Do(ctx, ins, message("r-1"))
		done <- err
	}()
	for len(tgt.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	var fai *send.Failure
	if err := <-done; !errors.As(err, &fai) || fai.Kind != send.KindCancelled || fai.NotRun {
		t.Fatalf("error %v", err)
	}
}

// Guards against sending a request on a connection that the target has closed in the meantime.
func TestClosedConnectionIsNotReused(t *testing.T) {
	snd := newSender(t)
	var cfg net.ListenConfig
	lsn, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := make(chan error) // one value for each connection, once it is closed
	go func() {
		defer close(closed)
		for {
			con, err := lsn.Accept()
			if err != nil {
				return
			}
			closed <- respondAndClose(con)
		}
	}()
	ins := cardamompass.Instance{
		ID:      "i-1",
		Service: "svc",
		Address: lsn.Addr().String(),
		Slots:   6,
	}
	for num := range 20 {
		if _, err := snd.Do(t.Context(), ins, message("r-x")); err != nil {
			t.Fatalf("request %d: %v", num, err)
		}
		if err := <-closed; err != nil {
			t.Fatal(err)
		}
	}
	lsn.Close()
	<-closed
}

// respondAndClose responds to one request without announcing the close, and closes the connection.
func respondAndClose(con net.Conn) (err error) {
	defer con.Close()
	if _, err = http.ReadRequest(bufio.NewReader(con)); err != nil {
		return err
	}
	_, err = con.Write([]byte("HTTP/1.1 200 OK\r\nRequest-Id: r-x\r\nResponse-Seal: seal-r-x\r\nContent-Length: 2\r\n\r\nok"))
	return err
}
