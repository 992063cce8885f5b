package catlg

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/conf/jsonc"
)

// pendingPut is one edit on its way into the store.
//
// A compare-and-swap whose answer was lost may take effect until the key's revision changes. Reading back tells: the
// edit's id in the document means accepted; another revision without the id means that the write lost; the same
// revision means that the write may be repeated.
type pendingPut struct {
	edt  *Editor
	id   string
	chgs []Change
	sum  uint64
	at   time.Time
	bof  *backoff.ExponentialBackOff

	// resumed is set when an earlier call may have sent the edit. That call's revision is not known, so its write
	// can be pending at any revision.
	resumed bool
	// sent is the lowest document version that a write with unknown outcome may have made; 0 when there is none.
	sent uint64
	// sentAt is the revision on which the write with unknown outcome was conditional.
	sentAt int64
}

func (ppt *pendingPut) run(ctx context.Context) (acc Accepted, err error) {
	for {
		acc, done, err := ppt.attempt(ctx)
		if done || err != nil && !ppt.mayRetry(err) {
			return acc, err
		}
		if werr := ppt.wait(ctx); werr != nil {
			if err == nil {
				err = werr
			}
			return Accepted{}, ppt.failed(err)
		}
	}
}

// failed returns err, marked as unknown outcome if a write may have taken effect.
func (ppt *pendingPut) failed(err error) error {
	if ppt.sent == 0 {
		return err
	}
	return &EditUnknownError{
		EditID: ppt.id,
		Err:    err,
	}
}

// storeError is a failed call of the store. It hides nothing from errors.As.
type storeError struct{ error }

func (err storeError) Unwrap() error { return err.error }

// mayRetry reports whether the settling goes on after err: after lost races for the revision, and after any failure of
// the store while the outcome of a write is unknown.
func (ppt *pendingPut) mayRetry(err error) bool {
	var (
		cfl *cardamompass.ConflictError
		unk *cardamompass.WriteUnknownError
		sto storeError
	)
	if errors.As(err, &cfl) || errors.As(err, &unk) {
		return true
	}
	return errors.As(err, &sto) && ppt.sent != 0
}

// attempt reads the document, looks for the edit, and else tries one compare-and-swap.
func (ppt *pendingPut) attempt(ctx context.Context) (acc Accepted, done bool, err error) {
	cur, rev, err := ppt.edt.Get(ctx)
	if err != nil {
		return Accepted{}, false, ppt.readFailed(err)
	}
	if ppt.id == "" {
		ppt.id = newEditID(cur.Version() + 1)
	}
	acc, done, err = ppt.find(cur, rev)
	if done || err != nil {
		return acc, true, err
	}
	nxt, data, err := ppt.prepare(cur)
	if err != nil {
		return Accepted{}, true, err
	}
	val, err := ppt.edt.cfg.Store.Put(ctx, ppt.edt.cfg.Key, data, rev)
	if err == nil {
		return Accepted{
			EditID:   ppt.id,
			Version:  nxt.Version(),
			Document: nxt,
			Revision: val.Revision,
		}, true, nil
	}
	var unk *cardamompass.WriteUnknownError
	if errors.As(err, &unk) && ppt.sent == 0 {
		ppt.sent, ppt.sentAt = nxt.Version(), rev
	}
	return Accepted{}, false, storeError{error: err}
}

// readFailed tells a store that failed from a document that cannot be read.
func (ppt *pendingPut) readFailed(err error) error {
	var bad *jsonc.ProblemsError
	if errors.As(err, &bad) {
		return ppt.failed(err)
	}
	return storeError{error: err}
}

// find looks for the edit in the document that was read back.
func (ppt *pendingPut) find(cur *Document, rev int64) (acc Accepted, done bool, err error) {
	if rec, ok := cur.Edit(ppt.id); ok {
		if rec.Content != ppt.sum {
			return Accepted{}, true, &cardamompass.InvalidError{
				Field:  "edit-id",
				Reason: ppt.id + " is the id of another edit, by " + rec.By,
			}
		}
		return Accepted{
			EditID:   ppt.id,
			Version:  rec.Version,
			Document: cur,
			Revision: rev,
		}, true, nil
	}
	if ppt.sent == 0 {
		return Accepted{}, false, nil
	}
	if evicted(cur, ppt.sent) {
		return Accepted{}, true, ppt.failed(errors.Errorf("more than %d edits were made since", MaxEdits))
	}
	if !ppt.resumed && rev != ppt.sentAt {
		ppt.sent = 0 // the write was conditional on a revision that is gone
	}
	return Accepted{}, false, nil
}

// evicted reports whether the record of an edit that made a version from sent on may have left the document.
func evicted(cur *Document, sent uint64) bool {
	return len(cur.edits) == MaxEdits && cur.edits[MaxEdits-1].Version >= sent
}

// prepare applies the changes to the current document.
func (ppt *pendingPut) prepare(cur *Document) (nxt *Document, data []byte, err error) {
	var (
		rcs  []EditConflict
		ents []Entry
		ver  = cur.Version() + 1
	)
	for _, chg := range ppt.chgs {
		now := cur.ents[chg.Name]
		if now.Name != chg.Old.Name || now.compare(chg.Old) != 0 {
			rcs = append(rcs, EditConflict{
				Entry: chg.Name,
				Read:  chg.Old.Version,
				Have:  now.Version,
				By:    now.EditedBy,
				At:    now.EditedAt,
			})
		}
		ent := chg.New
		if !ent.live() {
			ent = now.Tombstone()
		}
		// An entry that is gone needs no second tombstone, whoever owned it.
		if (ent.live() || now.live()) && !ent.SameContent(now) {
			ents = append(ents, ent.stamped(ver, ppt.edt.cfg.EditedBy, ppt.at))
		}
	}
	if len(rcs) > 0 {
		return nil, nil, &EditConflictError{
			EditID:    ppt.id,
			Conflicts: rcs,
		}
	}
	if len(ents) == 0 {
		return nil, nil, &cardamompass.InvalidError{
			Field:  "edit",
			Reason: "changes nothing",
		}
	}
	nxt = cur.WithEntry(ents...).withEdit(EditRecord{
		ID:      ppt.id,
		Version: ver,
		By:      ppt.edt.cfg.EditedBy,
		Content: ppt.sum,
	})
	if err = addedFaults(cur, nxt); err != nil {
		return nil, nil, err
	}
	data, err = Marshal(nxt)
	return nxt, data, err
}

// addedFaults returns the faults of nxt that cur does not have. A merge of two histories can leave faults, and these
// must not stop edits of other entries.
func addedFaults(cur, nxt *Document) (err error) {
	var before, after *jsonc.ProblemsError
	if err = Validate(nxt); !errors.As(err, &after) {
		return err
	}
	old := map[jsonc.Problem]bool{}
	if errors.As(Validate(cur), &before) {
		for _, prb := range before.Problems {
			old[prb] = true
		}
	}
	var added []jsonc.Problem
	for _, prb := range after.Problems {
		if !old[prb] {
			added = append(added, prb)
		}
	}
	if len(added) == 0 {
		return nil
	}
	return &jsonc.ProblemsError{
		Problems: added,
	}
}

func (ppt *pendingPut) wait(ctx context.Context) (err error) {
	tmr := ppt.edt.cfg.Clock.NewTimer(ppt.bof.NextBackOff())
	defer tmr.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tmr.C():
		return ctx.Err()
	}
}

// contentOf returns a hash of what an edit changes, not of what it is based on.
func contentOf(chgs []Change) uint64 {
	dig := xxhash.New()
	for _, chg := range chgs {
		ent := Entry{
			Owner:   chg.New.Owner,
			Deleted: !chg.New.live(),
			raw:     chg.New.raw,
		}
		if ent.Deleted {
			ent.Owner = ""
		}
		_, _ = dig.WriteString(string(chg.Name) + "\n")
		_, _ = dig.Write(append(encodeEntry(ent), '\n'))
	}
	return dig.Sum64()
}
