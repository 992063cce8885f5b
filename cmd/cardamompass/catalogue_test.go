package main_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"cardamompass"
	main "cardamompass/cmd/cardamompass"
)

// memStore is a store of one key in memory.
type memStore struct {
	cardamompass.Store
	val  cardamompass.Value
	lose bool // the response to the next write is lost, and all later calls fail
	down bool
}

func (str *memStore) Get(_ context.Context, key string) (val cardamompass.Value, err error) {
	switch {
	case str.down:
		return val, context.DeadlineExceeded
	case str.val.Revision == 0:
		return val, &cardamompass.NotFoundError{Key: key}
	default:
		return str.val, nil
	}
}

func (str *memStore) Put(_ context.Context, key string, data []byte, rev int64) (val cardamompass.Value, err error) {
	if rev != str.val.Revision {
		return val, &cardamompass.ConflictError{Key: key, Want: rev, Have: str.val.Revision}
	}
	str.val = cardamompass.Value{Key: key, Data: data, Revision: rev + 1}
	if str.lose {
		str.down = true
		return val, &cardamompass.WriteUnknownError{Key: key, Err: context.DeadlineExceeded}
	}
	return str.val, nil
}

func (str *memStore) Watch(ctx context.Context, key string, _ int64, _ time.Duration) (val cardamompass.Value, err error) {
	str.val.Revision++
	return str.Get(ctx, key)
}

// run parses and runs a command line.
func run(t *testing.T, str *memStore, args ...string) (out string, err error) {
	var (
		buf bytes.Buffer
		cli struct {
			Catalogue main.CatalogueCmd `cmd:""`
			Settings  main.SettingsCmd  `cmd:""`
		}
	)
	env := main.Env{
		Out: &buf,
		Err: &buf,
		NewStore: func(string) (cardamompass.Store, func(), error) {
			return str, func() {}, nil
		},
	}
	psr, err := kong.New(&cli, kong.Bind(env), kong.BindTo(t.Context(), (*context.Context)(nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, err := psr.Parse(args)
	if err == nil {
		err = ctx.Run()
	}
	return buf.String(), err
}

// Guards against commands whose flags, files or outputs do not fit together. The steps are a typical sequence of an operator.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	file, old := filepath.Join(dir, "c.json"), filepath.Join(dir, "old.json")
	str := &memStore{}
	swap := func(from, to string) func() {
		return func() {
			data, err := os.ReadFile(file)
			if err != nil || !strings.Contains(string(data), from) {
				t.Fatalf("%v, no %s in the file", err, from)
			}
			if err = os.WriteFile(file, []byte(strings.Replace(string(data), from, to, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	const example = "../../examples/catalogue-sanjha.json"
	withStore := func(args ...string) []string { return append(args, "--store=127.0.0.1:1", "--timeout=200ms") }
	steps := []struct {
		name   string
		before func()
		args   []string
		want   string // part of the output or error
		fails  bool
	}{
		{name: "settings", args: []string{"settings", "check", "../../examples/settings.jsonc"}, want: "valid; vm-id=gulf-a-1"},
		{name: "settings of another kind", args: []string{"settings", "check", example}, want: `1:1: "vm-id" is missing`, fails: true},
		{name: "check", args: []string{"catalogue", "check", example}, want: "valid; version=1 entries=73"},
		{name: "first put without an editor", args: withStore("catalogue", "put", example), want: "--by", fails: true},
		{name: "first put", args: withStore("catalogue", "put", example, "--by=ana"), want: "accepted; version=1 "},
		{name: "get", args: withStore("catalogue", "get", file), want: "version=1 entries=73"},
		{name: "earlier copy", args: withStore("catalogue", "get", old), want: "version=1"},
		{name: "diff", before: swap(`"slots": 3`, `"slots": 2`), args: withStore("catalogue", "diff", file), want: "slots: 3 -> 2"},
		{name: "diff of files", args: []string{"catalogue", "diff", old, file}, want: "slots: 3 -> 2"},
		{name: "put", args: withStore("catalogue", "put", file, "--by=ben"), want: "slots: 3 -> 2\naccepted; version=2 "},
		{name: "put of an outdated file", before: swap(`"slots": 2`, `"slots": 1`), args: withStore("catalogue", "put", file, "--by=ana"), want: "the store has version 2 by ben", fails: true},
		{name: "put without a base", args: withStore("catalogue", "put", example, "--by=ana"), want: "read the catalogue with get", fails: true},
		{name: "who", args: withStore("catalogue", "who", "target/depot-files-kpk-01"), want: `version=2 edited-by="ben"`},
		{name: "rollback", args: withStore("catalogue", "rollback", "target/depot-files-kpk-01", "--from="+old, "--by=ana"), want: "accepted; version=3"},
		{name: "watch", args: withStore("catalogue", "watch", "--count=1"), want: "version=3 entries=73\nversion=3 entries=73\nno changes"},
		{name: "rollback to the same state", args: withStore("catalogue", "rollback", "service/ledger", "--from="+example, "--by=ana"), want: "changes nothing", fails: true},
		{name: "lost response", before: func() { str.lose = true }, args: withStore("catalogue", "rollback", "target/depot-files-kpk-01", "--from="+file, "--by=ana"), want: "run the same command with --edit-id 4-", fails: true},
	}
	last := ""
	for _, stp := range steps {
		if stp.before != nil {
			stp.before()
		}
		out, err := run(t, str, stp.args...)
		if err != nil {
			out += err.Error()
		}
		if (err != nil) != stp.fails || !strings.Contains(out, stp.want) {
			t.Fatalf("%s: error %v, output\n%s\nwant %s", stp.name, err, out, stp.want)
		}
		last = out
	}
	_, rest, _ := strings.Cut(last, "--edit-id ")
	id, _, _ := strings.Cut(rest, " ")
	str.down, str.lose = false, false
	out, err := run(t, str, "catalogue", "rollback", "target/depot-files-kpk-01", "--from="+file, "--by=ana", "--store=127.0.0.1:1", "--edit-id="+id)
	if want := "accepted; version=4 edit-id=" + id + "\n"; err != nil || out != want || str.val.Revision != 5 {
		t.Fatalf("resolving the edit: %v, output %q, want %q at revision 5, have %d", err, out, want, str.val.Revision)
	}
}
