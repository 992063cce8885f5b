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

// pendingPut is an edit whose outcome is not yet known.
//
// A compare-and-swap without a response may take effect until the key's revision changes. Reading the document again gives
// the outcome: if it contains the edit's id, the edit was accepted; if the revision changed and the id is missing, the write
// had no effect; if the revision is the same, the write may be repeated.
type pendingPut struct {
	edt         *Editor
	id          string
	chgs        []Change
	contentHash uint64
	at          time.Time
	bof         *backoff.ExponentialBackOff

	// resumed is set when an earlier call may have sent the edit. The revision on which that write was conditional is not
	// known, so it may take effect at any revision.
	resumed bool
	// pendingVersion is the lowest document version that a write with unknown outcome may have produced; 0 if there is none.
	pendingVersion uint64
	// pendingRevision is the revision on which the write with unknown outcome was conditional.
	pendingRevision int64
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
			return Accepted{}, ppt.outcomeError(err)
		}
	}
}

// outcomeError returns err, as an *EditUnknownError if a write may have taken effect.
func (ppt *pendingPut) outcomeError(err error) error {
	if ppt.pendingVersion == 0 {
		return err
	}
	return &EditUnknownError{
		EditID: ppt.id,
		Err:    err,
	}
}

// storeError marks the error of a failed store call. The cause remains visible to errors.As.
type storeError struct{ error }

func (err storeError) Unwrap() error { return err.error }

// mayRetry reports whether another attempt follows after err. It does after a revision conflict, and after any failure of the
// store while the outcome of a write is unknown.
func (ppt *pendingPut) mayRetry(err error) bool {
	var (
		cfl *cardamompass.ConflictError
		unk *cardamompass.WriteUnknownError
		sto storeError
	)
	if errors.As(err, &cfl) || errors.As(err, &unk) {
		return true
	}
	return errors.As(err, &sto) && ppt.pendingVersion != 0
}

// attempt reads the document and looks for the edit. If it is not there, attempt tries one compare-and-swap.
func (ppt *pendingPut) attempt(ctx context.Context) (acc Accepted, done bool, err error) {
	cur, rev, err := ppt.edt.Get(ctx)
	if err != nil {
		return Accepted{}, false, ppt.readError(err)
	}
	if ppt.id == "" {
		ppt.id = newEditID(cur.Version() + 1)
	}
	acc, done, err = ppt.findEdit(cur, rev)
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
	if errors.As(err, &unk) && ppt.pendingVersion == 0 {
		ppt.pendingVersion, ppt.pendingRevision = nxt.Version(), rev
	}
	return Accepted{}, false, storeError{error: err}
}

// readError distinguishes a failed store call, which may be retried, from a document that cannot be parsed.
func (ppt *pendingPut) readError(err error) error {
	var bad *jsonc.ProblemsError
	if errors.As(err, &bad) {
		return ppt.outcomeError(err)
	}
	return storeError{error: err}
}

// findEdit looks for the edit in the document cur, read at revision rev.
func (ppt *pendingPut) findEdit(cur *Document, rev int64) (acc Accepted, done bool, err error) {
	if rec, ok := cur.Edit(ppt.id); ok {
		if rec.Content != ppt.contentHash {
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
	if ppt.pendingVersion == 0 {
		return Accepted{}, false, nil
	}
	if evicted(cur, ppt.pendingVersion) {
		return Accepted{}, true, ppt.outcomeError(errors.Errorf("more than %d edits were made since", MaxEdits))
	}
	if !ppt.resumed && rev != ppt.pendingRevision {
		ppt.pendingVersion = 0 // the write was conditional on an earlier revision and can no longer take effect
	}
	return Accepted{}, false, nil
}

// evicted reports whether cur may have dropped the record of an edit that produced the given version or a later one.
func evicted(cur *Document, version uint64) bool {
	return len(cur.edits) == MaxEdits && cur.edits[MaxEdits-1].Version >= version
}

// prepare applies the changes to the current document.
func (ppt *pendingPut) prepare(cur *Document) (nxt *Document, data []byte, err error) {
	var (
		cfs  []EditConflict
		ents []Entry
		ver  = cur.Version() + 1
	)
	for _, chg := range ppt.chgs {
		now := cur.ents[chg.Name]
		if now.Name != chg.Old.Name || now.compare(chg.Old) != 0 {
			cfs = append(cfs, EditConflict{
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
		// An entry that is missing or deleted gets no new tombstone, even if the owner differs.
		if (ent.live() || now.live()) && !ent.SameContent(now) {
			ents = append(ents, ent.stamped(ver, ppt.edt.cfg.EditedBy, ppt.at))
		}
	}
	if len(cfs) > 0 {
		return nil, nil, &EditConflictError{
			EditID:    ppt.id,
			Conflicts: cfs,
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
		Content: ppt.contentHash,
	})
	if err = addedProblems(cur, nxt); err != nil {
		return nil, nil, err
	}
	data, err = Marshal(nxt)
	return nxt, data, err
}

// addedProblems returns the problems of nxt that cur does not have. A merge of two histories can leave problems in the
// document, and these must not prevent edits of other entries.
func addedProblems(cur, nxt *Document) (err error) {
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

// hashChanges returns a hash of what an edit changes, without the state on which the edit is based.
func hashChanges(chgs []Change) uint64 {
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
