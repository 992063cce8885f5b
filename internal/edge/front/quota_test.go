package front_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/stand/ptarg"
)

// fixedQuota has a number of tokens for all teams together.
type fixedQuota struct {
	mu    sync.Mutex
	left  int
	taken int
	// returned are the teams of which tokens were returned.
	returned []cardamompass.TeamName
}

// Take implements cardamompass.Quota.
func (qta *fixedQuota) Take(cardamompass.TeamName) (ok bool, retryAfter time.Duration) {
	qta.mu.Lock()
	defer qta.mu.Unlock()
	if qta.left == 0 {
		return false, 1500 * time.Millisecond
	}
	qta.left--
	qta.taken++
	return true, 0
}

// Return implements cardamompass.Quota.
func (qta *fixedQuota) Return(team cardamompass.TeamName) {
	qta.mu.Lock()
	defer qta.mu.Unlock()
	qta.left++
	qta.returned = append(qta.returned, team)
}

func (qta *fixedQuota) state() (left, taken int) {
	qta.mu.Lock()
	defer qta.mu.Unlock()
	return qta.left, qta.taken
}

// Guards against requests beyond the quota that are sent to targets, refusals without the time to return, and tokens that are used up by
// requests that reached no target or have no team.
func TestQuota(t *testing.T) {
	fxt := newFixture(t, 2)
	fxt.apply(teamTable(2, "one"))
	fxt.quota.left = 2
	for _, tst := range []struct {
		path, key   string
		status      int
		left, taken int
	}{
		{"/open/a", "one", 200, 2, 0},
		{"/read/a", "unknown", 401, 2, 0},
		{"/read/a", "far", 503, 2, 1}, // no target of its region: the token is returned
		{"/read/a", "one", 200, 1, 2},
		{"/write/a", "one", 200, 0, 3},
		{"/read/a", "one", 429, 0, 3},
		{"/write/a", "one", 429, 0, 3},
		{"/open/a", "one", 200, 0, 3},
	} {
		runs := fxt.runs()
		if status := fxt.sendKey(tst.path, fmt.Sprint(tst.path, tst.left, tst.taken, tst.status), tst.key); status != tst.status {
			t.Errorf("%s with key %q: status %d, want %d", tst.path, tst.key, status, tst.status)
		}
		if ran := fxt.runs() > runs; ran != (tst.status == 200) {
			t.Errorf("%s with key %q: ran %v", tst.path, tst.key, ran)
		}
		if left, taken := fxt.quota.state(); left != tst.left || taken != tst.taken {
			t.Errorf("%s with key %q: %d tokens left, %d taken, want %d and %d", tst.path, tst.key, left, taken, tst.left, tst.taken)
		}
	}
	req := fxt.request(t.Context(), "/read/a", "last")
	req.Header.Set("Credential", secret+"one")
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer rsp.Body.Close()
	if after := rsp.Header.Get("Retry-After"); after != "1.500" {
		t.Errorf("Retry-After %q over the quota", after)
	}
}

// Guards against a second token for a request that is sent again after it has reached a target.
func TestQuotaOfRetry(t *testing.T) {
	fxt := newFixture(t, 2)
	fxt.apply(teamTable(2, "one"))
	fxt.quota.left = 5
	fxt.set(ptarg.FaultError)
	if status := fxt.sendKey("/read/a", "again", "one"); status != http.StatusInternalServerError {
		t.Errorf("status %d", status)
	}
	if runs := fxt.runs(); runs != 2 {
		t.Fatalf("%d runs, want the first and a retry", runs)
	}
	if left, taken := fxt.quota.state(); left != 4 || taken != 1 {
		t.Errorf("%d tokens left, %d taken for a request that was sent twice", left, taken)
	}
}

// Guards against more requests at targets than the quota: the token of a request that targets have shed was returned, so that each token
// served any number of them.
func TestQuotaOfShedRequest(t *testing.T) {
	for _, waiting := range []bool{false, true} {
		for _, path := range []string{"/read/a", "/write/a"} {
			fxt := newFixture(t, 2)
			fxt.apply(teamTable(2, "one"))
			fxt.waiting.Store(waiting)
			fxt.quota.left = 5
			fxt.set(ptarg.FaultShed)
			if status := fxt.sendKey(path, "shed", "one"); status != http.StatusServiceUnavailable {
				t.Errorf("%s: status %d", path, status)
			}
			if left, taken := fxt.quota.state(); left != 4 || taken != 1 {
				t.Errorf("%s, waiting %v: %d tokens left, %d taken for a request that reached targets", path, waiting, left, taken)
			}
		}
	}
}

// Guards against a panic, and a token that is returned to another team than the one that it was taken from, when the team of a request
// changes between two attempts that reach no target.
func TestQuotaWhenTeamChanges(t *testing.T) {
	public := teamTable(3, "one")
	for num := range public.Table.Routes {
		public.Table.Routes[num].Public = true
	}
	public.Table = public.Table.WithIndex(map[string]cardamompass.TeamName{secret + "one": "one"})
	other := teamTable(3, "one")
	other.Table.Teams["two"] = &cardamompass.Team{Name: "two"}
	other.Table = other.Table.WithIndex(map[string]cardamompass.TeamName{secret + "one": "two"})
	for _, tst := range []struct {
		name     string
		after    cardamompass.Change
		taken    int
		returned []cardamompass.TeamName
	}{
		{"none", public, 1, []cardamompass.TeamName{"one"}},
		{"another", other, 2, []cardamompass.TeamName{"one", "two"}},
	} {
		t.Run(tst.name, func(t *testing.T) {
			fxt := newFixture(t, 2)
			fxt.apply(teamTable(2, "one"))
			for _, stop := range fxt.stops {
				stop()
			}
			fxt.onDial = func() { fxt.apply(tst.after) }
			rsp, err := http.DefaultClient.Do(withKey(fxt.request(t.Context(), "/write/a", "moved"), "one"))
			if err != nil {
				t.Fatal(err)
			}
			defer rsp.Body.Close()
			if _, taken := fxt.quota.state(); rsp.StatusCode != http.StatusServiceUnavailable || taken != tst.taken ||
				!slices.Equal(fxt.quota.returned, tst.returned) {
				t.Errorf("status %d, %d tokens taken, returned %v", rsp.StatusCode, taken, fxt.quota.returned)
			}
		})
	}
}

func withKey(req *http.Request, key string) (out *http.Request) {
	req.Header.Set("Credential", secret+key)
	return req
}

// Guards against the token of a request that has reached no target and is lost because its caller has left.
func TestQuotaWhenCallerLeaves(t *testing.T) {
	fxt := newFixture(t, 2)
	fxt.apply(teamTable(2, "one"))
	for _, stop := range fxt.stops {
		stop()
	}
	fxt.quota.left = 5
	ctx, cancel := context.WithCancel(t.Context())
	fxt.onDial = func() {
		cancel()
		time.Sleep(50 * time.Millisecond) // until the front notices that the connection is closed
	}
	if rsp, err := http.DefaultClient.Do(withKey(fxt.request(ctx, "/write/a", "left"), "one")); err == nil {
		rsp.Body.Close()
		t.Fatalf("status %d", rsp.StatusCode)
	}
	for end := time.Now().Add(time.Second); fxt.front.Active() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if left, taken := fxt.quota.state(); left != 5 || taken != 1 {
		t.Errorf("%d tokens left, %d taken", left, taken)
	}
}
