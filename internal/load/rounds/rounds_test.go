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

func journal(t *testing.T, files map[string]string) (dir string) {
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

// Guards against figures that do not compare: days drawn anew, runs of single days, and scores out of order; and against a run that was
// ended before its time, whose entry has no end and no days, and that kept the whole journal from being read.
func TestRead(t *testing.T) {
	dir := journal(t, map[string]string{
		"1.json":    `{"cmd":"score","at":["2026-12-04T10:00:00Z","2026-12-04T10:01:00Z"],"site":"b","why":"later",` + days + `}`,
		"2.json":    `{"cmd":"score","at":["2026-12-04T09:00:00Z"],"site":"a","why":"sooner",` + days + `}`,
		"3.json":    `{"cmd":"hunt","at":["2026-12-04T09:00:00Z"],"site":"a",` + days + `}`,
		"4.json":    `{"cmd":"score","at":["2026-12-04T09:00:00Z"],"site":"a","days":[]}`,
		"5.json":    `{"cmd":"hunt","at":["2026-12-04T09:00:00Z",""],"site":null,"days":[]}`,
		"6.json":    `{"cmd":"score","at":["2026-12-04T09:00:00Z",""],"site":null,"days":[]}`,
		"notes.txt": `no entry`,
	})
	rds, err := rounds.Read(dir)
	if err != nil || len(rds) != 2 || rds[0].Why != "sooner" || rds[1].Why != "later" {
		t.Fatalf("rounds %+v, error %v", rds, err)
	}
	if rnd := rds[0]; rnd.Days != 2 || math.Abs(rnd.Worth-0.6) > 1e-9 || math.Abs(rnd.Mark-0.5) > 1e-9 {
		t.Fatalf("round %+v", rnd)
	}
	if sites := rounds.Sites(rds); len(sites) != 2 || sites[0] != "a" {
		t.Fatalf("sites %v", sites)
	}
}

// Guards against a broken file that is passed over in silence.
func TestBrokenEntryIsNamed(t *testing.T) {
	for name, text := range map[string]string{
		"no JSON":  `{"cmd":`,
		"no begin": `{"cmd":"score","at":[],"site":"a",` + days + `}`,
		"no time":  `{"cmd":"score","at":["yesterday"],"site":"a",` + days + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := rounds.Read(journal(t, map[string]string{"bad.json": text}))
			if err == nil || !strings.Contains(err.Error(), "bad.json") {
				t.Fatalf("error %v", err)
			}
		})
	}
}

// Guards against a plot that is not written, or written of nothing.
func TestWritePlot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "worth.png")
	if err := rounds.WritePlot(nil, path); err == nil {
		t.Fatal("no error without scores")
	}
	rds := []rounds.Round{{Site: "a", Worth: 0.5, Mark: 0.4, Days: 6}, {Site: "a", Worth: 0.6, Mark: 0.4, Days: 6}}
	if err := rounds.WritePlot(rds, path); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil || !bytes.HasPrefix(data, []byte("\x89PNG")) {
		t.Fatalf("%d bytes, error %v", len(data), err)
	}
}

// Guards against latencies of the wrong unit or kind, and against broken or empty reports that are passed over in silence.
func TestReadDay(t *testing.T) {
	dir := journal(t, map[string]string{
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

// Guards against a plot that fails on kinds without a latency or without an aim, or is written of nothing.
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
