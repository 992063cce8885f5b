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

func BenchmarkDecide(b *testing.B) {
	snp := newSnapshot(newTracker(20, nil), 17, epoch, route.Snapshot{})
	var dec route.Decision
	req := route.Request{CallerRegion: "gulf"}
	b.ReportAllocs()
	for b.Loop() {
		dec = route.Decide(&snp, &req, dec)
	}
}
