package pipe_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamompass/internal/edge/pipe"
)

// unwrapped is a value of Config.MaxRequests for which newSite leaves the Pipe out.
const unwrapped = -1

// page is a response of 5 kB.
func page(wrt http.ResponseWriter, _ *http.Request) {
	wrt.Header().Set("Content-Length", "5000")
	wrt.Header().Set("Content-Type", "text/plain")
	_, _ = wrt.Write(bytes.Repeat([]byte("x"), 5000))
}

// BenchmarkRequests measures requests of one caller that keeps a number of them unanswered, without and with a Pipe.
func BenchmarkRequests(b *testing.B) {
	for _, depth := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("depth=%d/code=before", depth), func(b *testing.B) { benchmarkRequests(b, plainServer, depth) })
		b.Run(fmt.Sprintf("depth=%d/code=pipe", depth), func(b *testing.B) { benchmarkRequests(b, pipeServer, depth) })
	}
}

// plainServer is a site whose connections can't be taken over: net/http serves all.
func plainServer(b *testing.B, hnd http.Handler) (sit *site) {
	return newSite(b, hnd, pipe.Config{
		MaxRequests: unwrapped,
	})
}

func pipeServer(b *testing.B, hnd http.Handler) (sit *site) { return newSite(b, hnd, pipe.Config{}) }

func benchmarkRequests(b *testing.B, server func(*testing.B, http.Handler) *site, depth int) {
	cal := server(b, http.HandlerFunc(page)).dial()
	_ = cal.SetDeadline(time.Time{})
	answer := func() {
		rsp, err := http.ReadResponse(cal.rdr, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, rsp.Body)
	}
	b.ReportAllocs()
	b.ResetTimer()
	cal.send(strings.Repeat(get("/read/a"), depth-1))
	for range b.N {
		cal.send(get("/read/a"))
		answer()
	}
	b.StopTimer()
	for range depth - 1 {
		answer()
	}
}

// BenchmarkBehindSlow measures the time until a fast request behind one of 20 ms has been handled.
func BenchmarkBehindSlow(b *testing.B) {
	for name, server := range map[string]func(*testing.B, http.Handler) *site{"before": plainServer, "pipe": pipeServer} {
		b.Run("code="+name, func(b *testing.B) {
			handled := make(chan time.Time, 1)
			cal := server(b, http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
				if req.URL.Path == "/read/slow" {
					time.Sleep(20 * time.Millisecond)
				} else {
					handled <- time.Now()
				}
				page(wrt, req)
			})).dial()
			_ = cal.SetDeadline(time.Time{})
			sum := time.Duration(0)
			for range b.N {
				begin := time.Now()
				cal.send(get("/read/slow") + get("/read/a"))
				sum += (<-handled).Sub(begin)
				for range 2 {
					cal.answer()
				}
			}
			b.ReportMetric(float64(sum.Microseconds())/float64(b.N), "us-until-handled")
		})
	}
}
