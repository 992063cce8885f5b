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
	// Clock stamps edits and times the pauses between attempts.
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

// Edit is a set of changes: what differs between Base and Edited. Versions and editors in Edited do not matter.
type Edit struct {
	// ID identifies the edit; empty for a new one. Only an edit whose outcome is unknown is put again with its id.
	ID string
	// Base is the document that was read.
	Base *Document
	// Edited is the document as it should be. An entry of Base that it lacks is deleted.
	Edited *Document
}

// Rollback is an edit that restores one entry.
type Rollback struct {
	// ID identifies the edit as in Edit.
	ID string
	// Entry names the entry.
	Entry EntryName
	// From is an earlier document that holds the state to restore.
	From *Document
}

// Accepted is an edit that is in the store.
type Accepted struct {
	// EditID identifies the edit.
	EditID string
	// Version is the document version that the edit made.
	Version uint64
	// Document is the document of the store with the edit, and perhaps with later ones.
	Document *Document
	// Revision is the store's revision of Document.
	Revision int64
}

// Get reads the document. A store without the key has the empty document at revision 0.
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

// Put makes an edit. Entries that others changed since are kept if the edit does not change them.
//
// Errors: *RaceError if it does; *jsonc.ProblemsError if the edit would bring a fault into the document;
// *cardamompass.InvalidError for an edit without changes, editor or well-formed id; *EditUnknownError if the outcome
// could not be found out before ctx ended. After any other error nothing was changed. ctx should have a deadline.
func (edt *Editor) Put(ctx context.Context, edit Edit) (acc Accepted, err error) {
	defer func() {
		err = errors.WithMessage(err, "put catalogue")
	}()
	return edt.put(ctx, edit.ID, edit.Base.Version(), Diff(edit.Base, edit.Edited))
}

// Rollback makes an edit that gives one entry the content that it had in an earlier document. Errors are as for Put.
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
		return Accepted{}, edt.unsettled(rbk.ID, err)
	}
	now, _ := cur.Entry(rbk.Entry)
	return edt.put(ctx, rbk.ID, rbk.From.Version(), []Change{{
		Name: rbk.Entry,
		Old:  now,
		New:  old,
	}})
}

// unsettled marks a failure of an edit that an earlier call may have sent.
func (edt *Editor) unsettled(id string, err error) error {
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
		edt:  edt,
		id:   id,
		chgs: chgs,
		sum:  contentOf(chgs),
		at:   edt.cfg.Clock.Now(),
		bof:  bof,
	}
	if id != "" {
		if !editIDPattern.MatchString(id) {
			return Accepted{}, &cardamompass.InvalidError{
				Field:  "edit-id",
				Reason: "use 1 to 64 of A-Z, a-z, 0-9, '.', '_' and '-'",
			}
		}
		ppt.resumed = true
		ppt.sent = firstVersion(id, base)
	}
	return ppt.run(ctx)
}

// newEditID returns an id that starts with the lowest version that the edit can make. A later call with this id thereby
// knows whether the record of the edit may already have left the document.
func newEditID(version uint64) string {
	return strconv.FormatUint(version, 10) + "-" + rand.Text()
}

// firstVersion returns the lowest version that the edit id can have made when it was based on base.
func firstVersion(id string, base uint64) uint64 {
	txt, _, _ := strings.Cut(id, "-")
	if ver, err := strconv.ParseUint(txt, 10, 64); err == nil && ver > base {
		return ver
	}
	return base + 1
}
