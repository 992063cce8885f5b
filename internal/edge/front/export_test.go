package front

import "net/http"

// Fingerprint is the fingerprint of a request with a body.
func (frt *Front) Fingerprint(req *http.Request, body []byte) (text string) {
	seen := req.Clone(req.Context())
	seen.RequestURI = req.URL.RequestURI()
	return fingerprint(seen, frt.cfg.Protocol.ParseRequest(req.Header), body)
}

// Wait waits for the checks of broken connections.
func (frt *Front) Wait() { frt.checks.Wait() }
