package intake_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass/internal/edge/intake"
)

// stopConns is the number of connections that are open when a server stops.
const stopConns = 200

// Guards against requests that have arrived when the VM stops and end with a closed connection, because the VM has not read them yet: on
// connections that were idle before and on new ones. This broke LOST on long days of naabrilaud-gslb-grown.
func TestShutdownAnswersWhatHasArrived(t *testing.T) {
	for _, kept := range []bool{false, true} {
		name := map[bool]string{false: "new connections", true: "kept connections"}[kept]
		t.Run(name, func(t *testing.T) {
			lsn, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			itk := intake.New(intake.Config{
				Limits: limits,
				Log:    zap.NewNop(),
			})
			srv := &http.Server{
				Handler: http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
					if req.URL.Path == "/last" {
						wrt.Header().Set("Connection", "close")
					}
				}),
			}
			var serving sync.WaitGroup
			start := func() { serving.Go(func() { _ = itk.Serve(srv, lsn) }) }
			if kept {
				start()
			}
			var conns []net.Conn
			var readers []*bufio.Reader
			for range stopConns {
				con, err := net.Dial("tcp", lsn.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer con.Close()
				_ = con.SetDeadline(time.Now().Add(10 * time.Second))
				conns, readers = append(conns, con), append(readers, bufio.NewReader(con))
				if kept && !exchange(con, readers[len(readers)-1], "/first") {
					t.Fatal("no answer before the stop")
				}
			}
			for _, con := range conns {
				if _, err = con.Write([]byte("GET /last HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
					t.Fatal(err)
				}
			}
			if !kept {
				start()
				time.Sleep(time.Millisecond) // so that Serve has begun
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if err = itk.Shutdown(ctx); err != nil {
				t.Error(err)
			}
			if err = srv.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) { // the listener is closed already
				t.Error(err)
			}
			serving.Wait()
			lost := 0
			for num := range conns {
				if !answered(readers[num]) {
					lost++
				}
			}
			if lost > 0 {
				t.Errorf("%d of %d requests have no answer", lost, stopConns)
			}
		})
	}
}

// Guards against a stop that waits for connections on which nothing arrives.
func TestShutdownClosesIdleConnections(t *testing.T) {
	sit := newSite(t, func(http.ResponseWriter, *http.Request) {}, limits)
	con, err := net.Dial("tcp", sit.address)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	if rdr := bufio.NewReader(con); !exchange(con, rdr, "/") {
		t.Fatal("no answer")
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err = sit.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err = con.Read(make([]byte, 1)); err == nil {
		t.Fatal("the connection is not closed")
	}
}

func exchange(con net.Conn, rdr *bufio.Reader, path string) (ok bool) {
	_, err := con.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"))
	return err == nil && answered(rdr)
}

func answered(rdr *bufio.Reader) (ok bool) {
	rsp, err := http.ReadResponse(rdr, nil)
	if err != nil {
		return false
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}
