package catlg_test

import (
	"testing"

	"cardamompass/internal/conf/catlg"
)

// editOwner changes the owner of region a in the store and returns the resulting document.
func editOwner(t *testing.T, str *fakeStore, owner string) *catlg.Document {
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

// Guards against an edit that is accepted by a restored store but loses to an earlier edit of the same entry when merged, and
// against treating a delayed response of the store as such an edit.
func TestRebaseAfterRestore(t *testing.T) {
	str, snapshot := filledStore(t)
	restored := &fakeStore{
		cur: str.cur,
	}
	older := editOwner(t, str, "two")
	active := editOwner(t, str, "three")
	tests := []struct {
		name   string
		stored *catlg.Document
		want   string
	}{
		{name: "edit after the restore loses", stored: editOwner(t, restored, "four"), want: "four"},
		{name: "second edit after the restore loses", stored: editOwner(t, restored, "five"), want: "five"},
		{name: "restored store without an edit reverts one", stored: snapshot, want: "three"},
		{name: "delayed response reverts an edit", stored: older, want: "three"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			merged := catlg.Merge(active, catlg.Rebase(active, tst.stored))
			if ent, _ := merged.Entry("region/a"); ent.Owner != tst.want {
				t.Fatalf("active owner %s, want %s", ent.Owner, tst.want)
			}
			if again := catlg.Merge(merged, catlg.Rebase(merged, tst.stored)); again.Digest() != merged.Digest() {
				t.Fatal("reading the same value of the store again changes the document")
			}
		})
	}
}
