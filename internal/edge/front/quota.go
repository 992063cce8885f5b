package front

import (
	"net/http"
	"strconv"
	"time"

	"cardamompass"
)

// tokenLife is how long a token of the quota is good for a request that has not been sent, and how long it can be returned. The bound over
// all VMs counts on requests that reach their targets soon after their tokens were taken; see cardamompass.Quota.
const tokenLife = 250 * time.Millisecond

// quotaError reports a request beyond the quota of its team. The request has not run.
type quotaError struct {
	team       cardamompass.TeamName
	retryAfter time.Duration
}

func (err *quotaError) Error() string { return "team " + string(err.team) + " is over its quota" }

// takeToken takes a token of the team's quota for the request, unless it holds one that is still good. A request that has reached a target
// needs none for its retries and hedges.
func (dsp *dispatch) takeToken() (err error) {
	exc := dsp.exc
	if exc.frt.cfg.Quota == nil || exc.team == nil || dsp.sent > 0 {
		return nil
	}
	now := exc.frt.cfg.Clock.Now()
	if !dsp.tokenAt.IsZero() && now.Sub(dsp.tokenAt) < tokenLife {
		return nil
	}
	ok, after := exc.frt.cfg.Quota.Take(exc.team.Name)
	if !ok {
		dsp.tokenAt = time.Time{}
		return &quotaError{
			team:       exc.team.Name,
			retryAfter: after,
		}
	}
	dsp.tokenAt = now
	return nil
}

// returnToken returns the token of a request that has not been sent. A target that refused it has received it, and the quota counts that.
func (dsp *dispatch) returnToken() {
	frt := dsp.exc.frt
	if !dsp.tokenAt.IsZero() && dsp.sent == 0 && frt.cfg.Clock.Now().Sub(dsp.tokenAt) < tokenLife {
		frt.cfg.Quota.Return(dsp.exc.team.Name)
	}
	dsp.tokenAt = time.Time{}
}

// writeOverQuota responds to a request beyond the quota of its team.
func (exc *exchange) writeOverQuota(qta *quotaError) {
	exc.retryAfter = qta.retryAfter
	exc.wrt.Header().Set("Retry-After", strconv.FormatFloat(qta.retryAfter.Seconds(), 'f', 3, 64))
	exc.frt.met.observeDenied("over quota")
	exc.writeError(http.StatusTooManyRequests, "over the quota")
}
