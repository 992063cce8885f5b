package front

import (
	"net/http"
	"time"

	"cardamompass"
	"cardamompass/internal/steer/budget"
	"cardamompass/internal/steer/hedge"
	"cardamompass/internal/steer/place"
)

// Fingerprint returns the fingerprint of a request with the given body.
func (frt *Front) Fingerprint(req *http.Request, body []byte) (text string) {
	received := req.Clone(req.Context())
	received.RequestURI = req.URL.RequestURI()
	return fingerprint(received, frt.cfg.Protocol.ParseRequest(req.Header), body)
}

// EndAttempt records the end of an attempt for the waiting requests.
func (frt *Front) EndAttempt(svc cardamompass.ServiceName) {
	frt.waits.recordEnd(svc, place.ResultAnswered)
}

// Weight returns the weight of a team, nil for a public route, among the waiting requests of a priority.
func Weight(tbl *cardamompass.RoutingTable, tea *cardamompass.Team, priority int) (share float64) {
	return weight(tbl, tea, priority)
}

// WaitCrashChecks waits until all checks of broken connections have ended.
func (frt *Front) WaitCrashChecks() { frt.crashChecks.Wait() }

// MaxLoad returns the load at which a target counts as full for requests of a priority.
func MaxLoad(tbl *cardamompass.RoutingTable, priority int) (limit float64) {
	return maxLoad(tbl, priority)
}

// TakeHedges sends hedges after a number of requests until one is rejected. It returns their number, the reason, and the share that is
// counted.
func TakeHedges(requests, percent int, bud *budget.Budget, now time.Time) (taken int, rsn hedge.Reason, share float64) {
	hds := newHedges()
	for range requests {
		hds.limit.Request(percent, now)
	}
	for rsn = hds.take(percent, bud, now); rsn == hedge.Allowed; rsn = hds.take(percent, bud, now) {
		taken++
	}
	return taken, rsn, hds.limit.Share(now)
}
