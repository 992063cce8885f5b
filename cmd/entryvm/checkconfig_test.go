package main_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	main "cardamompass/cmd/entryvm"
)

// runCommand returns the exit status and the output of a command line.
func runCommand(t *testing.T, args ...string) (status int, output string) {
	t.Helper()
	var cmd main.Commands
	var out, ers bytes.Buffer
	par, err := kong.New(&cmd, kong.Writers(&out, &ers), kong.Exit(func(code int) { status = code }))
	if err != nil {
		t.Fatal(err)
	}
	kctx, err := par.Parse(args)
	if err != nil {
		t.Fatal(err)
	}
	kctx.FatalIfErrorf(kctx.Run())
	return status, out.String() + ers.String()
}

// Guards against a script that sends a faulty configuration because of the exit status, and against output that shows a key.
func TestCheckConfig(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) (path string) {
		path = filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	document := func(version, tenants string) string {
		return `{"version":"` + version + `","services":[{"name":"s"}],` + "\n" +
			`"routes":[{"name":"a","host":"h","prefix":"/","service":"s"}],"tenants":[` + tenants + `]}`
	}
	one := `{"name":"one","apiKeys":["SECRET-1"]}`
	cur := file("cur", document("05", one))
	clean := file("clean", document("06", `{"name":"one","apiKeys":["SECRET-2","SECRET-3"]}`))
	stale := file("stale", document("05", one+`,{"name":"two"}`))
	twice := file("twice", document("06", one+`,{"name":"two","apiKeys":["SECRET-1"]}`))
	mistyped := file("mistyped", document("06", `{"name":"one","apiKeys":"SECRET-1"}`))
	cut := file("cut", `{"version":"06","tenants":[{"apiKeys":["SECRET-1`)
	for _, tst := range []struct {
		args   []string
		status int
		want   string
	}{
		{args: []string{clean}, want: "no findings"},
		{args: []string{clean, "--in-force", cur}, want: `changed: team "one": keys 2 added, 1 removed`},
		{args: []string{stale}, status: 1, want: `finding: team "two": team-without-key: `},
		{args: []string{stale, "--in-force", cur}, status: 1, want: "finding: version: version-not-newer: 5 is not greater than 5"},
		{args: []string{twice}, status: 1, want: `tenants[1] "two": rejected: key 1 of tenant "two" is the same as key 1 of tenant "one"; remove`},
		{args: []string{twice, "--in-force", cur}, status: 1, want: "rejected"},
		{args: []string{file("version", document("x", one))}, status: 1, want: "finding: version: rejected: "},
		{args: []string{file("prefix", `{"version":"1","routes":[{"name":"a","service":"s"}]}`)}, status: 1, want: `routes[0] "a": rejected: `},
		{args: []string{mistyped}, status: 2, want: "mistyped:2:"},
		{args: []string{cut}, status: 2, want: "cut:1:"},
		{args: []string{filepath.Join(dir, "none")}, status: 2, want: "no such file"},
		{args: []string{clean, "--in-force", cut}, status: 2, want: "cut:1:"},
		{args: []string{clean, "--in-force", twice}, status: 2, want: "the same as key 1"},
	} {
		for _, format := range []string{"", "--json"} {
			args := append([]string{"check-config"}, tst.args...)
			if format != "" {
				args = append(args, format)
			}
			status, output := runCommand(t, args...)
			if status != tst.status || strings.Contains(output, "SECRET") || (format == "" && !strings.Contains(output, tst.want)) {
				t.Errorf("%q: status %d, want %d; output, with %q and without keys:\n%s", args, status, tst.status, tst.want, output)
			}
		}
	}
}

// Guards against JSON without a part of the result, and against null instead of an empty list.
func TestCheckConfigJSON(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config")
	if err := os.WriteFile(path, []byte(`{"version":"1","routes":[{"host":"h","prefix":"/","service":"x"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	_, output := runCommand(t, "check-config", "--json", path)
	var rep struct {
		Findings []map[string]string `json:"findings"`
		Changes  []any               `json:"changes"`
	}
	if err := json.NewDecoder(strings.NewReader(output)).Decode(&rep); err != nil {
		t.Fatal(err)
	}
	if len(rep.Findings) != 1 || rep.Findings[0]["code"] != "unknown-service" || rep.Findings[0]["remedy"] == "" || rep.Changes == nil {
		t.Errorf("report %+v", rep)
	}
}
