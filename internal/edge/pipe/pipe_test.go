package pipe_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"cardamompass/internal/edge/pipe"
)

// Guards against responses out of order and against requests that wait for others without need, whether they arrive in one piece or
// while the first runs.
func TestOrder(t *testing.T) {
	for _, pieces := range []bool{false, true} {
		t.Run(fmt.Sprintf("in pieces: %v", pieces), func(t *testing.T) {
			sit := newSite(t, nil, pipe.Config{})
			cal := sit.dial()
			texts := []string{get("/read/slow-0"), get("/read/1"), get("/read/slow-2"), get("/read/3")}
			if pieces {
				cal.send(texts[0])
				sit.expect(sit.begun, "GET /read/slow-0")
				for _, chr := range strings.Join(texts[1:], "") {
					cal.send(string(chr))
				}
			} else {
				cal.send(strings.Join(texts, ""))
				sit.expect(sit.begun, "GET /read/slow-0")
			}
			sit.expect(sit.begun, "GET /read/1", "GET /read/slow-2", "GET /read/3")
			sit.release("/read/slow-2")
			sit.release("/read/slow-0")
			cal.expect("GET /read/slow-0 ", "GET /read/1 ", "GET /read/slow-2 ", "GET /read/3 ")
			cal.send(get("/read/4"))
			cal.expect("GET /read/4 ")
			if sit.counter("pipelined-connections") != 1 || sit.counter("requests-ahead") < 3 {
				t.Errorf("counters: %v", sit.scope.Snapshot().Counters())
			}
			cal.Close()
			eventually(t, "the connection ends", func() bool { return sit.pipe.Stats() == pipe.Stats{} })
		})
	}
}

// Guards against a connection that is taken over although its caller never pipelines.
func TestOneAtATime(t *testing.T) {
	sit := newSite(t, nil, pipe.Config{})
	cal := sit.dial()
	for num := range 200 {
		switch num % 3 {
		case 0:
			cal.send(post("/read/p", "text"))
			cal.expect("POST /read/p text")
		default:
			cal.send(get("/read/a"))
			cal.expect("GET /read/a ")
		}
	}
	if count := sit.counter("pipelined-connections"); count != 0 {
		t.Fatalf("%d connections taken over", count)
	}
}

// Guards against requests that run beside one that must run alone, and against bodies that are taken for requests.
func TestBarrier(t *testing.T) {
	bodies := map[string]string{
		"length":  post("/read/slow-b", get("/read/x")),
		"chunked": "POST /read/slow-b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1b\r\n" + get("/read/x")[:27] + "\r\n0\r\n\r\n",
		"none":    get("/write/slow-b"),
	}
	for name, text := range bodies {
		t.Run(name, func(t *testing.T) {
			sit := newSite(t, nil, pipe.Config{})
			cal := sit.takeOver()
			cal.send(text + get("/read/1") + get("/read/2"))
			sit.expectNone(sit.begun)
			sit.release("/read/slow-0")
			begin := <-sit.begun
			sit.expectNone(sit.begun)
			path := strings.Fields(begin)[1]
			sit.release(path)
			sit.expect(sit.begun, "GET /read/1", "GET /read/2")
			cal.expect("GET /read/slow-0 ", "GET /read/0 ")
			if _, body, _ := cal.answer(); !strings.HasPrefix(body, begin) {
				t.Fatalf("got %q", body)
			}
			cal.expect("GET /read/1 ", "GET /read/2 ")
		})
	}
}

// Guards against more requests in progress than the bounds permit, against requests that are lost at a bound, and against connections that
// wait for ever.
func TestBounds(t *testing.T) {
	const count = 12
	configs := map[string]struct {
		pipe.Config
		running int // of the requests of two connections
	}{
		"requests of a connection": {pipe.Config{MaxRequests: 3}, 6},
		"bytes of a connection":    {pipe.Config{MaxBytes: 2 * len(get("/read/slow-00"))}, 6},
		"requests of the VM":       {pipe.Config{MaxVMRequests: 3}, 5},
		"bytes of the VM":          {pipe.Config{MaxVMBytes: 2 * len(get("/read/slow-00"))}, 4},
	}
	for name, cfg := range configs {
		t.Run(name, func(t *testing.T) {
			sit := newSite(t, nil, cfg.Config)
			callers := []*caller{sit.dial(), sit.dial()}
			for _, cal := range callers {
				for num := range count {
					cal.send(get(fmt.Sprintf("/read/slow-%02d", num)))
				}
			}
			eventually(t, "requests run", func() bool { return len(sit.begun) >= cfg.running })
			time.Sleep(quiet)
			if running := len(sit.begun); running > cfg.running+1 || sit.counter("pipeline-pauses") == 0 {
				t.Fatalf("%d requests run, want %d; %d pauses", running, cfg.running, sit.counter("pipeline-pauses"))
			}
			for num := range count {
				sit.release(fmt.Sprintf("/read/slow-%02d", num))
			}
			for _, cal := range callers {
				for num := range count {
					cal.expect(fmt.Sprintf("GET /read/slow-%02d ", num))
				}
			}
			// A caller may have a response before its request is removed.
			eventually(t, "no request counts as ahead", func() bool { return sit.pipe.Stats().Ahead == 0 })
		})
	}
}

// Guards against requests that are dispatched behind a response that closes the connection, and against requests before it that are not
// answered as a whole.
func TestClosingResponses(t *testing.T) {
	tests := []struct {
		name, text string
		begun      []string
		bodies     []string
	}{
		{
			"the caller asks for it", "GET /read/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/read/2"),
			[]string{"GET /read/1"},
			[]string{"GET /read/1 "},
		},
		{
			"HTTP/1.0", get("/read/1") + "GET /read/2 HTTP/1.0\r\n\r\n" + get("/read/3"),
			[]string{"GET /read/1"},
			[]string{"GET /read/1 ", "GET /read/2 "},
		},
		{
			"malformed", get("/read/1") + "GARBAGE\r\n\r\n" + get("/read/2"),
			[]string{"GET /read/1"},
			[]string{"GET /read/1 ", "400 Bad Request"},
		},
		{
			"long header", get("/read/1") + "GET /read/2 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n",
			[]string{"GET /read/1"},
			[]string{"GET /read/1 ", "431 Request Header Fields Too Large"},
		},
		{
			"two kinds of length", get("/read/1") + "POST /read/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"0\r\n\r\n" + get("/read/3"),
			[]string{"GET /read/1"},
			[]string{"GET /read/1 ", "POST /read/2 "},
		},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			sit := newSite(t, nil, pipe.Config{})
			cal := sit.takeOver()
			cal.send(tst.text)
			sit.expect(sit.begun, tst.begun...)
			sit.expectNone(sit.begun)
			sit.release("/read/slow-0")
			cal.expect("GET /read/slow-0 ", "GET /read/0 ")
			for num, want := range tst.bodies {
				_, body, closes := cal.answer()
				if last := num == len(tst.bodies)-1; body != want || closes != last {
					t.Fatalf("body %q, want %q; the connection closes: %v", body, want, closes)
				}
			}
			cal.expectEnd()
		})
	}
}

// Guards against requests that lose their responses because the handler closes the connection after an earlier one, as during a planned
// stop.
func TestHandlerCloses(t *testing.T) {
	sit := newSite(t, nil, pipe.Config{})
	cal := sit.dial()
	cal.send(get("/read/slow-last") + get("/read/1") + get("/read/slow-2"))
	sit.expect(sit.begun, "GET /read/slow-last", "GET /read/1", "GET /read/slow-2")
	sit.release("/read/slow-last")
	for _, want := range []string{"GET /read/slow-last ", "GET /read/1 "} {
		if _, body, closes := cal.answer(); body != want || closes {
			t.Fatalf("body %q, want %q; the connection closes: %v", body, want, closes)
		}
	}
	cal.send(get("/read/3"))
	sit.expectNone(sit.begun)
	sit.release("/read/slow-2")
	if _, body, closes := cal.answer(); body != "GET /read/slow-2 " || !closes {
		t.Fatalf("body %q, the connection closes: %v", body, closes)
	}
	cal.expectEnd()
}

// Guards against requests that go on after their caller has disconnected: while the loop reads, while it pauses with requests unread, and
// while a request runs alone.
func TestDisconnect(t *testing.T) {
	ends := map[string]func(cal *caller){
		"close": func(cal *caller) { cal.CloseWrite() },
		"reset": func(cal *caller) {
			_ = cal.SetLinger(0)
			cal.Close()
		},
	}
	for name, end := range ends {
		for _, kind := range []string{"reading", "paused", "alone"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				sit := newSite(t, nil, pipe.Config{
					MaxRequests: 3,
				})
				cal := sit.dial()
				cal.send(get("/read/slow-0"))
				sit.expect(sit.begun, "GET /read/slow-0")
				running := []string{"GET /read/slow-0"}
				switch kind {
				case "alone":
					cal.send(get("/write/slow"))
					sit.release("/read/slow-0")
					running = []string{"GET /write/slow"}
				case "paused":
					cal.send(get("/read/slow-1") + get("/read/slow-2") + strings.Repeat(get("/read/x"), 500))
					running = append(running, "GET /read/slow-1", "GET /read/slow-2")
				default:
					cal.send(get("/read/slow-1"))
					running = append(running, "GET /read/slow-1")
				}
				if kind == "alone" {
					sit.expect(sit.begun, running...)
				} else {
					sit.expect(sit.begun, running[1:]...)
				}
				begin := time.Now()
				end(cal)
				sit.expect(sit.ended, running...)
				if ela := time.Since(begin); ela > 400*time.Millisecond {
					t.Errorf("cancelled after %v", ela)
				}
				sit.expectNone(sit.begun)
				eventually(t, "the connection ends", func() bool { return sit.pipe.Stats() == pipe.Stats{} })
			})
		}
	}
}

// Guards against a panic that leaves a caller waiting, or that lets later responses take the place of a missing one.
func TestAbort(t *testing.T) {
	sit := newSite(t, nil, pipe.Config{})
	cal := sit.takeOver()
	cal.send(get("/read/abort") + get("/read/slow-1"))
	sit.expect(sit.begun, "GET /read/abort", "GET /read/slow-1")
	sit.release("/read/slow-0")
	cal.expect("GET /read/slow-0 ", "GET /read/0 ")
	sit.expect(sit.ended, "GET /read/slow-1")
	if rest, _ := io.ReadAll(cal.rdr); len(rest) > 0 {
		t.Fatalf("got %q", rest)
	}
	first := sit.dial()
	first.send(get("/read/slow-abort") + get("/read/1"))
	sit.expect(sit.begun, "GET /read/slow-abort", "GET /read/1")
	sit.release("/read/slow-abort")
	if rest, _ := io.ReadAll(first.rdr); len(rest) > 0 {
		t.Fatalf("got %q", rest)
	}
}

// Guards against a shutdown that cuts requests off, that waits for idle connections, or that returns before the last response.
func TestShutdown(t *testing.T) {
	sit := newSite(t, nil, pipe.Config{})
	idle := sit.takeOver()
	sit.release("/read/slow-0")
	idle.expect("GET /read/slow-0 ", "GET /read/0 ")
	busy := sit.dial()
	busy.send(get("/read/slow-1") + get("/read/1"))
	sit.expect(sit.begun, "GET /read/slow-1", "GET /read/1")
	ended := make(chan error, 1)
	go func() { ended <- sit.pipe.Shutdown(context.Background()) }()
	idle.expectEnd()
	busy.send(get("/read/2"))
	sit.expectNone(sit.begun)
	select {
	case err := <-ended:
		t.Fatalf("shutdown ended before the requests, error %v", err)
	default:
	}
	sit.release("/read/slow-1")
	busy.expect("GET /read/slow-1 ")
	if _, body, closes := busy.answer(); body != "GET /read/1 " || !closes {
		t.Fatalf("body %q, the connection closes: %v", body, closes)
	}
	busy.Close()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	late := sit.dial()
	late.send(get("/read/slow-3") + get("/read/3"))
	sit.expect(sit.begun, "GET /read/slow-3")
	sit.release("/read/slow-3")
	late.expect("GET /read/slow-3 ", "GET /read/3 ")
}

// Guards against requests that wait for each other because the first one of their connection must run alone.
func TestBarrierFirst(t *testing.T) {
	for name, text := range map[string]string{"none": get("/write/0"), "length": post("/write/0", "body")} {
		t.Run(name, func(t *testing.T) {
			sit := newSite(t, nil, pipe.Config{})
			cal := sit.dial()
			cal.send(text + get("/read/slow-1") + get("/read/2"))
			sit.expect(sit.begun, strings.Fields(text)[0]+" /write/0", "GET /read/slow-1", "GET /read/2")
			sit.release("/read/slow-1")
			if _, body, _ := cal.answer(); !strings.Contains(body, "/write/0") {
				t.Fatalf("got %q", body)
			}
			cal.expect("GET /read/slow-1 ", "GET /read/2 ")
		})
	}
}
