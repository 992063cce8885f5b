package users_test

import (
	"net/http"
	"testing"
	"time"

	"cardamompass/internal/stand/ptarg"
)

// Guards against answers of entry VMs that are not those of a target, and against refusals of requests that ran, while targets send
// responses with malformed heads.
func TestMalformedHeads(t *testing.T) {
	const (
		fields = "Request-Id: {id}\r\nResponse-Seal: seal-{id}\r\n"
		body   = "Content-Length: 5\r\n\r\nhello"
	)
	tfl := newTestFleet(t, 3, 9)
	for num, text := range []string{
		"HTTP/1.1 000 None\r\n" + fields + body,
		"HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + body,
		"HTTP/1.1 700 High\r\n" + fields + body,
		"HTTP/1.1 200 OK\r\n" + fields + "Bad Name: x\r\n" + body,
		"HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + fields + "X-A: 1\r\n Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 503 Full\r\n" + fields + "Not-Executed: 1\r\nBad Name: x\r\n" + body,
		"HTTP/1.1 200 OK\r\n" + fields + "Bad\x01Name: x\r\n" + body,
	} {
		tfl.Targets[num].SetRaw(ptarg.RawResponse{
			Text: text,
		})
	}
	stop := tfl.startLoad()
	time.Sleep(4 * time.Second)
	stop()
	count := tfl.check()
	t.Logf("responses by status: %v", count)
	if count[http.StatusOK] == 0 || count[http.StatusBadGateway] == 0 {
		t.Errorf("responses by status: %v", count)
	}
}
