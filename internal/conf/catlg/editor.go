package catlg

import (
	"context"
	"crypto/rand"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"cardamompass"
)

// EditorConfig configures an Editor.
type EditorConfig struct {
	// Store holds the document.
	Store cardamompass.Store
	// Key is the document's key in the store.
	Key string
	// Clock supplies the time of edits and the timers between attempts.
	Clock cardamompass.Clock
	// EditedBy names the person who makes the edits.
	EditedBy string
}

// Editor reads and edits the document in the store. It is safe for concurrent use and holds no resources.
type Editor struct {
	cfg EditorConfig
}

// NewEditor returns an Editor.
func NewEditor(cfg EditorConfig) *Editor {
	return &Editor{
		cfg: cfg,
	}
}

// Edit is a set of changes: the differences between Base and Edited. Versions, authors and edit times in Edited are ignored.
type Edit struct {
	// ID identifies the edit; empty for a new one. It is set only to repeat an edit whose outcome is unknown.
	ID string
	// Base is the document that was read.
	Base *Document
	// Edited is the wanted document. Entries of Base that are missing in it are deleted.
	Edited *Document
}

// Rollback is an edit that restores one entry.
type Rollback struct {
	// ID identifies the edit as in Edit.
	ID    string
	Entry EntryName
	// From is an earlier document that holds the state to restore.
	From *Document
}

// Accepted describes an edit that is in the store.
type Accepted struct {
	// EditID identifies the edit.
	EditID string
	// Version is the document version that the edit produced.
	Version uint64
	// Document is the document in the store. It contains the edit and possibly later ones.
	Document *Document
	// Revision is the store's revision of Document.
	Revision int64
}

// Get reads the document. If the key is not in the store, it returns the empty document and revision 0.
func (edt *Editor) Get(ctx context.Context) (doc *Document, revision int64, err error) {
	defer func() {
		err = errors.WithMessage(err, "read catalogue")
	}()
	val, err := edt.cfg.Store.Get(ctx, edt.cfg.Key)
	var missing *cardamompass.NotFoundError
	if errors.As(err, &missing) {
		return Empty(), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	doc, err = Parse(val.Data)
	return doc, val.Revision, err
}

// Put makes an edit. Entries that others have changed since Base was read are kept if the edit does not change them.
//
// It returns an *EditConflictError if the edit changes such an entry; a *jsonc.ProblemsError if it would introduce a problem into
// the document; a *cardamompass.InvalidError if it has no changes, no author or a malformed id; an *EditUnknownError if the
// outcome could not be determined before ctx ended. After any other error nothing was changed. ctx should have a deadline.
func (edt *Editor) Put(ctx context.Context, edit Edit) (acc Accepted, err error) {
	defer func() {
		err = errors.WithMessage(err, "put catalogue")
	}()
	return edt.put(ctx, edit.ID, edit.Base.Version(), Diff(edit.Base, edit.Edited))
}

// Rollback makes an edit that restores one entry to its content in an earlier document. It returns the same errors as Put.
func (edt *Editor) Rollback(ctx context.Context, rbk Rollback) (acc Accepted, err error) {
	defer func() {
		err = errors.WithMessage(err, "roll back catalogue")
	}()
	old, ok := rbk.From.Entry(rbk.Entry)
	if !ok {
		return Accepted{}, &cardamompass.InvalidError{
			Field:  string(rbk.Entry),
			Reason: "is not in the earlier document",
		}
	}
	cur, _, err := edt.Get(ctx)
	if err != nil {
		return Accepted{}, edt.unknownOutcome(rbk.ID, err)
	}
	now, _ := cur.Entry(rbk.Entry)
	return edt.put(ctx, rbk.ID, rbk.From.Version(), []Change{{
		Name: rbk.Entry,
		Old:  now,
		New:  old,
	}})
}

// unknownOutcome returns err as an *EditUnknownError if id is set, because an earlier call may have sent the edit.
func (edt *Editor) unknownOutcome(id string, err error) error {
	if id == "" {
		return err
	}
	return &EditUnknownError{
		EditID: id,
		Err:    err,
	}
}

var editIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

func (edt *Editor) put(ctx context.Context, id string, base uint64, chgs []Change) (acc Accepted, err error) {
	if !printable(edt.cfg.EditedBy) {
		return Accepted{}, &cardamompass.InvalidError{
			Field:  "edited-by",
			Reason: "name the person who makes the edit, in 1 to 128 printable characters",
		}
	}
	bof := backoff.NewExponentialBackOff()
	bof.InitialInterval = 20 * time.Millisecond // a few round trips to the store
	bof.MaxInterval = 2 * time.Second           // bounds the calls of an editor during a store outage
	ppt := &pendingPut{
		edt:         edt,
		id:          id,
		chgs:        chgs,
		contentHash: hashChanges(chgs),
		at:          edt.cfg.Clock.Now(),
		bof:         bof,
	}
	if id != "" {
		if !editIDPattern.MatchString(id) {
			return Accepted{}, &cardamompass.InvalidError{
				Field:  "edit-id",
				Reason: "use 1 to 64 of A-Z, a-z, 0-9, '.', '_' and '-'",
			}
		}
		ppt.resumed = true
		ppt.pendingVersion = firstVersion(id, base)
	}
	return ppt.run(ctx)
}

// newEditID returns an id that starts with the lowest version that the edit can produce. A later call with this id uses it
// to determine whether the record of the edit may have been evicted from the document.
func newEditID(version uint64) string {
	return strconv.FormatUint(version, 10) + "-" + rand.Text()
}

// firstVersion returns the lowest version that the edit with the given id, based on version base, can have produced.
func firstVersion(id string, base uint64) uint64 {
	txt, _, _ := strings.Cut(id, "-")
	if ver, err := strconv.ParseUint(txt, 10, 64); err == nil && ver > base {
		return ver
	}
	return base + 1
}
