package front

import (
	"net/http"
	"time"
)

// readTimer is implemented by the http.ResponseWriter of a request that may have waited for others of its connection.
type readTimer interface {
	// ReadTime returns when the request was read.
	ReadTime() (now time.Time)
}

// Beside reports whether a request may run while others of its connection run: its route is idempotent, and its response does not close
// the connection.
func (frt *Front) Beside(req *http.Request) (ok bool) {
	tbl := frt.cfg.View().Table
	if tbl == nil || frt.draining.Load() || frt.refusing.Load() {
		return false
	}
	rte, ok := tbl.Match(hostName(req.Host), req.URL.EscapedPath())
	return ok && rte.Idempotent
}
