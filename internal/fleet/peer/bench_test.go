package peer_test

import (
	"runtime"
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

// BenchmarkConnection measures setting up a connection and its first call, and the memory of an open connection at both
// ends together.
func BenchmarkConnection(b *testing.B) {
	srv, _ := start(b, peer.ServerConfig{})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	clients := 0
	for b.Loop() {
		if clients == 1000 {
			// The server refuses more connections.
			break
		}
		clients++
		cli := client(b, peer.ClientConfig{})
		if err := cli.Call(b.Context(), srv.Address(), "Echo.Say", text{Text: "0123456789"}, &text{}); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := after.HeapInuse + after.StackInuse - before.HeapInuse - before.StackInuse
	b.ReportMetric(float64(held)/float64(clients), "held-B/connection")
}
