package rounds_test

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cardamompass/internal/load/rounds"
)

func writeJournal(t *testing.T, files map[string]string) (dir string) {
	t.Helper()
	dir = t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

const days = `"days":[{"name":"quiet-1","G":0.7,"top":0.6},{"name":"scale-1","G":0.5,"top":0.4},{"name":"fresh-1","G":0.1,"top":0.9}]`

// Guards against including figures that are not comparable (generated days, runs of single days), against scores out of order, and against
// an aborted run, whose entry has no end and no days, making the whole journal unreadable.
func TestRead(t *testing.T) {
	dir := writeJournal(t, map[string]string{
		"1.json":    `{"cmd":"score","at":["2026-12-04T10:00:00Z","2026-12-04T10:01:00Z"],"site":"b","why":"later",` + days + `}`,
		"2.json":    `{"cmd":"score","at":["2026-12-04T09:00:00Z"],"site":"a","why":"sooner",` + days + `}`,
		"3.json":    `{"cmd":"hunt","at":["2026-12-04T09:00:00Z"],"site":"a",` + days + `}`,
		"4.json":    `{"cmd":"score","at":["2026-12-04T09:00:00Z"],"site":"a","days":[]}`,
		"5.json":    `{"cmd":"hunt","at":["2026-12-04T09:00:00Z",""],"site":null,"days":[]}`,
		"6.json":    `{"cmd":"score","at":["2026-12-04T09:00:00Z",""],"site":null,"days":[]}`,
		"notes.txt": `no entry`,
	})
	scores, err := rounds.Read(dir)
	if err != nil || len(scores) != 2 || scores[0].Reason != "sooner" || scores[1].Reason != "later" {
		t.Fatalf("scores %+v, error %v", scores, err)
	}
	if scr := scores[0]; scr.Days != 2 || math.Abs(scr.Worth-0.6) > 1e-9 || math.Abs(scr.FullScore-0.5) > 1e-9 {
		t.Fatalf("score %+v", scr)
	}
	if sites := rounds.Sites(scores); len(sites) != 2 || sites[0] != "a" {
		t.Fatalf("sites %v", sites)
	}
}

// Guards against malformed journal files being skipped without an error.
func TestReadNamesMalformedEntry(t *testing.T) {
	for name, text := range map[string]string{
		"invalid JSON":  `{"cmd":`,
		"no start time": `{"cmd":"score","at":[],"site":"a",` + days + `}`,
		"invalid time":  `{"cmd":"score","at":["yesterday"],"site":"a",` + days + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := rounds.Read(writeJournal(t, map[string]string{"bad.json": text}))
			if err == nil || !strings.Contains(err.Error(), "bad.json") {
				t.Fatalf("error %v", err)
			}
		})
	}
}

// Guards against a plot that is not written, or that is written without scores.
func TestWritePlot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "worth.png")
	if err := rounds.WritePlot(nil, path); err == nil {
		t.Fatal("no error without scores")
	}
	scores := []rounds.Score{{Site: "a", Worth: 0.5, FullScore: 0.4, Days: 6}, {Site: "a", Worth: 0.6, FullScore: 0.4, Days: 6}}
	if err := rounds.WritePlot(scores, path); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil || !bytes.HasPrefix(data, []byte("\x89PNG")) {
		t.Fatalf("%d bytes, error %v", len(data), err)
	}
}

// Guards against latencies in the wrong unit or under the wrong kind, and against malformed or empty reports being accepted without an
// error.
func TestReadDay(t *testing.T) {
	dir := writeJournal(t, map[string]string{
		"quiet-1.json": `{"G":0.7,"classes":[{"name":"read","n":10,"in_aim":8,"p50_ms":250.5,"p99_ms":1200}]}`,
		"bad.json":     `{"classes":`,
		"empty.json":   `{}`,
	})
	day, err := rounds.ReadDay(filepath.Join(dir, "quiet-1.json"))
	if err != nil || day.Name != "quiet-1" || len(day.Kinds) != 1 {
		t.Fatalf("day %+v, error %v", day, err)
	}
	want := rounds.Kind{
		Name:     "read",
		Requests: 10,
		InAim:    8,
		Median:   250500 * time.Microsecond,
		P99:      1200 * time.Millisecond,
	}
	if day.Kinds[0] != want {
		t.Fatalf("kind %+v, want %+v", day.Kinds[0], want)
	}
	for _, name := range []string{"bad.json", "empty.json", "missing.json"} {
		if _, err := rounds.ReadDay(filepath.Join(dir, name)); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// Guards against a plot that fails on kinds without a latency or without an aim, or that is written without reports.
func TestWriteLatency(t *testing.T) {
	path := filepath.Join(t.TempDir(), "latency.png")
	if err := rounds.WriteLatency(nil, nil, path); err == nil {
		t.Fatal("no error without reports")
	}
	days := []rounds.Day{
		{Name: "quiet-1", Kinds: []rounds.Kind{{Name: "read", Median: time.Second, P99: 2 * time.Second}, {Name: "never"}}},
		{Name: "trouble-1", Kinds: []rounds.Kind{{Name: "read", Median: time.Second, P99: 2 * time.Second}}},
	}
	aims := map[string]time.Duration{
		"read": 400 * time.Millisecond,
	}
	if err := rounds.WriteLatency(days, aims, path); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil || !bytes.HasPrefix(data, []byte("\x89PNG")) {
		t.Fatalf("%d bytes, error %v", len(data), err)
	}
}
