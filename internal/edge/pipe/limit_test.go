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

// short is a limit of time that a test waits for.
const short = 200 * time.Millisecond

// Guards against limits of time that don't apply to a connection that was taken over, that cut off requests in progress, or that stay as
// they were when the phase began.
func TestTimeLimits(t *testing.T) {
	t.Run("header", func(t *testing.T) {
		sit := newSite(t, nil, pipe.Config{})
		cal := sit.takeOver()
		cal.send(get("/read/1")[:20])
		lim := limits
		lim.HeaderTimeout = short
		sit.intake.SetLimits(lim)
		time.Sleep(2 * short)
		cal.send(get("/read/1")[20:])
		sit.release("/read/slow-0")
		cal.expect("GET /read/slow-0 ")
		if _, body, closes := cal.answer(); body != "GET /read/0 " || !closes {
			t.Fatalf("body %q, the connection closes: %v", body, closes)
		}
		cal.expectEnd()
		sit.expectNone(sit.begun)
	})
	t.Run("idle", func(t *testing.T) {
		sit := newSite(t, nil, pipe.Config{})
		cal := sit.takeOver()
		lim := limits
		lim.IdleTimeout, lim.HeaderTimeout = short, short
		sit.intake.SetLimits(lim)
		time.Sleep(2 * short)
		sit.release("/read/slow-0")
		cal.expect("GET /read/slow-0 ", "GET /read/0 ")
		begin := time.Now()
		cal.expectEnd()
		if ela := time.Since(begin); ela < short/2 || ela > 10*short {
			t.Errorf("closed after %v", ela)
		}
	})
	t.Run("body", func(t *testing.T) {
		sit := newSite(t, nil, pipe.Config{})
		cal := sit.takeOver()
		sit.release("/read/slow-0")
		lim := limits
		lim.IdleTimeout, lim.HeaderTimeout = short, short
		sit.intake.SetLimits(lim)
		text := post("/write/a", "0123456789")
		cal.send(text[:len(text)-9])
		for _, chr := range text[len(text)-9:] {
			time.Sleep(short / 4)
			cal.send(string(chr))
		}
		cal.expect("GET /read/slow-0 ", "GET /read/0 ", "POST /write/a 0123456789")
	})
}

// Guards against a changed limit of the header that does not apply to a connection that was taken over.
func TestHeaderLimitChanges(t *testing.T) {
	sit := newSite(t, nil, pipe.Config{})
	cal := sit.takeOver()
	sit.release("/read/slow-0")
	cal.expect("GET /read/slow-0 ", "GET /read/0 ")
	long := "GET /read/1 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n"
	lim := limits
	lim.MaxHeaderBytes = 30000
	sit.intake.SetLimits(lim)
	cal.send(long)
	cal.expect("GET /read/1 ")
	sit.intake.SetLimits(limits)
	cal.send(long)
	if status, _, closes := cal.answer(); status != http.StatusRequestHeaderFieldsTooLarge || !closes {
		t.Fatalf("status %d, the connection closes: %v", status, closes)
	}
	cal.expectEnd()
}

// Guards against a caller that is asked to continue before the requests before are answered, and against an upload that is cut.
func TestExpect(t *testing.T) {
	sit := newSite(t, nil, pipe.Config{})
	cal := sit.takeOver()
	body := strings.Repeat("0123456789\n", 40000)
	cal.send(fmt.Sprintf("POST /write/a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(body)))
	sit.expectNone(sit.begun)
	sit.release("/read/slow-0")
	cal.expect("GET /read/slow-0 ", "GET /read/0 ")
	if rsp, err := http.ReadResponse(cal.rdr, nil); err != nil || rsp.StatusCode != http.StatusContinue {
		t.Fatalf("%v, error %v", rsp, err)
	}
	cal.send(body + get("/read/1"))
	cal.expect("POST /write/a "+body, "GET /read/1 ")
}

// sized answers with a body of the length in the query, at once. Paths with "slow" wait.
func (sit *site) sized(wrt http.ResponseWriter, req *http.Request) {
	length := 0
	_, _ = fmt.Sscan(req.URL.RawQuery, &length)
	if strings.Contains(req.URL.Path, "slow") {
		select {
		case <-sit.gate(req.URL.Path):
		case <-req.Context().Done():
			return
		}
	}
	sit.begun <- req.URL.Path
	wrt.Header().Set("Content-Length", fmt.Sprint(length))
	_, err := wrt.Write(bytes.Repeat([]byte("x"), length))
	if err != nil {
		sit.ended <- req.URL.Path
	}
}

func newSizedSite(t *testing.T, cfg pipe.Config) (sit *site) {
	t.Helper()
	return newSite(t, http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) { sit.sized(wrt, req) }), cfg)
}

// Guards against callers that read nothing and keep their connection and what is held for them.
func TestCallerThatReadsNothing(t *testing.T) {
	sit := newSizedSite(t, pipe.Config{
		WriteTimeout: short,
	})
	cal := sit.dial()
	cal.send(strings.Repeat(get("/read/a?9000000"), 4))
	eventually(t, "responses are held", func() bool { return sit.pipe.Stats().Held > 9000000 })
	eventually(t, "the caller is cut", func() bool { return sit.pipe.Stats() == pipe.Stats{} })
}

// Guards against a slow caller that is cut although it goes on reading, and against responses that are cut because they are longer than
// the memory.
func TestCallerThatReadsSlowly(t *testing.T) {
	const length = 3 << 20
	sit := newSizedSite(t, pipe.Config{
		WriteTimeout: 5 * short, // shorter than a response takes, longer than TCP needs after its window was closed
		Memory:       1 << 20,
	})
	cal := sit.dial()
	_ = cal.SetReadBuffer(32 << 10)
	cal.send(get("/read/slow-0?1") + strings.Repeat(get(fmt.Sprintf("/read/a?%d", length)), 2))
	sit.expect(sit.begun, "/read/a", "/read/a")
	sit.release("/read/slow-0")
	for _, want := range []int{1, length, length} {
		rsp, err := http.ReadResponse(cal.rdr, nil)
		if err != nil {
			t.Fatal(err)
		}
		got := 0
		for buf := make([]byte, 256<<10); err == nil; {
			num := 0
			num, err = io.ReadFull(rsp.Body, buf)
			got += num
			time.Sleep(short / 3)
		}
		if got != want {
			t.Fatalf("%d bytes of %d, error %v", got, want, err)
		}
	}
	if held := sit.pipe.Stats().Held; held > 1<<20 {
		t.Errorf("%d bytes are held", held)
	}
}

// Guards against memory that callers take from others: those that hold most are disconnected, the others are served.
func TestMemoryIsFull(t *testing.T) {
	sit := newSizedSite(t, pipe.Config{
		Memory: 1 << 20,
	})
	callers := make([]*caller, 0, 3)
	for num, count := range []int{15, 8, 1} { // requests of 60 kB that are held behind the first one
		cal := sit.dial()
		cal.send(get("/read/slow-0?1") + strings.Repeat(get(fmt.Sprintf("/read/%d?60000", num)), count))
		for range count {
			sit.expect(sit.begun, fmt.Sprintf("/read/%d", num))
		}
		callers = append(callers, cal)
	}
	eventually(t, "a caller is cut", func() bool { return sit.counter("slow-callers-cut") > 0 })
	if rest, _ := io.ReadAll(callers[0].rdr); len(rest) > 0 {
		t.Errorf("the first caller got %d bytes", len(rest))
	}
	sit.release("/read/slow-0")
	for num, count := range []int{8, 1} {
		for range count + 1 {
			if status, _, _ := callers[num+1].answer(); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
		}
	}
	if cuts := sit.counter("slow-callers-cut"); cuts != 1 {
		t.Errorf("%d callers cut", cuts)
	}
}

// Guards against a timeout that counts from when the requests before were answered.
func TestReadTime(t *testing.T) {
	times := make(chan time.Time, 1)
	var sit *site
	sit = newSite(t, http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		if early, ok := wrt.(interface{ ReadTime() time.Time }); ok && strings.HasPrefix(req.URL.Path, "/write/") {
			times <- early.ReadTime()
		}
		sit.serve(wrt, req)
	}), pipe.Config{})
	cal := sit.takeOver()
	before := time.Now()
	cal.send(get("/write/1"))
	time.Sleep(2 * short)
	sit.release("/read/slow-0")
	if read := <-times; read.Before(before) || read.Sub(before) > short {
		t.Fatalf("read %v after it was sent", read.Sub(before))
	}
	cal.expect("GET /read/slow-0 ", "GET /read/0 ", "GET /write/1 ")
}
