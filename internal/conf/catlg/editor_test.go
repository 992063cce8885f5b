package catlg_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/conf/jsonc"
)

var errDown = errors.New("store is down")

// instantClock has timers that fire immediately, so that tests do not wait.
type instantClock struct{}

func (instantClock) Now() time.Time { return testTime }

func (instantClock) NewTimer(time.Duration) cardamompass.Timer { return instantTimer{} }

type instantTimer struct{}

func (instantTimer) C() <-chan time.Time {
	ch := make(chan time.Time, 1)
	ch <- testTime
	return ch
}

func (instantTimer) Stop() bool { return true }

// fault is a failure injected into one call of the store.
type fault int

const (
	none         fault = iota
	refused            // the call fails without effect
	responseLost       // a write takes effect, its response is lost
	writeLost          // a write has no effect, and its response is lost
	writeDelayed       // a write takes effect only at a later call, and its response is lost
	held               // the call succeeds, and delayed writes stay delayed
)

type write struct {
	data []byte
	rev  int64
}

// fakeStore is a store of one key. before is called before each call and returns the fault to inject.
type fakeStore struct {
	cardamompass.Store
	before  func(ctx context.Context, put bool) fault
	cur     write
	delayed []write
	history []string
}

func (str *fakeStore) swap(wrt write) bool {
	if wrt.rev != str.cur.rev {
		return false
	}
	str.cur = write{
		data: wrt.data,
		rev:  wrt.rev + 1,
	}
	str.history = append(str.history, string(wrt.data))
	return true
}

func (str *fakeStore) call(ctx context.Context, put bool) (flt fault, err error) {
	if str.before != nil {
		flt = str.before(ctx, put)
	}
	for len(str.delayed) > 0 && flt == none {
		str.swap(str.delayed[0])
		str.delayed = str.delayed[1:]
	}
	switch {
	case flt == refused || flt == none && ctx.Err() != nil:
		return flt, errDown
	case flt == held:
		return none, nil
	default:
		return flt, nil
	}
}

func (str *fakeStore) Get(ctx context.Context, key string) (val cardamompass.Value, err error) {
	if _, err = str.call(ctx, false); err != nil {
		return val, err
	}
	if str.cur.rev == 0 {
		return val, &cardamompass.NotFoundError{Key: key}
	}
	return cardamompass.Value{Key: key, Data: str.cur.data, Revision: str.cur.rev}, nil
}

func (str *fakeStore) Put(ctx context.Context, key string, data []byte, rev int64) (val cardamompass.Value, err error) {
	flt, err := str.call(ctx, true)
	wrt := write{data: data, rev: rev}
	switch {
	case err != nil:
		return val, err
	case flt == responseLost:
		str.swap(wrt)
	case flt == writeDelayed:
		str.delayed = append(str.delayed, wrt)
	case flt == none && str.swap(wrt):
		return cardamompass.Value{Key: key, Data: data, Revision: rev + 1}, nil
	case flt == none:
		return val, &cardamompass.ConflictError{Key: key, Want: rev, Have: str.cur.rev}
	}
	return val, &cardamompass.WriteUnknownError{Key: key, Err: errDown}
}

func editor(str cardamompass.Store, who string) *catlg.Editor {
	return catlg.NewEditor(catlg.EditorConfig{Store: str, Key: "catalogue", Clock: instantClock{}, EditedBy: who})
}

// filledStore returns a store with service svc, regions a to e and a shift limit from a to b.
func filledStore(t testing.TB) (str *fakeStore, doc *catlg.Document) {
	txt := `"service/svc":{"owner":"o","spec":{"class":"short","max-timeout-ms":1,"max-body-bytes":1,"queue-length":1}}`
	for _, reg := range []string{"a", "b", "c", "d", "e"} {
		txt += `,"region/` + reg + `":{"owner":"o","spec":{"failure-domains":["x"]}}`
	}
	doc, err := catlg.Parse([]byte(entries(txt)))
	if err != nil {
		t.Fatal(err)
	}
	str = &fakeStore{}
	acc, err := editor(str, "first").Put(t.Context(), catlg.Edit{Base: catlg.Empty(), Edited: doc.WithEntry(shiftEntry(t, "b", "o", 1))})
	if err != nil {
		t.Fatal(err)
	}
	return str, acc.Document
}

// Guards against taking a lost response for a refusal or for an acceptance, and against a second write of the same edit.
func TestPutResolvesLostResponses(t *testing.T) {
	tests := []struct {
		name    string
		faults  []fault // of the calls after the first read, in order
		unknown bool    // the context is cancelled at the last fault
		writes  int     // documents written in total
	}{
		{name: "accepted edit with lost response is reported as failed", faults: []fault{responseLost}, writes: 1},
		{name: "edit is lost with its write", faults: []fault{writeLost}, writes: 1},
		{name: "delayed write is followed by a second one", faults: []fault{writeDelayed}, writes: 1},
		{name: "delayed write between read and retry is taken for a conflict", faults: []fault{writeDelayed, held}, writes: 1},
		{name: "failed read after a lost response is taken for a refusal", faults: []fault{responseLost, refused, refused}, writes: 1},
		{name: "retries write twice", faults: []fault{writeLost, none, responseLost}, writes: 1},
		{name: "deadline before the outcome is known is taken for a refusal", faults: []fault{responseLost, refused}, unknown: true, writes: 1},
		{name: "deadline before the delayed write", faults: []fault{writeDelayed, refused}, unknown: true, writes: 1},
		{name: "store failure before the write is reported as unknown", faults: []fault{refused}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			str, base := filledStore(t)
			ctx, cancel := context.WithCancel(t.Context())
			calls, before := 0, len(str.history)
			str.before = func(context.Context, bool) fault {
				if calls++; calls == 1 || calls-2 >= len(tst.faults) {
					return none
				}
				if tst.unknown && calls-1 == len(tst.faults) {
					cancel()
				}
				return tst.faults[calls-2]
			}
			edit := catlg.Edit{Base: base, Edited: base.WithEntry(shiftEntry(t, "b", "new", 2))}
			acc, err := editor(str, "ana").Put(ctx, edit)
			var unk *catlg.EditUnknownError
			if errors.As(err, &unk) != tst.unknown {
				t.Fatalf("unknown outcome: %v, want %v", err, tst.unknown)
			}
			if tst.unknown {
				edit.ID, str.before = unk.EditID, nil
				acc, err = editor(str, "ana").Put(t.Context(), edit)
			}
			if (err == nil) != (tst.writes > 0) || len(str.history)-before != tst.writes {
				t.Fatalf("error %v, %d writes, want %d", err, len(str.history)-before, tst.writes)
			}
			if err != nil {
				return
			}
			if _, ok := acc.Document.Edit(acc.EditID); !ok || acc.Version != base.Version()+1 {
				t.Fatalf("accepted %+v", acc)
			}
		})
	}
}

// Guards against a lost update, and against a conflict error that does not name the entry, its versions and the other author.
func TestPutRefusesConflicts(t *testing.T) {
	str, base := filledStore(t)
	ana, ben := editor(str, "ana"), editor(str, "ben")
	put := func(edt *catlg.Editor, edited *catlg.Document) error {
		_, err := edt.Put(t.Context(), catlg.Edit{Base: base, Edited: edited})
		return err
	}
	if err := put(ana, base.WithEntry(shiftEntry(t, "b", "ana", 2))); err != nil {
		t.Fatal(err)
	}
	if err := put(ben, base.WithEntry(shiftEntry(t, "c", "ben", 2))); err != nil {
		t.Fatalf("disjoint edit is refused: %v", err)
	}
	for _, edited := range []*catlg.Document{base.WithEntry(shiftEntry(t, "b", "ben", 3)), base.WithDeleted("shift/svc/a/b")} {
		var cft *catlg.EditConflictError
		if err := put(ben, edited); !errors.As(err, &cft) {
			t.Fatalf("error is %v, want a conflict", err)
		}
		want := catlg.EditConflict{Entry: "shift/svc/a/b", Read: 1, Have: 2, By: "ana", At: testTime}
		if len(cft.Conflicts) != 1 || cft.Conflicts[0] != want {
			t.Fatalf("conflicts %+v", cft.Conflicts)
		}
	}
	// Each of the two edits is valid alone. Together, the shift limit would refer to a deleted region.
	if err := put(ana, base.WithEntry(shiftEntry(t, "d", "ana", 2))); err != nil {
		t.Fatal(err)
	}
	var prs *jsonc.ProblemsError
	if err := put(ben, base.WithDeleted("region/d")); !errors.As(err, &prs) {
		t.Fatalf("error is %v, want the dangling reference", err)
	}
	var inv *cardamompass.InvalidError
	if err := put(ben, base); !errors.As(err, &inv) {
		t.Fatalf("error is %v, want an edit without changes", err)
	}
}

// Guards against reporting an unknown outcome for a write that cannot take effect any more, because another edit changed the
// revision on which it was conditional.
func TestPutRefusedAfterLostWrite(t *testing.T) {
	str, base := filledStore(t)
	other := marshal(t, base.WithEntry(shiftEntry(t, "c", "ben", 1)))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	puts := 0
	str.before = func(_ context.Context, put bool) fault {
		if !put {
			return none
		}
		if puts++; puts > 100 {
			cancel() // an editor with an unknown outcome would retry until its deadline
		}
		if puts > 1 {
			return refused
		}
		str.swap(write{data: []byte(other), rev: str.cur.rev})
		return writeLost
	}
	_, err := editor(str, "ana").Put(ctx, catlg.Edit{Base: base, Edited: base.WithEntry(shiftEntry(t, "b", "ana", 2))})
	var unk *catlg.EditUnknownError
	if !errors.Is(err, errDown) || errors.As(err, &unk) || puts != 2 {
		t.Fatalf("error is %v after %d writes, want the failure of the second", err, puts)
	}
}

// Guards against a rollback that decreases the version, which a merge would undo, and against a rollback that overrides a
// conflicting edit.
func TestRollback(t *testing.T) {
	str, base := filledStore(t)
	edt := editor(str, "ana")
	acc, err := edt.Put(t.Context(), catlg.Edit{Base: base, Edited: base.WithDeleted("shift/svc/a/b")})
	if err != nil {
		t.Fatal(err)
	}
	rbk := catlg.Rollback{Entry: "shift/svc/a/b", From: base}
	back, err := edt.Rollback(t.Context(), rbk)
	if err != nil {
		t.Fatal(err)
	}
	old, _ := base.Entry(rbk.Entry)
	now, _ := catlg.Merge(acc.Document, back.Document).Entry(rbk.Entry)
	if !now.SameContent(old) || now.Version != 3 {
		t.Fatalf("entry %+v", now)
	}
	rbk.ID = back.EditID
	if again, err := edt.Rollback(t.Context(), rbk); err != nil || again.Version != 3 || len(str.history) != 3 {
		t.Fatalf("repeated rollback: %+v %v", again, err)
	}
	gone := catlg.Rollback{Entry: "shift/svc/a/b", From: acc.Document}
	var inv *cardamompass.InvalidError
	if _, err = editor(&fakeStore{}, "ana").Rollback(t.Context(), gone); !errors.As(err, &inv) {
		t.Fatalf("error is %v, want no tombstone of an entry that never existed", err)
	}
	rbk.From = acc.Document
	if _, err = edt.Rollback(t.Context(), rbk); !errors.As(err, &inv) {
		t.Fatalf("error is %v, want the id of another edit", err)
	}
}

// Guards against treating an edit as refused or new after its record was evicted from the document.
func TestPutWithEvictedRecord(t *testing.T) {
	str, base := filledStore(t)
	edt := editor(str, "ana")
	edit := catlg.Edit{Base: base, Edited: base.WithEntry(shiftEntry(t, "b", "o", 2))}
	acc, err := edt.Put(t.Context(), edit)
	for idx := 0; idx < catlg.MaxEdits && err == nil; idx++ {
		_, err = edt.Put(t.Context(), catlg.Edit{Base: base, Edited: base.WithEntry(shiftEntry(t, "c", "o", idx+1))})
		if base, _, _ = edt.Get(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	edit.ID = acc.EditID
	var unk *catlg.EditUnknownError
	if _, err = edt.Put(t.Context(), edit); !errors.As(err, &unk) {
		t.Fatalf("error is %v, want an unknown outcome", err)
	}
	if txt := unk.Error(); !strings.Contains(txt, acc.EditID) {
		t.Fatalf("%s does not name the edit", txt)
	}
}
