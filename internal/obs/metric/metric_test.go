package metric_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cardamompass/internal/obs/metric"
)

// Guards against a metric that is updated but missing from the scrape page. The names are metrics of the entry VM.
func TestAllMetricsOnPage(t *testing.T) {
	mtr, cleanup := metric.New(metric.Config{
		Tags: map[string]string{"vm": "vm-1"},
	})
	scp := mtr.Scope()
	scp.Counter("requests").Inc(1)
	scp.Gauge("catalogue-version").Update(7)
	scp.Histogram("request-latency", metric.LatencyBuckets()).RecordDuration(time.Millisecond)
	cleanup() // reports the last values
	rec := httptest.NewRecorder()
	mtr.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	page := rec.Body.String()
	for _, name := range []string{"cardamompass_requests", "cardamompass_catalogue_version", "cardamompass_request_latency"} {
		if !strings.Contains(page, name) {
			t.Errorf("%s is missing from the page:\n%s", name, page)
		}
	}
}
