package front

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
)

// unreadBodyWait is how long a response waits for a body that is not read. net/http discards the body before it sends the response, so that
// the connection can be kept, and closes the connection after the response when the body does not arrive. Without a limit, a caller that
// sends its body slowly gets the response late or never.
const unreadBodyWait = 100 * time.Millisecond

// deniedError reports a request that the routing table does not allow. The request has not run.
type deniedError struct {
	status int
	// reason is the value of a metric tag, so that there are few of them.
	reason string
}

func (err *deniedError) Error() string { return err.reason }

// The reasons of denials.
var (
	errNoRoute    = &deniedError{status: http.StatusNotFound, reason: "no route"}
	errNoKey      = &deniedError{status: http.StatusUnauthorized, reason: "no key"}
	errUnknownKey = &deniedError{status: http.StatusUnauthorized, reason: "unknown key"}
	errNoRegion   = &deniedError{status: http.StatusForbidden, reason: "no region may serve both the team and the route"}
)

// admit finds the route and the team of the request in the current view. If the request is not allowed, it has responded to the caller.
func (exc *exchange) admit() (ok bool) {
	rte, tea, err := exc.check(exc.vew.Table)
	exc.route = rte
	exc.setTeam(tea)
	var den *deniedError
	if !errors.As(err, &den) {
		return true
	}
	fields := []zap.Field{
		zap.String("host", exc.req.Host), zap.String("path", exc.req.URL.Path), zap.Uint64("table", exc.vew.Table.Version),
	}
	if den.status == http.StatusNotFound {
		exc.log.Info("request without route", fields...)
	} else {
		exc.log.Info("request denied", append(fields, zap.Int("status", den.status), zap.Error(den))...)
	}
	exc.writeDenied(den)
	return false
}

// check returns the route and the team of the request according to tbl. The team is nil for a public route and for a table without teams.
func (exc *exchange) check(tbl *cardamompass.RoutingTable) (rte *cardamompass.Route, tea *cardamompass.Team, err error) {
	exc.hasTeams = exc.hasTeams || tbl.HasTeams()
	rte, ok := tbl.Match(hostName(exc.req.Host), exc.req.URL.EscapedPath())
	switch {
	case !ok:
		return nil, nil, errNoRoute
	case !tbl.HasTeams() || rte.Public:
		return rte, nil, nil
	case exc.inf.Key == "":
		return rte, nil, errNoKey
	}
	if tea, ok = tbl.TeamOf(exc.inf.Key); !ok {
		return rte, nil, errUnknownKey
	}
	if !rte.AllowsTeam(tea) {
		return rte, tea, errNoRegion
	}
	return rte, tea, nil
}

// checkAgain repeats the check with the newest table, directly before the request is sent: the key may have been revoked since. The
// request keeps its route and service.
func (exc *exchange) checkAgain() (err error) {
	tbl := exc.frt.cfg.View().Table
	if tbl == exc.vew.Table || !tbl.HasTeams() {
		return nil
	}
	_, tea, err := exc.check(tbl)
	if err == nil {
		exc.setTeam(tea)
	}
	return err
}

func (exc *exchange) setTeam(tea *cardamompass.Team) {
	if tea == exc.team {
		return
	}
	exc.team = tea
	exc.log = exc.frt.requestLog(exc.inf.ID)
	if tea != nil {
		exc.log = exc.log.With(zap.String("team", string(tea.Name)))
	}
}

// requestLog returns the log for the lines of a request.
func (frt *Front) requestLog(id cardamompass.RequestID) (log *zap.Logger) {
	return frt.cfg.Log.With(zap.String("request", string(id)))
}

// writeDenied responds to a request that is not allowed.
func (exc *exchange) writeDenied(den *deniedError) {
	exc.frt.met.observeDenied(den.reason)
	if exc.received.IsZero() && exc.req.Body != http.NoBody {
		end := exc.frt.cfg.Clock.Now().Add(unreadBodyWait)
		_ = http.NewResponseController(exc.wrt).SetReadDeadline(end) // net/http removes it before the next request
	}
	exc.writeError(den.status, den.reason)
}

// priority returns the priority of the request.
func (exc *exchange) priority() (pri int) {
	if exc.team != nil {
		return exc.team.Priority
	}
	return exc.route.Priority
}

// targetTeam returns the team that a target is told; see send.Message. Once a table with teams has applied to the request, its key is
// never forwarded.
func (exc *exchange) targetTeam() (tea *cardamompass.Team) {
	if exc.team == nil && exc.hasTeams {
		return &cardamompass.Team{}
	}
	return exc.team
}
