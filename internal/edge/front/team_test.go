package front_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/edge/front"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/stand/ptarg"
)

// secret begins all keys, so that a search for it finds each of them.
const secret = "s3cr3t-"

// teamTable returns a table with the teams one, whose key is given without secret, and far, which region r may not serve.
func teamTable(version uint64, key string) (chg cardamompass.Change) {
	tbl := routes()
	tbl.Version = version
	open, home := tbl.Routes[0], tbl.Routes[0]
	open.Prefix, open.Public = "/open/", true
	home.Prefix, home.HomeRegions = "/home/", []cardamompass.Region{"r"}
	tbl.Routes = append(tbl.Routes, open, home)
	tbl.Teams = map[cardamompass.TeamName]*cardamompass.Team{
		"one": {Name: "one"},
		"far": {Name: "far", HomeRegions: []cardamompass.Region{"elsewhere"}},
	}
	return cardamompass.Change{
		Table: tbl.WithIndex(map[string]cardamompass.TeamName{secret + key: "one", secret + "far": "far"}),
	}
}

// sendKey sends a request with a key and a team that the caller chose itself.
func (fxt *fixture) sendKey(path, id, key string) (status int) {
	fxt.t.Helper()
	req := fxt.request(fxt.t.Context(), path, id)
	req.Header.Set("Tenant", "forged")
	if key != "" {
		req.Header.Set("Credential", secret+key)
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		fxt.t.Fatal(err)
	}
	defer rsp.Body.Close()
	_, _ = io.Copy(io.Discard, rsp.Body)
	return rsp.StatusCode
}

// lastRun returns the run of a request, which must have run once.
func (fxt *fixture) lastRun(id string) (run ptarg.Run) {
	fxt.t.Helper()
	count := 0
	for _, tgt := range fxt.targets {
		for _, cnd := range tgt.Runs() {
			if cnd.ID == id {
				run = cnd
				count++
			}
		}
	}
	if count != 1 {
		fxt.t.Fatalf("%s ran %d times", id, count)
	}
	return run
}

// metricsPage returns the page of metrics.
func (fxt *fixture) metricsPage() (text string) {
	time.Sleep(1200 * time.Millisecond) // the metrics are reported every second
	rec := httptest.NewRecorder()
	fxt.metrics.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	return rec.Body.String()
}

// Guards against requests without a valid key that are served, requests with one that are not, a team that callers choose themselves, and a
// key in a log line, a metric or a header of a request to a target.
func TestAdmission(t *testing.T) {
	fxt := newFixture(t, 2)
	fxt.apply(teamTable(2, "one"))
	for num, tst := range []struct {
		path, key string
		status    int
		team      []string // header of the target; nil for none
	}{
		{"/read/a", "one", 200, []string{"one"}},
		{"/write/a", "one", 200, []string{"one"}},
		{"/home/a", "one", 200, []string{"one"}},
		{"/read/a", "", 401, nil},
		{"/read/a", "unknown", 401, nil},
		{"/nowhere/a", "", 404, nil},
		{"/nowhere/a", "one", 404, nil},
		{"/home/a", "far", 403, nil},
		{"/read/a", "far", 503, nil}, // a region may serve it that has no target
		{"/open/a", "", 200, nil},
		{"/open/a", "unknown", 200, nil},
		{"/open/a", "far", 200, nil},
	} {
		id, runs := fmt.Sprint("r-", num), fxt.runs()
		if status := fxt.sendKey(tst.path, id, tst.key); status != tst.status {
			t.Errorf("%s with key %q: status %d, want %d", tst.path, tst.key, status, tst.status)
		}
		if ran := fxt.runs() > runs; ran != (tst.status == 200) {
			t.Errorf("%s with key %q: ran %v", tst.path, tst.key, ran)
		} else if ran {
			run := fxt.lastRun(id)
			if text := fmt.Sprint(run.Header); !reflect.DeepEqual(run.Header["Tenant"], tst.team) || strings.Contains(text, "s3cr3t") {
				t.Errorf("%s with key %q: headers %s", tst.path, tst.key, text)
			}
		}
	}
	logs, page := fxt.logs.String(), fxt.metricsPage()
	for _, text := range []string{logs, page} {
		if strings.Contains(text, "s3cr3t") {
			t.Errorf("a key appears in:\n%s", text)
		}
	}
	for _, want := range []string{"request=r-0 team=one second=false", "request=r-1 team=one route=", "request denied", "error=\"unknown key\""} {
		if !strings.Contains(logs, want) {
			t.Errorf("the log lacks %q:\n%s", want, logs)
		}
	}
	for _, want := range []string{`cardamompass_denied{reason="no_key"} 1`, `cardamompass_denied{reason="unknown_key"} 1`, `cardamompass_denied{reason="no_route"} 2`} {
		if !strings.Contains(page, want) {
			t.Errorf("the metrics lack %q:\n%s", want, page)
		}
	}
}

// Guards against a deployment without teams in which requests are denied, or the headers of callers change.
func TestNoTeams(t *testing.T) {
	fxt := newFixture(t, 1)
	if status := fxt.sendKey("/read/a", "r-1", "any"); status != 200 {
		t.Fatalf("status %d", status)
	}
	hdr := fxt.lastRun("r-1").Header
	if !reflect.DeepEqual(hdr["Tenant"], []string{"forged"}) || !reflect.DeepEqual(hdr["Credential"], []string{secret + "any"}) {
		t.Errorf("headers %v", hdr)
	}
	if logs := fxt.logs.String(); strings.Contains(logs, "team") || strings.Contains(logs, secret) {
		t.Errorf("log:\n%s", logs)
	}
}

// Guards against a VM that denies requests although it knows no table.
func TestNoTable(t *testing.T) {
	fxt := newFixture(t, 1)
	fxt.mu.Lock()
	fxt.vew = view.Empty()
	fxt.mu.Unlock()
	for _, key := range []string{"", "one"} {
		if status := fxt.sendKey("/read/a", "r-1", key); status != 503 {
			t.Errorf("key %q: status %d", key, status)
		}
	}
}

// Guards against bodies of callers without a key that take memory and time, and against a key that is revoked while the body arrives.
func TestKeyAndBody(t *testing.T) {
	fxt := newFixture(t, 1)
	fxt.apply(teamTable(2, "one"))
	con := fxt.dial("r-1", "Content-Length: 4")
	_ = con.SetReadDeadline(time.Now().Add(2 * time.Second))
	begin := make([]byte, len("HTTP/1.1 401"))
	if _, err := io.ReadFull(con, begin); err != nil || string(begin) != "HTTP/1.1 401" {
		t.Errorf("without a key: %q, %v", begin, err)
	}
	con = fxt.dial("r-2", "Credential: "+secret+"one\r\nContent-Length: 4")
	for fxt.front.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	fxt.apply(teamTable(3, "two"))
	_, _ = io.WriteString(con, "body")
	_ = con.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.ReadFull(con, begin); err != nil || string(begin) != "HTTP/1.1 401" || fxt.runs() != 0 {
		t.Errorf("with a key that was revoked: %q, %v, %d runs", begin, err, fxt.runs())
	}
}

// Guards against a request that is sent again with a key that was revoked since the first attempt, and against a 401 for a request that
// may have run.
func TestKeyRevokedBeforeResend(t *testing.T) {
	for _, tst := range []struct {
		path   string
		fault  ptarg.Fault
		status int
		runs   int
	}{
		{"/read/a", ptarg.FaultShed, 401, 0},
		{"/write/a", ptarg.FaultShed, 401, 0},
		{"/read/a", ptarg.FaultReset, 502, 1},
		{"/write/a", ptarg.FaultReset, 502, 1},
		{"/read/a", ptarg.FaultError, 500, 1},
		{"/read/a", ptarg.FaultNone, 200, 1},
		{"/hedged/a", ptarg.FaultNoResponse, 504, 1},
	} {
		t.Run(tst.path+string(tst.fault), func(t *testing.T) {
			fxt := newFixture(t, 3)
			fxt.apply(teamTable(2, "one"))
			fxt.set(tst.fault)
			fxt.onDial = func() { fxt.apply(teamTable(3, "two")) }
			if status := fxt.sendKey(tst.path, "r-1", "one"); status != tst.status || fxt.runs() != tst.runs {
				t.Errorf("status %d after %d runs, want %d after %d", status, fxt.runs(), tst.status, tst.runs)
			}
			if status := fxt.sendKey(tst.path, "r-2", "one"); status != 401 {
				t.Errorf("next request: status %d", status)
			}
		})
	}
}

// Guards against a key that is forwarded because teams came with a table, or went, while the request was in progress.
func TestTeamsChangeBeforeResend(t *testing.T) {
	withoutTeams := routes()
	withoutTeams.Version = 3
	for _, tst := range []struct {
		name  string
		after cardamompass.Change
	}{
		{"team stays", teamTable(3, "one")},
		{"no teams", cardamompass.Change{Table: withoutTeams}},
	} {
		t.Run(tst.name, func(t *testing.T) {
			fxt := newFixture(t, 2)
			fxt.apply(teamTable(2, "one"))
			dials := 0
			fxt.onDial = func() {
				if dials++; dials == 1 {
					fxt.apply(tst.after)
					fxt.set(ptarg.FaultShed)
				} else {
					fxt.set(ptarg.FaultNone)
				}
			}
			if status := fxt.sendKey("/write/a", "r-1", "one"); status != 200 {
				t.Fatalf("status %d", status)
			}
			if hdr := fxt.lastRun("r-1").Header; hdr.Get("Tenant") != "one" || hdr["Credential"] != nil {
				t.Errorf("headers %v", hdr)
			}
		})
	}
}

// Guards against a load limit that differs in a deployment without teams, and against teams whose priority counts for nothing.
func TestMaxLoad(t *testing.T) {
	tbl := &cardamompass.RoutingTable{
		Routes: []cardamompass.Route{{Priority: 1}, {Priority: 1}, {Priority: 3}, {Priority: 4}, {Priority: 6}},
	}
	teams := *tbl
	teams.Teams = map[cardamompass.TeamName]*cardamompass.Team{"one": {Priority: 0}, "two": {Priority: 3}}
	for pri, want := range map[int][2]float64{0: {2, 2}, 1: {2, 1.75}, 3: {1.75, 1.5}, 4: {1.5, 1.25}, 6: {1.25, 1.25}} {
		if got := [2]float64{front.MaxLoad(tbl, pri), front.MaxLoad(&teams, pri)}; got != want {
			t.Errorf("priority %d: without and with teams %v, want %v", pri, got, want)
		}
	}
}
