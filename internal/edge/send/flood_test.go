package send_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/edge/buffer"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/stand/ptarg"
	"cardamompass/platform"
)

// Guards against a response without end that fills the memory, or keeps its request and its connection beyond the deadline.
func TestEndlessResponses(t *testing.T) {
	const memory = 4 << 20
	faults := map[ptarg.Fault]send.Kind{
		ptarg.FaultEndlessLine:      send.KindInvalidResponse,
		ptarg.FaultEndlessHead:      send.KindInvalidResponse,
		ptarg.FaultEndlessInterim:   send.KindInvalidResponse,
		ptarg.FaultEndlessBody:      send.KindInvalidResponse,
		ptarg.FaultEndlessNoise:     send.KindInvalidResponse,
		ptarg.FaultEndlessChunks:    send.KindInvalidResponse,
		ptarg.FaultEndlessExtension: send.KindBroken,
		ptarg.FaultEndlessTrailer:   send.KindBroken,
	}
	for flt, kind := range faults {
		t.Run(string(flt), func(t *testing.T) {
			pol := buffer.New(buffer.Config{Limit: memory})
			snd, stop := send.New(send.Config{
				Protocol: platform.Protocol{},
				Clock:    cardamompass.SystemClock{},
				Dial:     send.Dialer(time.Second),
				Bodies:   pol,
			})
			t.Cleanup(stop)
			tgt, ins := newTarget(t)
			tgt.SetFault(flt)
			_, err := snd.Do(t.Context(), ins, message("r-1"))
			var fai *send.Failure
			if !errors.As(err, &fai) || fai.Kind != kind || fai.NotRun {
				t.Fatalf("at full speed: error %#v", err)
			}
			if sent := tgt.EndlessBytes(); sent > 2*memory+(8<<20) { // socket buffers hold the rest
				t.Fatalf("the target sent %d bytes before the connection was closed", sent)
			}
			tgt.SetSlow(10 * time.Millisecond)
			msg := message("r-2")
			msg.Deadline = time.Now().Add(300 * time.Millisecond)
			_, err = snd.Do(t.Context(), ins, msg)
			if !errors.As(err, &fai) || fai.NotRun || time.Now().After(msg.Deadline.Add(3*time.Second)) {
				t.Fatalf("byte by byte: error %#v", err)
			}
			tgt.SetFault(ptarg.FaultNone)
			rep, err := snd.Do(t.Context(), ins, message("r-3"))
			if err != nil || string(rep.Body) != ptarg.Body("r-3") || snd.IdleCount() != 1 {
				t.Fatalf("next request: reply %+v, error %v, %d idle connections", rep, err, snd.IdleCount())
			}
			rep.Release()
			if pol.Used() != 0 {
				t.Fatalf("%d bytes in use after the last response", pol.Used())
			}
		})
	}
}

// Guards against a request that is reported as not run, and so runs again elsewhere, because a late copy of a refusal arrived on a
// connection that was in use again.
func TestLateRefusalWithoutID(t *testing.T) {
	snd := newSender(t)
	tgt, ins := newTarget(t)
	tgt.SetFault(ptarg.FaultLateCopy)
	if rep, err := snd.Do(t.Context(), ins, message("r-1")); err != nil || rep.Status != http.StatusOK {
		t.Fatalf("reply %+v, error %v", rep, err)
	}
	rep, err := snd.Do(t.Context(), ins, message("r-2"))
	var fai *send.Failure
	if errors.As(err, &fai) && fai.NotRun {
		t.Fatalf("reported as not run: %v; runs %+v", err, tgt.Runs())
	}
	if err == nil && string(rep.Body) != ptarg.Body("r-2") {
		t.Fatalf("reply %+v", rep)
	}
	if runs := tgt.Runs(); len(runs) != 2 {
		t.Fatalf("runs %+v", runs)
	}
}

// Guards against cutting the rest of a body that a target reads only after it has responded, and against other bytes in its place.
func TestBodyIsWrittenAfterTheResponse(t *testing.T) {
	snd := newSender(t)
	tgt, ins := newTarget(t)
	tgt.SetFault(ptarg.FaultEarlyKeep)
	msg := message("r-1")
	msg.Body = []byte(strings.Repeat("0123456789abcdef", 1<<20))
	pol := buffer.New(buffer.Config{Limit: 64 << 20})
	msg.Buffer = pol.NewBuffer()
	if _, err := msg.Buffer.ReadAll(strings.NewReader(string(msg.Body)), int64(len(msg.Body)), 0); err != nil {
		t.Fatal(err)
	}
	rep, err := snd.Do(t.Context(), ins, msg)
	if err != nil || rep.Status != http.StatusOK || string(rep.Body) != ptarg.Body("r-1") {
		t.Fatalf("reply %+v, error %v", rep, err)
	}
	if snd.IdleCount() != 0 {
		t.Fatal("the connection is idle while the body is being written")
	}
	msg.Buffer.Release()
	if pol.Used() == 0 {
		t.Fatal("the memory of the body was released while it is being written")
	}
	waitFor(t, func() bool { return snd.IdleCount() == 1 })
	waitFor(t, func() bool { return len(tgt.Runs()) == 1 })
	if body := tgt.Runs()[0].Body; body != string(msg.Body) {
		t.Fatalf("the target read %d bytes of %d, or other ones", len(body), len(msg.Body))
	}
	if pol.Used() != 0 {
		t.Fatalf("%d bytes in use after the write", pol.Used())
	}
	if _, err = snd.Do(t.Context(), ins, message("r-2")); err != nil {
		t.Fatal(err)
	}
	if runs := tgt.Runs(); len(runs) != 2 || runs[1].Body != "body of r-2" || tgt.Connections() != 1 {
		t.Fatalf("%d runs on %d connections", len(runs), tgt.Connections())
	}
}

// Guards against a response to HEAD that is taken for a truncated one, because it declares the length of a body that it does not have.
func TestHead(t *testing.T) {
	snd := newSender(t)
	_, ins := newTarget(t)
	for _, id := range []string{"r-1", "r-2"} {
		msg := message(id)
		msg.Method, msg.Body, msg.HasBody = http.MethodHead, nil, false
		rep, err := snd.Do(t.Context(), ins, msg)
		if err != nil || rep.Status != http.StatusOK || len(rep.Body) != 0 || rep.Header.Get("Content-Length") == "" {
			t.Fatalf("reply %+v, error %v", rep, err)
		}
	}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not come to hold")
		}
	}
}
