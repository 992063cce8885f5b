package front_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamompass/internal/edge/front"
)

// Guards against sending the requests of callers that disconnected before a busy VM read them. The run 'compaction-evacuation-cold
// --vary --seed 449270980358' on martban-net-grown broke the rule GONE with 7 such requests.
func TestCallersThatLeftBeforeTheirRequestWasRead(t *testing.T) {
	const callers = 60
	fxt := newFixture(t, 3)
	var cfg net.ListenConfig
	lsn, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for num := range callers {
		con, err := net.Dial("tcp", lsn.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		path := []string{"/read/a", "/write/a"}[num%2]
		text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-%d\r\nTimeout-Ms: 3000\r\n\r\n", path, num)
		if _, err = con.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		con.Close()
	}
	srv := &http.Server{
		Handler:           fxt.front,
		ConnContext:       front.ConnContext,
		ReadHeaderTimeout: time.Second,
	}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(lsn) }() // starts after the callers have disconnected, like a VM that was busy
	t.Cleanup(func() {
		srv.Close()
		<-ended
	})
	time.Sleep(500 * time.Millisecond)
	if runs := fxt.runs(); runs > 0 {
		t.Fatalf("%d of %d requests ran after their callers had disconnected", runs, callers)
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+lsn.Addr().String()+"/read/a", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", "r-stays")
	rsp, err := http.DefaultClient.Do(req)
	if err != nil || rsp.StatusCode != http.StatusOK || !strings.HasPrefix(rsp.Proto, "HTTP/1.1") {
		t.Fatalf("a caller that stays connected got %v, error %v", rsp, err)
	}
	rsp.Body.Close()
}
