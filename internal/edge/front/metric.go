package front

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"cardamompass"
	"cardamompass/internal/obs/metric"
	"cardamompass/internal/steer/place"
)

// metrics are the counters and histograms of a Front.
type metrics struct {
	scope   tally.Scope
	refused tally.Counter
	// leaving and backoffs count the instances that stated that they leave or that they want no requests for a time.
	leaving  tally.Counter
	backoffs tally.Counter
	// hedgeTime is the time in milliseconds for which second attempts ran beside first ones.
	hedgeTime tally.Counter
	waitMetrics
}

func newMetrics(scp tally.Scope) (met metrics) {
	return metrics{
		scope:       scp,
		refused:     scp.Counter("refused-early"),
		leaving:     scp.Counter("targets-leaving"),
		backoffs:    scp.Counter("target-backoffs"),
		hedgeTime:   scp.Counter("hedge-milliseconds"),
		waitMetrics: newWaitMetrics(scp),
	}
}

func (met metrics) observeRequest(
	rte *cardamompass.Route, priority int, svc cardamompass.ServiceName, outcome string, ela time.Duration,
) {
	scp := met.scope.Tagged(map[string]string{
		"service":    string(svc),
		"priority":   strconv.Itoa(priority),
		"idempotent": strconv.FormatBool(rte.Idempotent),
		"outcome":    outcome,
	})
	scp.Counter("requests").Inc(1)
	scp.Histogram("request-seconds", metric.LatencyBuckets()).RecordDuration(ela)
}

func (met metrics) observeAttempt(res place.Result) {
	met.scope.Tagged(map[string]string{
		"result": res.String(),
	}).Counter("attempts").Inc(1)
}

func (met metrics) observeDenied(reason string) {
	met.scope.Tagged(map[string]string{
		"reason": reason,
	}).Counter("denied").Inc(1)
}

// observeHedge counts a hedge by result: "won", "lost", or the reason why it was not sent.
func (met metrics) observeHedge(result string) {
	met.scope.Tagged(map[string]string{
		"result": result,
	}).Counter("hedges").Inc(1)
}

func formatWeight(weight float64) (text string) { return strconv.FormatFloat(weight, 'g', -1, 64) }
