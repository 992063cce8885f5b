package kvhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cardamompass"
)

// resettingStore answers the head of each request with text, resets the connection with the rest of the request unread, and returns its
// address.
func resettingStore(t *testing.T, text string) (address string) {
	t.Helper()
	lsn, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			con, err := lsn.AcceptTCP()
			if err != nil {
				return
			}
			if _, err = http.ReadRequest(bufio.NewReader(con)); err == nil {
				_, _ = io.WriteString(con, text)
			}
			_ = con.SetLinger(0)
			_ = con.Close()
		}
	}()
	t.Cleanup(func() {
		lsn.Close()
		<-done
	})
	return lsn.Addr().String()
}

// Guards against believing that a write had no effect, on the word of a response that was broken off while the write was being sent.
func TestPartOfEarlyRefusal(t *testing.T) {
	const writes = 100 // a read or a write of the connection gets the report of the reset
	for _, status := range []string{"400 Bad", "413 Long", "429 Busy"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			kst := client(t, resettingStore(t, "HTTP/1.1 "+status+"\r\n\r\n{\"err"), 10*time.Second)
			data := make([]byte, cardamompass.MaxValueBytes)
			for num := range writes {
				if _, err := kst.Put(context.Background(), "k", data, 0); kind(err) != "unknown" {
					t.Fatalf("write %d: %v is %s, want unknown", num, err, kind(err))
				}
			}
		})
	}
}

// Guards against taking the part of a response for the whole when the store has closed the connection within it.
func TestPartOfResponse(t *testing.T) {
	for _, body := range []string{"", "{", `{"key":"k","value":"dg==","revision":1,"id":"l","ttl-ms":1000,"remaining-ms":1000`} {
		kst := client(t, serve(t, http.HandlerFunc(func(rsw http.ResponseWriter, _ *http.Request) {
			con, _, err := http.NewResponseController(rsw).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer con.Close()
			_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\n\r\n"+body)
		})), 10*time.Second)
		ctx := context.Background()
		if _, err := kst.Put(ctx, "k", []byte("v"), 0); kind(err) != "unknown" {
			t.Errorf("body %q: Put: %v is %s, want unknown", body, err, kind(err))
		}
		if _, err := kst.Renew(ctx, "l"); kind(err) != "unknown" {
			t.Errorf("body %q: Renew: %v is %s, want unknown", body, err, kind(err))
		}
		if _, err := kst.Get(ctx, "k"); kind(err) != "plain" {
			t.Errorf("body %q: Get: %v is %s, want plain", body, err, kind(err))
		}
	}
}
