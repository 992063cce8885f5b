package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/front"
	"cardamompass/internal/edge/intake"
	"cardamompass/internal/edge/pipe"
	"cardamompass/internal/stand/ptarg"
)

// servePipelined serves the front behind a Pipe, as a node does, and returns the address.
func (fxt *fixture) servePipelined() (address string) {
	fxt.t.Helper()
	pip, stop := pipe.New(pipe.Config{
		Handler: fxt.front,
		Beside:  fxt.front.Beside,
		Clock:   cardamompass.SystemClock{},
		Log:     zap.NewNop(),
		Scope:   tally.NoopScope,
	})
	itk := intake.New(intake.Config{
		Log: zap.NewNop(),
	})
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fxt.t.Fatal(err)
	}
	srv := &http.Server{
		Handler: pip,
		ConnContext: func(ctx context.Context, con net.Conn) context.Context {
			return pipe.ConnContext(front.ConnContext(ctx, con), con)
		},
	}
	ended := make(chan error, 1)
	go func() { ended <- itk.Serve(srv, lsn) }()
	fxt.t.Cleanup(func() {
		srv.Close()
		<-ended
		stop()
	})
	return lsn.Addr().String()
}

func pipelined(path, id string) (text string) {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nTimeout-Ms: 3000\r\n\r\n", path, id)
}

// Guards against pipelined requests that wait for each other although their route is idempotent, against ones of other routes that don't,
// against responses in another order, and against a request that runs although its timeout has passed while it waited for those before.
func TestPipelinedRequests(t *testing.T) {
	fxt := newFixture(t, 2)
	fxt.set(ptarg.FaultNoResponse) // requests run until their timeout of 400 ms
	con, err := net.Dial("tcp", fxt.servePipelined())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	begin := time.Now()
	_, _ = io.WriteString(con, pipelined("/read/a", "r-1")+pipelined("/read/a", "r-2")+pipelined("/read/a", "r-3")+
		pipelined("/write/a", "w-1")+pipelined("/patient/a", "w-2")+pipelined("/read/a", "r-4"))
	eventually(t, func() bool { return fxt.runs() >= 3 })
	if ela := time.Since(begin); ela > 300*time.Millisecond {
		t.Errorf("three requests run only after %v", ela)
	}
	fxt.set(ptarg.FaultNone)
	rdr := bufio.NewReader(con)
	for num, status := range []int{504, 504, 504, 503, 200, 200} {
		rsp, err := http.ReadResponse(rdr, nil)
		if err != nil {
			t.Fatal(err)
		}
		if rsp.StatusCode != status {
			t.Errorf("response %d has status %d, want %d", num, rsp.StatusCode, status)
		}
		_, _ = io.Copy(io.Discard, rsp.Body)
	}
	for _, tgt := range fxt.targets {
		for _, run := range tgt.Runs() {
			if run.Path == "/write/a" || (run.Path == "/patient/a" && run.At.Sub(begin) < 350*time.Millisecond) {
				t.Errorf("%s ran after %v", run.Path, run.At.Sub(begin))
			}
		}
	}
}

// Guards against requests that are read ahead and sent for a caller that has disconnected, and against a response that is lost in a
// planned stop.
func TestPipelinedStop(t *testing.T) {
	fxt := newFixture(t, 2)
	address := fxt.servePipelined()
	fxt.set(ptarg.FaultNoResponse)
	con, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(con, pipelined("/read/a", "r-1")+pipelined("/read/a", "r-2"))
	eventually(t, func() bool { return fxt.front.Active() == 2 })
	con.Close()
	begin := time.Now()
	eventually(t, func() bool { return fxt.front.Active() == 0 })
	if ela := time.Since(begin); ela > 250*time.Millisecond {
		t.Errorf("requests ended %v after their caller had disconnected", ela)
	}

	con, err = net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	_, _ = io.WriteString(con, pipelined("/read/a", "r-3")+pipelined("/read/a", "r-4"))
	eventually(t, func() bool { return fxt.front.Active() == 2 })
	fxt.front.Drain()
	rdr := bufio.NewReader(con)
	for _, closes := range []bool{false, true} {
		rsp, err := http.ReadResponse(rdr, nil)
		if err != nil || rsp.Close != closes {
			t.Fatalf("response %v, error %v; want one that closes: %v", rsp, err, closes)
		}
		_, _ = io.Copy(io.Discard, rsp.Body)
	}
	if _, err = rdr.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("error %v after the last response", err)
	}
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 2 s")
		}
	}
}
