package node_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/node"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/stand/pstore"
	"cardamompass/platform"
)

const (
	// sendTime is the longest time of the requests that come again: a report must outlast them.
	sendTime = 5 * time.Minute
	// reportBound is the time after which a crash must be reported when the store answers again.
	reportBound = 3 * time.Second
)

// Guards against crashes that are never reported because the store did not answer when they happened, so that the other VMs go on sending
// content that crashes targets, against reports that lapse while the content still comes (review/5), and against ones that stay in force
// although a target has survived the content.
func TestCrashReports(t *testing.T) {
	tests := []struct {
		name   string
		faults pstore.Faults
	}{
		{"store answers", pstore.Faults{}},
		{"store silent", pstore.Faults{NoReply: true}},
		{"store closes connections", pstore.Faults{Outage: true}},
		{"store refuses", pstore.Faults{RefusedIPs: []string{"127.0.0.1"}}},
		{"reply to the lease is lost", pstore.Faults{LoseWriteReplies: true}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			sto, stopStore, err := pstore.New("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(stopStore)
			reg, closeReg := platform.NewRegistry(platform.RegistryConfig{
				Address: sto.Address(),
				Dial:    send.Dialer(time.Second),
			})
			t.Cleanup(closeReg)
			crashed, withdrawn, _, stop := node.NewReporter(node.Config{
				Registry: reg,
				Clock:    cardamompass.SystemClock{},
				Log:      zap.NewNop(),
			})
			t.Cleanup(stop)
			crs := cardamompass.Crash{
				Fingerprint: "00ff",
				Instance:    "i-1",
				StartMillis: 100,
			}
			const key = "crash/00ff/i-1/100"
			sto.SetFaults(tst.faults)
			crashed(crs)
			time.Sleep(2 * time.Second)
			sto.SetFaults(pstore.Faults{})
			await(t, "report", func() bool { return sto.LeaseLeft(key) > sendTime })
			withdrawn(crs)
			await(t, "withdrawal", func() bool { return sto.LeaseLeft(key) == 0 })
		})
	}
}

func await(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(reportBound); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s not within %v", what, reportBound)
		}
	}
}

// Guards against crash reports and withdrawals that a store loses when it comes back from a copy: the content would crash targets again, or
// stay refused. A report of another VM that has ended since is made again as well.
func TestCrashReportsAfterRestore(t *testing.T) {
	sto, stopStore, err := pstore.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stopStore)
	reg, closeReg := platform.NewRegistry(platform.RegistryConfig{
		Address: sto.Address(),
		Dial:    send.Dialer(time.Second),
	})
	t.Cleanup(closeReg)
	crashed, withdrawn, restored, stop := node.NewReporter(node.Config{
		Registry: reg,
		Clock:    cardamompass.SystemClock{},
		Log:      zap.NewNop(),
	})
	t.Cleanup(stop)
	crash := func(instance cardamompass.InstanceID) cardamompass.Crash {
		return cardamompass.Crash{
			Fingerprint: "00ff",
			Instance:    instance,
			StartMillis: 100,
		}
	}
	has := func(key string) func() bool { return func() bool { return sto.LeaseLeft(key) > sendTime } }
	crashed(crash("i-1"))
	await(t, "report", has("crash/00ff/i-1/100"))
	saved := sto.Copy()
	crashed(crash("i-2"))
	await(t, "report", has("crash/00ff/i-2/100"))
	withdrawn(crash("i-1"))
	await(t, "withdrawal", func() bool { return !has("crash/00ff/i-1/100")() })
	sto.Restore(saved)
	restored("1", []cardamompass.Crash{crash("i-3")})
	await(t, "second report", has("crash/00ff/i-2/100"))
	await(t, "report in place of another VM", has("crash/00ff/i-3/100"))
	await(t, "second withdrawal", func() bool { return !has("crash/00ff/i-1/100")() })
}
