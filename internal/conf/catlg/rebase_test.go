package catlg_test

import (
	"testing"

	"cardamompass/internal/conf/catlg"
)

// withOwner edits region a in the store and returns the document that the store holds then.
func withOwner(t *testing.T, str *fakeStore, owner string) *catlg.Document {
	t.Helper()
	edt := editor(str, owner)
	doc, _, err := edt.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	ent, _ := doc.Entry("region/a")
	acc, err := edt.Put(t.Context(), catlg.Edit{
		Base:   doc,
		Edited: doc.WithEntry(ent.WithOwner(owner)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return acc.Document
}

// Guards against an edit that a restored store accepts and that loses against an earlier edit of the same entry, and against a
// late answer of the store that is taken for such an edit.
func TestAdoptAfterRestore(t *testing.T) {
	str, snapshot := filled(t)
	restored := &fakeStore{
		cur: str.cur,
	}
	late := withOwner(t, str, "two")
	inForce := withOwner(t, str, "three")
	tests := []struct {
		name   string
		stored *catlg.Document
		want   string
	}{
		{name: "edit after the restoration loses", stored: withOwner(t, restored, "four"), want: "four"},
		{name: "second edit after the restoration loses", stored: withOwner(t, restored, "five"), want: "five"},
		{name: "restored store without an edit takes one back", stored: snapshot, want: "three"},
		{name: "late answer takes an edit back", stored: late, want: "three"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			merged := catlg.Merge(inForce, catlg.Rebase(inForce, tst.stored))
			if ent, _ := merged.Entry("region/a"); ent.Owner != tst.want {
				t.Fatalf("owner %s in force, want %s", ent.Owner, tst.want)
			}
			if again := catlg.Merge(merged, catlg.Rebase(merged, tst.stored)); again.Digest() != merged.Digest() {
				t.Fatal("the same value of the store changes the document again")
			}
		})
	}
}
