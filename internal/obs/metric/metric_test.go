package metric_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cardamompass/internal/obs/metric"
)

// Guards against a metric that the code updates and the scrape page leaves out: the names are those of the entry VM.
func TestAllMetricsOnPage(t *testing.T) {
	mtr, stop := metric.New(metric.Config{
		Tags: map[string]string{"vm": "vm-1"},
	})
	scp := mtr.Scope()
	scp.Counter("requests").Inc(1)
	scp.Gauge("catalogue-version").Update(7)
	scp.Histogram("request-latency", metric.LatencyBuckets()).RecordDuration(time.Millisecond)
	stop() // reports once more
	rec := httptest.NewRecorder()
	mtr.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	page := rec.Body.String()
	for _, name := range []string{"cardamompass_requests", "cardamompass_catalogue_version", "cardamompass_request_latency"} {
		if !strings.Contains(page, name) {
			t.Errorf("%s is missing from the page:\n%s", name, page)
		}
	}
}
