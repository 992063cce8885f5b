package health_test

import (
	"testing"
	"time"

	"cardamompass/internal/steer/health"
	"cardamompass/internal/steer/route"
)

func BenchmarkBeginDone(b *testing.B) {
	trk := newTracker(20, nil)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		trk.Done(trk.Begin("core-7", now), now, health.Answered)
	}
}

// BenchmarkRequestPath is a snapshot, a decision, and the begin and end of a request.
func BenchmarkRequestPath(b *testing.B) {
	trk := newTracker(20, nil)
	var snp route.Snapshot
	var dec route.Decision
	req := route.Request{
		CallerRegion: "gulf",
	}
	b.ReportAllocs()
	for b.Loop() {
		snp = snapshot(trk, 17, epoch, snp)
		dec = route.Decide(&snp, &req, dec)
		cnd, _ := dec.Best()
		tok, _ := trk.BeginWithin(&cnd, epoch)
		trk.Done(tok, epoch, health.Answered)
	}
}
