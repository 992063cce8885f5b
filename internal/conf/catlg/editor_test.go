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

// instantClock has timers that fire at once, so that no test waits.
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

// fault says what happens to one call of the store.
type fault int

const (
	none       fault = iota
	refused          // the call fails without effect
	answerLost       // a write takes effect, its answer is lost
	writeLost        // a write has no effect, and the editor cannot know
	writeLate        // a write takes effect only at a later call, and the editor cannot know
	held             // the call works, and late writes stay late
)

type write struct {
	data []byte
	rev  int64
}

// fakeStore holds one key. before is called ahead of each call and returns its fault.
type fakeStore struct {
	cardamompass.Store
	before  func(ctx context.Context, put bool) fault
	cur     write
	late    []write
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
	for len(str.late) > 0 && flt == none {
		str.swap(str.late[0])
		str.late = str.late[1:]
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
	case flt == answerLost:
		str.swap(wrt)
	case flt == writeLate:
		str.late = append(str.late, wrt)
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

// filled returns a store with service svc, regions a to e and a shift from a to b.
func filled(t testing.TB) (str *fakeStore, doc *catlg.Document) {
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

// Guards against a lost answer that is taken for a refusal or for an acceptance, and against a blind second write.
func TestPutSettlesLostAnswers(t *testing.T) {
	tests := []struct {
		name    string
		faults  []fault // of the calls after the first read, in order
		unknown bool    // the deadline ends with the last fault
		writes  int     // documents that were written in the end
	}{
		{name: "accepted edit is reported as lost", faults: []fault{answerLost}, writes: 1},
		{name: "edit is lost with its write", faults: []fault{writeLost}, writes: 1},
		{name: "late write is followed by a second one", faults: []fault{writeLate}, writes: 1},
		{name: "late write between read-back and repetition is taken for a race", faults: []fault{writeLate, held}, writes: 1},
		{name: "failed read-back is taken for a refusal", faults: []fault{answerLost, refused, refused}, writes: 1},
		{name: "repetitions write twice", faults: []fault{writeLost, none, answerLost}, writes: 1},
		{name: "deadline during the settling is taken for a refusal", faults: []fault{answerLost, refused}, unknown: true, writes: 1},
		{name: "deadline before the late write", faults: []fault{writeLate, refused}, unknown: true, writes: 1},
		{name: "store that is down before the write leaves doubts", faults: []fault{refused}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			str, base := filled(t)
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

// Guards against a lost update, and against a refusal that does not tell what to do next.
func TestPutRefusesRaces(t *testing.T) {
	str, base := filled(t)
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
		var rac *catlg.EditConflictError
		if err := put(ben, edited); !errors.As(err, &rac) {
			t.Fatalf("error is %v, want a race", err)
		}
		want := catlg.EditConflict{Entry: "shift/svc/a/b", Read: 1, Have: 2, By: "ana", At: testTime}
		if len(rac.Conflicts) != 1 || rac.Conflicts[0] != want {
			t.Fatalf("races %+v", rac.Conflicts)
		}
	}
	// Each of the two edits is valid alone; together the shift would refer to a deleted region.
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

// Guards against doubt about a write that lost for certain: another edit changed the revision on which it depended.
func TestPutRefusedAfterLostWrite(t *testing.T) {
	str, base := filled(t)
	other := marshal(t, base.WithEntry(shiftEntry(t, "c", "ben", 1)))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	puts := 0
	str.before = func(_ context.Context, put bool) fault {
		if !put {
			return none
		}
		if puts++; puts > 100 {
			cancel() // an editor in doubt would go on until its deadline
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

// Guards against a rollback that rewinds the version, so that a merge would undo it, or that overrides a race.
func TestRollback(t *testing.T) {
	str, base := filled(t)
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
		t.Fatalf("settling a rollback: %+v %v", again, err)
	}
	gone := catlg.Rollback{Entry: "shift/svc/a/b", From: acc.Document}
	var inv *cardamompass.InvalidError
	if _, err = editor(&fakeStore{}, "ana").Rollback(t.Context(), gone); !errors.As(err, &inv) {
		t.Fatalf("error is %v, want no tombstone of an entry that never was", err)
	}
	rbk.From = acc.Document
	if _, err = edt.Rollback(t.Context(), rbk); !errors.As(err, &inv) {
		t.Fatalf("error is %v, want the id of another edit", err)
	}
}

// Guards against an edit that is called refused or new after its record left the document.
func TestPutWithEvictedRecord(t *testing.T) {
	str, base := filled(t)
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
