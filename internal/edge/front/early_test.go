package front_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"cardamompass/internal/stand/ptarg"
)

// uploadTo sends a request with a body of the permitted size and returns the response.
func (fxt *fixture) uploadTo(path, id string) (status int, hdr http.Header, body string) {
	fxt.t.Helper()
	req := fxt.request(fxt.t.Context(), path, id)
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBody))), maxBody
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		fxt.t.Fatal(err)
	}
	defer rsp.Body.Close()
	data, err := io.ReadAll(rsp.Body)
	if err != nil {
		fxt.t.Fatal(err)
	}
	return rsp.StatusCode, rsp.Header, string(data)
}

// Guards against handing on the part of an early response that arrived before the target reset the connection.
func TestEarlyResponseIsReset(t *testing.T) {
	const (
		uploads     = 5       // a read or a write gets the report of the reset
		writeBuffer = 4 << 10 // the reset comes while the upload is written
	)
	t.Run("not idempotent", func(t *testing.T) {
		fxt := newFixture(t, 3)
		fxt.writeBuffer = writeBuffer
		fxt.set(ptarg.FaultEarlyReset)
		for num := range uploads {
			status, hdr, body := fxt.uploadTo("/patient/a", fmt.Sprintf("r-%d", num))
			if status != http.StatusBadGateway || hdr.Get("Response-Seal") != "" || fxt.runs() != num+1 {
				t.Fatalf("upload %d: status %d, header %v, body %q after %d runs", num, status, hdr, body, fxt.runs())
			}
		}
		fxt.checkReleased()
	})
	t.Run("idempotent", func(t *testing.T) {
		for num := range uploads {
			fxt := newFixture(t, 2)
			fxt.writeBuffer = writeBuffer
			fxt.uploadTo("/wait/a", "r-0")
			for _, tgt := range fxt.targets {
				if len(tgt.Runs()) > 0 {
					tgt.SetFault(ptarg.FaultEarlyReset) // the target of this object
				}
			}
			status, _, body := fxt.uploadTo("/wait/a", "r-1")
			if status != http.StatusOK || body != ptarg.Body("r-1") || fxt.runs()-1 != 2 {
				t.Fatalf("fixture %d: status %d, body %q after %d runs", num, status, body, fxt.runs()-1)
			}
		}
	})
}

// Guards against rejecting an early response whose end is the close of the connection.
func TestEarlyResponseIsClosed(t *testing.T) {
	for _, path := range []string{"/patient/a", "/wait/a"} {
		fxt := newFixture(t, 3)
		fxt.set(ptarg.FaultEarlyClose)
		for num := range 10 {
			id := fmt.Sprintf("r-%d", num)
			status, hdr, body := fxt.uploadTo(path, id)
			if status != http.StatusOK || body != ptarg.Body(id) || hdr.Get("Response-Seal") != "seal-"+id || fxt.runs() != num+1 {
				t.Fatalf("%s, upload %d: status %d, header %v, body %q after %d runs", path, num, status, hdr, body, fxt.runs())
			}
		}
		fxt.checkReleased()
	}
}
