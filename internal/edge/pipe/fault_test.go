package pipe_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamompass/internal/edge/pipe"
)

// Guards against a first response that waits for ever for its own turn, because there is no memory to hold it.
func TestFirstResponseWithoutMemory(t *testing.T) {
	const length = 3 << 20
	sit := newSizedSite(t, pipe.Config{
		Memory: 1 << 20,
	})
	cal := sit.dial()
	cal.send(get(fmt.Sprintf("/read/slow-0?%d", length)) + get("/read/1?1"))
	sit.expect(sit.begun, "/read/1")
	sit.release("/read/slow-0")
	for _, want := range []int{length, 1} {
		if status, body, _ := cal.answer(); status != http.StatusOK || len(body) != want {
			t.Fatalf("status %d, %d bytes of %d", status, len(body), want)
		}
	}
}

// Guards against a response that is cut because its caller has ended its own side while it reads the response, which net/http permits.
func TestHalfClosedWhileReading(t *testing.T) {
	const length = 9 << 20
	for name, limit := range map[string]int{"one": 1, "pipelined": 2} {
		t.Run(name, func(t *testing.T) {
			sit := newSizedSite(t, pipe.Config{})
			cal := sit.dial()
			_ = cal.SetReadBuffer(32 << 10)
			text := get(fmt.Sprintf("/read/slow-0?%d", length))
			if limit > 1 {
				text += get("/read/1?1")
			}
			cal.send(text)
			if limit > 1 {
				sit.expect(sit.begun, "/read/1")
			}
			sit.release("/read/slow-0")
			if _, err := cal.rdr.Peek(1); err != nil {
				t.Fatal(err)
			}
			_ = cal.CloseWrite()
			time.Sleep(quiet)
			for num := range limit {
				want := length
				if num > 0 {
					want = 1
				}
				rsp, err := http.ReadResponse(cal.rdr, nil)
				if err != nil {
					t.Fatal(err)
				}
				if body, err := io.ReadAll(rsp.Body); err != nil || len(body) != want {
					t.Fatalf("%d bytes of %d, error %v", len(body), want, err)
				}
			}
		})
	}
}

// Guards against a request that is dispatched although the connection ends before its response, because one before it has failed.
func TestNothingBehindFailure(t *testing.T) {
	sit := newSite(t, nil, pipe.Config{})
	cal := sit.takeOver()
	cal.send(get("/read/abort"))
	sit.expect(sit.begun, "GET /read/abort")
	time.Sleep(quiet)
	cal.send(get("/read/1"))
	sit.expectNone(sit.begun)
	sit.release("/read/slow-0")
	cal.expect("GET /read/slow-0 ", "GET /read/0 ")
	if rest, _ := io.ReadAll(cal.rdr); strings.TrimSpace(string(rest)) != "" {
		t.Fatalf("got %q", rest)
	}
}

// Guards against a connection that is reset, with the responses on their way, because it is closed while requests of a caller that has
// ended its side are unread.
func TestHalfClosedWithUnreadRequests(t *testing.T) {
	sit := newSizedSite(t, pipe.Config{})
	for range 200 {
		cal := sit.dial()
		cal.send(get("/read/a?100000") + get("/read/a?100000") + strings.Repeat(get("/write/a?10"), 300))
		_ = cal.CloseWrite()
		if _, err := io.Copy(io.Discard, cal.rdr); err != nil {
			t.Fatal(err)
		}
		cal.Close()
		for len(sit.begun) > 0 {
			<-sit.begun
		}
	}
}

// Guards against a caller that is cut for a response that does not fit into the memory even without the caller.
func TestNoCutInVain(t *testing.T) {
	sit := newSizedSite(t, pipe.Config{
		MaxRequests: 40,
		Memory:      1 << 20,
	})
	many := sit.dial()
	many.send(get("/read/slow-0?1") + strings.Repeat(get("/read/a?32000"), 30))
	for range 30 {
		sit.expect(sit.begun, "/read/a")
	}
	eventually(t, "responses are held", func() bool { return sit.pipe.Stats().Held == 30*32000 })
	long := sit.dial()
	long.send(get("/read/slow-1?600000") + get("/read/b?1"))
	sit.expect(sit.begun, "/read/b")
	sit.release("/read/slow-1")
	if _, body, _ := long.answer(); len(body) != 600000 {
		t.Errorf("got %d bytes", len(body))
	}
	if cuts := sit.counter("slow-callers-cut"); cuts != 0 {
		t.Errorf("%d callers cut", cuts)
	}
}
