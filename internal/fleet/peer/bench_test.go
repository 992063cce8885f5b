package peer_test

import (
	"testing"

	"cardamompass/internal/fleet/peer"
)

// BenchmarkCall measures one call over loopback; both sides run in this process.
func BenchmarkCall(b *testing.B) {
	srv, _ := start(b, peer.ServerConfig{})
	cli := client(b, peer.ClientConfig{})
	args := text{
		Text: "0123456789",
	}
	before := cli.Traffic()
	b.ReportAllocs()
	for b.Loop() {
		if err := cli.Call(b.Context(), srv.Address(), "Echo.Say", args, &text{}); err != nil {
			b.Fatal(err)
		}
	}
	after := cli.Traffic()
	b.ReportMetric(float64(after.BytesIn+after.BytesOut-before.BytesIn-before.BytesOut)/float64(b.N), "wire-B/op")
}
