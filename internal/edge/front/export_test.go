package front

import (
	"net/http"

	"cardamompass"
)

// Fingerprint returns the fingerprint of a request with the given body.
func (frt *Front) Fingerprint(req *http.Request, body []byte) (text string) {
	received := req.Clone(req.Context())
	received.RequestURI = req.URL.RequestURI()
	return fingerprint(received, frt.cfg.Protocol.ParseRequest(req.Header), body)
}

// WaitCrashChecks waits until all checks of broken connections have ended.
func (frt *Front) WaitCrashChecks() { frt.crashChecks.Wait() }

// MaxLoad returns the load at which a target counts as full for requests of a priority.
func MaxLoad(tbl *cardamompass.RoutingTable, priority int) (limit float64) {
	return maxLoad(tbl, priority)
}
