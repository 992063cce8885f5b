package catlg_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"cardamompass/internal/conf/catlg"
)

// attempted is one edit. It sets a unique token as the owner of its entry.
type attempted struct {
	token string
	entry catlg.EntryName
	edit  catlg.Edit
	acc   catlg.Accepted
	err   error
}

// runEditors runs concurrent editors on a store with injected faults. Store calls run one at a time, in an order that the seed
// determines.
func runEditors(t *testing.T, rnd *rand.Rand, str *fakeStore) (all []*attempted) {
	const editors, edits = 4, 6
	type turn struct {
		editor int
		done   bool
		run    chan fault
		kill   context.CancelFunc
	}
	turns := make(chan turn)
	type turnKey struct{}
	str.before = func(ctx context.Context, _ bool) fault {
		trn := ctx.Value(turnKey{}).(turn)
		turns <- trn
		return <-trn.run
	}
	results := make([][]*attempted, editors)
	for idx := range editors {
		rng := rand.New(rand.NewPCG(rnd.Uint64(), 0))
		go func() {
			defer func() { turns <- turn{done: true} }()
			edt, base := editor(str, fmt.Sprint("editor-", idx)), catlg.Empty()
			for num := range edits {
				ctx, cancel := context.WithCancel(context.Background())
				ctx = context.WithValue(ctx, turnKey{}, turn{editor: idx, run: make(chan fault), kill: cancel})
				if doc, _, err := edt.Get(ctx); err == nil && rng.IntN(4) > 0 {
					base = doc
				}
				att := &attempted{token: fmt.Sprintf("token-%d-%d-", idx, num)}
				ent := shiftEntry(t, string("bcd"[rng.IntN(3)]), att.token, rng.IntN(99))
				att.entry = ent.Name
				att.edit = catlg.Edit{Base: base, Edited: base.WithEntry(ent)}
				att.acc, att.err = edt.Put(ctx, att.edit)
				results[idx] = append(results[idx], att)
				cancel()
			}
		}()
	}
	var waiting []turn
	for live := editors; live > 0; {
		for len(waiting) < live {
			if trn := <-turns; trn.done {
				live--
			} else {
				waiting = append(waiting, trn)
			}
		}
		if live == 0 {
			break
		}
		// The order of arrival depends on the goroutine scheduler and must not influence the run.
		slices.SortFunc(waiting, func(one, two turn) int { return one.editor - two.editor })
		pick := rnd.IntN(len(waiting))
		trn := waiting[pick]
		waiting = append(waiting[:pick], waiting[pick+1:]...)
		if rnd.IntN(12) == 0 {
			trn.kill()
		}
		trn.run <- []fault{none, none, held, held, refused, responseLost, writeLost, writeDelayed}[rnd.IntN(8)]
	}
	str.before = nil
	for _, lst := range results {
		all = append(all, lst...)
	}
	return all
}

// Guards against lost updates and wrong outcomes: every accepted edit is in the final document or was overwritten by a later
// accepted edit of its entry, no refused edit was ever in the store, and each unknown outcome can be resolved.
func TestConcurrentEditors(t *testing.T) {
	num := uint64(seed(t))
	outcomes := map[string]int{}
	for rnd, idx := rand.New(rand.NewPCG(num, 1)), 0; idx < 100 && !t.Failed(); idx++ {
		str, _ := filledStore(t)
		all := runEditors(t, rnd, str)
		accepted := map[string]bool{"o": true}
		for _, att := range all {
			var unk *catlg.EditUnknownError
			if outcome := fmt.Sprintf("%T", errors.Unwrap(att.err)); errors.As(att.err, &unk) {
				outcomes["unknown"]++
				att.edit.ID = unk.EditID
				att.acc, att.err = editor(str, "resolver").Put(t.Context(), att.edit)
			} else {
				outcomes[outcome]++
			}
			if accepted[att.token] = att.err == nil; att.err == nil && att.edit.ID != "" {
				outcomes["resolved as accepted"]++
			}
		}
		doc, _, err := editor(str, "reader").Get(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, att := range all {
			ent, _ := doc.Entry(att.entry)
			written := strings.Contains(strings.Join(str.history, ""), `"`+att.token+`"`)
			switch {
			case written != (att.err == nil):
				t.Errorf("run %d: %s was written: %v, but its outcome is %v", idx, att.token, written, att.err)
			case att.err == nil && (ent.Version < att.acc.Version || ent.Version == att.acc.Version && ent.Owner != att.token):
				t.Errorf("run %d: %s was accepted at version %d, the entry has version %d of %s", idx, att.token, att.acc.Version, ent.Version, ent.Owner)
			case ent.Name != "" && !accepted[ent.Owner]:
				t.Errorf("run %d: %s of %s is in the document but was not accepted", idx, ent.Name, ent.Owner)
			}
		}
	}
	t.Log(outcomes)
	for _, nam := range []string{"<nil>", "unknown", "resolved as accepted"} {
		if outcomes[nam] == 0 {
			t.Errorf("no edit ended as %s: the test does not cover this outcome", nam)
		}
	}
}
