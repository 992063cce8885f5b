// Package metric creates the tally scope of a process and the page from which its metrics are scraped.
package metric

import (
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally reports its values to the scrape page.
const reportInterval = time.Second

// Config configures the metrics of a process.
type Config struct {
	// Tags are added to every metric, for example the VM's id and region.
	Tags map[string]string
}

// Metrics is the scope of a process and its scrape page. It is safe for concurrent use.
type Metrics struct {
	scope tally.Scope
	page  http.Handler
}

// New returns the metrics of a process and a function that stops reporting.
func New(cfg Config) (mtr *Metrics, cleanup func()) {
	reg := client.NewRegistry()
	rep := prometheus.NewReporter(prometheus.Options{
		Registerer:       reg,
		Gatherer:         reg,
		DefaultTimerType: prometheus.HistogramTimerType,
		// A metric that can't be registered is missing from the page; it must not end the process.
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "cardamompass",
		Tags:            cfg.Tags,
		CachedReporter:  rep,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: sanitizeOptions(),
	}, reportInterval)
	mtr = &Metrics{
		scope: scope,
		page:  rep.HTTPHandler(),
	}
	return mtr, func() { _ = closer.Close() }
}

// sanitizeOptions returns options that replace hyphens in names, which Prometheus does not allow, and keep them in tag
// values, together with the characters "/", ":", "_" and ".".
func sanitizeOptions() *tally.SanitizeOptions {
	opts := prometheus.DefaultSanitizerOpts
	opts.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: append([]rune{'/', ':'}, tally.UnderscoreDashDotCharacters...),
	}
	return &opts
}

// Scope returns the root scope.
func (mtr *Metrics) Scope() tally.Scope { return mtr.scope }

// Handler returns the handler of the scrape page.
func (mtr *Metrics) Handler() http.Handler { return mtr.page }

// LatencyBuckets returns the bucket bounds of latency histograms, from 0.25 ms to about 33 s.
func LatencyBuckets() tally.Buckets {
	const (
		start  = 250 * time.Microsecond
		factor = 2
		count  = 18
	)
	return tally.MustMakeExponentialDurationBuckets(start, factor, count)
}
