package ptarg

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// rawTimeout bounds how long the connection of a raw response stays open.
const rawTimeout = 10 * time.Second

// RawResponse is the text that a target sends in place of a response.
type RawResponse struct {
	// Text is sent with each {id} replaced by the ID of the request.
	Text string
	// KeepOpen leaves the connection open until the peer closes it, for 10 s at most.
	KeepOpen bool
}

// SetRaw sets the fault of later requests to FaultRaw and the text of their responses.
func (tgt *Target) SetRaw(raw RawResponse) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.fault, tgt.raw = FaultRaw, raw
}

func (tgt *Target) respondRaw(wrt http.ResponseWriter, id string) {
	tgt.mu.Lock()
	raw := tgt.raw
	tgt.mu.Unlock()
	con, _, err := http.NewResponseController(wrt).Hijack()
	if err != nil {
		return
	}
	defer con.Close() //nolint:errcheck // the connection is not used again
	_, _ = io.WriteString(con, strings.ReplaceAll(raw.Text, "{id}", id))
	if raw.KeepOpen {
		_ = con.SetReadDeadline(time.Now().Add(rawTimeout)) // fails only on a closed connection
		_, _ = io.Copy(io.Discard, con)
	}
}
