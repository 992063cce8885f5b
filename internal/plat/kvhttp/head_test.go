package kvhttp_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// Guards against believing a response of the store with a malformed head: that a write took effect or had none, or what a key holds.
func TestMalformedHead(t *testing.T) {
	const bad = "Bad Name: x\r\n"
	value := `{"key":"k","value":"dg==","revision":1,"id":"l","ttl-ms":1000,"remaining-ms":1000}`
	tests := []struct {
		name string
		head string
		body string
	}{
		{name: "status 000", head: "HTTP/1.1 000 None\r\n", body: value},
		{name: "status 600", head: "HTTP/1.1 600 High\r\n", body: value},
		{name: "blank in the name of a value", head: "HTTP/1.1 200 OK\r\n" + bad, body: value},
		{name: "blank in the name of a missing key", head: "HTTP/1.1 404 Not Found\r\n" + bad, body: `{"error":"not-found"}`},
		{name: "blank in the name of a conflict", head: "HTTP/1.1 412 Conflict\r\n" + bad, body: `{"error":"conflict","revision":7}`},
		{name: "blank in the name of a refusal", head: "HTTP/1.1 429 Busy\r\n" + bad, body: "{}"},
		{name: "control byte in a name", head: "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n", body: value},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			kst := client(t, serve(t, http.HandlerFunc(func(rsw http.ResponseWriter, _ *http.Request) {
				con, _, err := http.NewResponseController(rsw).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer con.Close()
				_, _ = io.WriteString(con, tst.head+"Content-Length: "+strconv.Itoa(len(tst.body))+"\r\n\r\n"+tst.body)
			})), 10*time.Second)
			ctx := context.Background()
			_, err := kst.Put(ctx, "k", []byte("v"), 0)
			if kind(err) != "unknown" {
				t.Errorf("Put: %v is %s, want unknown", err, kind(err))
			}
			if _, err = kst.Renew(ctx, "l"); kind(err) != "unknown" {
				t.Errorf("Renew: %v is %s, want unknown", err, kind(err))
			}
			if _, err = kst.Get(ctx, "k"); kind(err) != "plain" {
				t.Errorf("Get: %v is %s, want plain", err, kind(err))
			}
		})
	}
}
