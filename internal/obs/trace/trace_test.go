package trace_test

import (
	"strings"
	"testing"

	"cardamompass/internal/obs/trace"
)

const logs = `   12.0 vm-1 time=2026-01-24T09:36:00.100Z level=info event="request sent" process=vm-1 request=r-1 second=false target=i-1 rank=0
time=2026-01-24T09:35:59.000Z level=warn event="store lost" process=vm-1 error="connection reset" age=208ms
time=2026-01-24T09:35:59.500Z level=warn event="store lost" process=vm-2 error="connection reset"
time=2026-01-24T09:36:00.300Z level=warn event="request failed" process=vm-1 request=r-1 status=502 took=210ms error="broken: EOF"
time=2026-01-24T09:36:00.200Z level=info event="attempt failed" process=vm-1 request=r-1 target=i-1 kind=broken not-run=false error=EOF
panic: not a line of the log
time=2026-01-24T09:36:00.300Z level=info event="request answered" process=vm-1 request=r-10 status=200
time=2026-01-24T09:36:00.300Z level=info event="hedge not sent" process=vm-1 request=r-11 reason=busy
time=2026-01-24T09:36:00.400Z level=info event="request answered" process=vm-1 request=r-11 status=200 took=310ms hedge=busy
time=2026-01-24T09:36:01.000Z level=warn event="request refused" process=vm-2 request=r-2 reason="the VM stops" store-age=4ms
time=2026-01-24T09:36:01.000Z level=info event="request sent" process=vm-2 request=r-3 second=false target=i-1
time=2026-01-24T09:36:02.000Z level=warn event="request timeout" process=vm-2 request=r-3 allowed=1s
time=2026-01-24T09:36:03.000Z level=info event="request sent" process=vm-2 request=r-4 second=false target=i-1
time=2026-01-24T09:36:08.500Z level=info event="target backs off" process=vm-3 target=i-1 service=s for=2s
time=2026-01-24T09:36:09.000Z level=warn event="request refused" process=vm-3 request=r-5 retry-after=2.3s error="no target of s can be used: {Backoff:1}"
time=2026-01-24T09:36:09.000Z level=info event="request body not read" process=vm-3 request=r-6 error="i/o timeout" length=1000
time=2026-01-24T09:36:09.000Z level=info event="request denied" process=vm-3 request=r-7 path=/a/ status=401 error="unknown key"
`

// Guards against a cause that does not match the lines, and against lines of another request or VM.
func TestCause(t *testing.T) {
	tests := []struct {
		request string
		lines   int
		context int
		cause   string
	}{
		{"r-1", 3, 1, "target i-1 failed after the request was sent (broken: EOF), and it may have run"},
		{"r-2", 1, 1, "refused before a target was chosen: the VM stops"},
		{"r-3", 2, 1, "no answer of target i-1 within the 1s"},
		{"r-4", 1, 0, "no end in these logs"},
		{"r-5", 1, 1, "no target of s can be used: {Backoff:1}; the caller was told to retry after 2.3s"},
		{"r-6", 1, 1, "its body was not received, so that it has not run: i/o timeout"},
		{"r-7", 1, 1, "denied with status 401, and it has not run: unknown key"},
		{"r-10", 1, 1, "answered with 200"},
		{"r-11", 2, 1, "the first target was slow, and no second one was asked: busy"},
		{"r-9", 0, 0, "no line names this request"},
	}
	for _, tst := range tests {
		t.Run(tst.request, func(t *testing.T) {
			half := strings.Index(logs, "panic")
			tml, err := trace.Read(tst.request, strings.NewReader(logs[half:]), strings.NewReader(logs[:half]))
			if err != nil || tml.Unreadable != 1 {
				t.Fatalf("%d unreadable lines, error %v", tml.Unreadable, err)
			}
			if len(tml.Lines) != tst.lines || len(tml.StateChanges) != tst.context || !strings.Contains(tml.Cause(), tst.cause) {
				t.Fatalf("%d lines, %d state changes, cause %q", len(tml.Lines), len(tml.StateChanges), tml.Cause())
			}
			for num := 1; num < len(tml.Lines); num++ {
				if tml.Lines[num].Time.Before(tml.Lines[num-1].Time) {
					t.Fatal("the lines are not sorted by time")
				}
			}
		})
	}
}
