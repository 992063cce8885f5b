package users_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamompass/internal/stand/pfleet"
)

const (
	// revokeBound is the time after which a revoked key must be refused everywhere, counted from the store's acknowledgement.
	revokeBound = 5 * time.Second
	// secret begins all keys of the tests.
	secret = "s3cr3t-"
)

// startTeam sends requests of a team to a fleet until stop is called.
func startTeam(t *testing.T, flt *pfleet.Fleet, key string) (cls *pfleet.Callers, stop func()) {
	t.Helper()
	cls, closeIdle := pfleet.NewCallers(flt)
	t.Cleanup(closeIdle)
	cls.SetKey(key)
	tfl := &testFleet{
		Fleet:   flt,
		t:       t,
		callers: cls,
	}
	return cls, tfl.startLoad()
}

// Guards against a key that still opens a VM, on a new or on a kept connection, after it was taken away, against requests of other teams
// that notice it, and against a key in a log, a dump, the metrics or a request to a target.
func TestRevokedKey(t *testing.T) {
	tfl := prepareTestFleet(t, 4, 8)
	tfl.Teams = []pfleet.Team{
		{Name: "stays", Keys: []string{secret + "stays"}},
		{Name: "loses", Keys: []string{secret + "lost", secret + "kept"}},
	}
	tfl.Public = []string{"/open/"}
	withOpen := append([]string{"/open/"}, reads...)
	tfl.Configure(1, withOpen, writes)
	tfl.start()
	stays, stopStays := startTeam(t, tfl.Fleet, secret+"stays")
	kept, stopKept := startTeam(t, tfl.Fleet, secret+"kept")
	lost, stopLost := startTeam(t, tfl.Fleet, secret+"lost")
	conns := make([]net.Conn, len(tfl.VMs))
	for num, vmc := range tfl.VMs {
		conns[num] = dial(t, vmc)
		if status := exchangeKey(t, conns[num], fmt.Sprint("first-", num), secret+"lost"); status != http.StatusOK {
			t.Errorf("%s before the change: status %d", vmc.Name(), status)
		}
	}
	time.Sleep(time.Second)
	tfl.Teams[1].Keys = []string{secret + "kept"}
	tfl.Configure(2, withOpen, writes)
	acknowledged := time.Now()
	time.Sleep(revokeBound)
	for num, vmc := range tfl.VMs {
		for try, want := range []int{http.StatusUnauthorized, http.StatusUnauthorized, http.StatusOK} {
			key := secret + "lost"
			if want == http.StatusOK {
				key = secret + "kept" // the connection is still usable
			}
			if status := exchangeKey(t, conns[num], fmt.Sprintf("kept-%d-%d", num, try), key); status != want {
				t.Errorf("kept connection to %s, request %d: status %d, want %d", vmc.Name(), try, status, want)
			}
		}
	}
	time.Sleep(time.Second)
	var stopping sync.WaitGroup
	for _, stop := range []func(){stopStays, stopKept, stopLost} {
		stopping.Go(stop)
	}
	stopping.Wait()
	for name, cls := range map[string]*pfleet.Callers{"stays": stays, "kept": kept} {
		for _, res := range cls.Results() {
			if res.Status != http.StatusOK {
				t.Errorf("key %s: %+v", name, res)
			}
		}
	}
	checkRevoked(t, lost, acknowledged)
	checkRuns(t, tfl, lost, acknowledged)
	for _, text := range pfleet.Violations(append(append(stays.Results(), kept.Results()...), lost.Results()...), tfl.Targets) {
		if !strings.HasPrefix(text, "first-") && !strings.HasPrefix(text, "kept-") { // not sent by callers
			t.Error(text)
		}
	}
	checkNoKeys(t, tfl)
}

// exchangeKey sends a request with a key on a connection and returns the status of the response.
func exchangeKey(t *testing.T, con net.Conn, id, key string) (status int) {
	t.Helper()
	return exchange(t, con, id+"\r\nCredential: "+key, 10)
}

// checkRevoked checks that a key was valid until it was revoked, and never after the bound.
func checkRevoked(t *testing.T, cls *pfleet.Callers, acknowledged time.Time) {
	t.Helper()
	count := make(map[int]int)
	last := time.Duration(0)
	for _, res := range cls.Results() {
		count[res.Status]++
		switch {
		case res.Status == http.StatusOK && res.At.After(acknowledged):
			last = max(last, res.At.Sub(acknowledged))
		case res.Status == http.StatusUnauthorized && res.At.Add(res.Took).Before(acknowledged.Add(-time.Second)):
			t.Errorf("before the change: %+v", res)
		}
	}
	t.Logf("revoked key: responses by status %v, last request served %v after the acknowledgement", count, last)
	if last > pfleet.ConfigBound || len(count) != 2 || count[http.StatusOK] < requestsPerSecond/2 || count[http.StatusUnauthorized] < requestsPerSecond {
		t.Errorf("responses by status %v, last request served after %v", count, last)
	}
}

// checkRuns checks that targets got no request with the revoked key after the bound, and the right team with all requests.
func checkRuns(t *testing.T, tfl *testFleet, lost *pfleet.Callers, acknowledged time.Time) {
	t.Helper()
	revoked := make(map[string]bool)
	for _, res := range lost.Results() {
		revoked[res.ID] = true
	}
	for _, tgt := range tfl.Targets {
		for _, run := range tgt.Runs() {
			team := run.Header.Get("Tenant")
			if text := fmt.Sprint(run.Header); strings.Contains(text, secret) || (team != "stays" && team != "loses") {
				t.Errorf("%s got headers %s", tgt.ID, text)
			}
			if revoked[run.ID] && run.At.After(acknowledged.Add(revokeBound)) {
				t.Errorf("%s ran %s %v after its key was revoked", tgt.ID, run.ID, run.At.Sub(acknowledged))
			}
		}
	}
}

// checkNoKeys checks that no VM shows a key to operators.
func checkNoKeys(t *testing.T, tfl *testFleet) {
	t.Helper()
	for _, vmc := range tfl.VMs {
		log := vmc.Tail(1 << 20)
		if !strings.Contains(log, "team=loses") || !strings.Contains(log, "request denied") {
			t.Errorf("the log of %s lacks teams or denials", vmc.Name())
		}
		for _, text := range []string{log, tfl.get("http://" + vmc.MetricsAddress() + "/metrics"), tfl.get("http://" + vmc.MetricsAddress() + "/state")} {
			if strings.Contains(text, secret) {
				t.Errorf("%s shows a key", vmc.Name())
			}
		}
	}
}

// Guards against a configuration with invalid teams that comes into force, in whole or in part, and against one that shows its keys.
func TestInvalidTeams(t *testing.T) {
	tfl := prepareTestFleet(t, 1, 2)
	tfl.Teams = []pfleet.Team{{Name: "one", Keys: []string{secret + "one"}}}
	tfl.Configure(1, reads, writes)
	tfl.start()
	tfl.Teams = append(tfl.Teams, pfleet.Team{Name: "two", Keys: []string{secret + "two", secret + "one"}})
	tfl.Configure(2, append([]string{"/new/"}, reads...), writes)
	vmc := tfl.VMs[0]
	tfl.await(pfleet.ConfigBound, "rejection", func() bool { return strings.Contains(vmc.Tail(1000), "entry rejected") })
	for _, tst := range []struct {
		path, key string
		status    int
	}{{"/read/a", "one", 200}, {"/read/a", "two", 401}, {"/new/a", "one", 404}} {
		tfl.callers.SetKey(secret + tst.key)
		if res := tfl.callers.SendTo(t.Context(), vmc.CallerAddress(), tst.path, true); res.Status != tst.status {
			t.Errorf("%s with key %s: %+v", tst.path, tst.key, res)
		}
	}
	if log := vmc.Tail(1000); !strings.Contains(log, `key 2 of tenant \"two\" is the same as key 1 of tenant \"one\"`) || strings.Contains(log, secret) {
		t.Errorf("log:\n%s", log)
	}
}
