package main

import (
	"context"
	"fmt"
	"io/fs"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
)

// watchWait is the longest time that one watch call waits for a change.
const watchWait = 30 * time.Second

// CataloguePutCmd puts an edited catalogue file into the store.
type CataloguePutCmd struct {
	StoreFlags
	File   string `arg:"" help:"Edited catalogue file." type:"path"`
	Base   string `help:"The file as written by get. Default: FILE.base, which get writes." type:"path"`
	By     string `help:"Name of the person who makes the edit." required:""`
	EditID string `help:"Id of an edit whose outcome is unknown, to resolve it."`
}

// Run prints the changes between the base and the file and applies them. Everything else stays unchanged.
func (cmd *CataloguePutCmd) Run(ctx context.Context, env Env) (err error) {
	edited, err := readFile(cmd.File)
	if err != nil {
		return err
	}
	edt, _, cleanup, err := cmd.open(env, cmd.By)
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, cancel := context.WithTimeout(ctx, cmd.Timeout)
	defer cancel()
	base, err := cmd.base(ctx, edt, edited)
	if err != nil {
		return err
	}
	if err = printDiff(env.Out, base, edited); err != nil {
		return err
	}
	acc, err := edt.Put(ctx, catlg.Edit{
		ID:     cmd.EditID,
		Base:   base,
		Edited: edited,
	})
	if err = report(env, acc, err); err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.Err, "read the catalogue with get before the next edit of %s\n", cmd.File)
	return err
}

// base returns the document on which the file is based. Without a base file this is the document in the store, provided that
// the file has the same version: changes since an older version could not be distinguished from those of the file.
func (cmd *CataloguePutCmd) base(ctx context.Context, edt *catlg.Editor, edited *catlg.Document) (doc *catlg.Document, err error) {
	pth := cmd.Base
	if pth == "" {
		pth = cmd.File + baseSuffix
	}
	doc, err = readFile(pth)
	if err == nil || cmd.Base != "" || !errors.Is(err, fs.ErrNotExist) {
		return doc, err
	}
	doc, _, err = edt.Get(ctx)
	if err != nil {
		return nil, err
	}
	if doc.Version() != 0 && doc.Version() != edited.Version() {
		return nil, errors.Errorf("%s has version %d, the store has version %d, and there is no %s; "+
			"read the catalogue with get and edit that file", cmd.File, edited.Version(), doc.Version(), pth)
	}
	return doc, nil
}

// report prints an accepted edit, or how to resolve an edit whose outcome is unknown.
func report(env Env, acc catlg.Accepted, err error) error {
	var unk *catlg.EditUnknownError
	if errors.As(err, &unk) {
		_, _ = fmt.Fprintf(env.Err, "run the same command with --edit-id %s to settle the edit\n", unk.EditID)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.Out, "accepted; version=%d edit-id=%s\n", acc.Version, acc.EditID)
	return err
}

// CatalogueRollbackCmd restores an entry from an earlier catalogue file.
type CatalogueRollbackCmd struct {
	StoreFlags
	Entry  string `arg:"" help:"Name of the entry, for example service/ledger."`
	From   string `help:"Earlier catalogue file with the state to restore." required:"" type:"path"`
	By     string `help:"Name of the person who makes the edit." required:""`
	EditID string `help:"Id of an edit whose outcome is unknown, to resolve it."`
}

// Run makes a new edit that restores the entry.
func (cmd *CatalogueRollbackCmd) Run(ctx context.Context, env Env) (err error) {
	from, err := readFile(cmd.From)
	if err != nil {
		return err
	}
	edt, _, cleanup, err := cmd.open(env, cmd.By)
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, cancel := context.WithTimeout(ctx, cmd.Timeout)
	defer cancel()
	acc, err := edt.Rollback(ctx, catlg.Rollback{
		ID:    cmd.EditID,
		Entry: catlg.EntryName(cmd.Entry),
		From:  from,
	})
	return report(env, acc, err)
}

// CatalogueWatchCmd watches the catalogue for edits.
type CatalogueWatchCmd struct {
	StoreFlags
	Count int `help:"Exit after this number of edits; 0 for no limit." default:"0"`
}

// Run prints the changes of each new document until ctx ends or Count documents have been printed. Edits in quick succession may
// be printed together. A store failure is printed, and watching continues.
func (cmd *CatalogueWatchCmd) Run(ctx context.Context, env Env) (err error) {
	edt, str, cleanup, err := cmd.open(env, "")
	if err != nil {
		return err
	}
	defer cleanup()
	doc, rev, err := edt.Get(ctx)
	if err != nil {
		return err
	}
	if _, err = fmt.Fprintf(env.Out, "version=%d entries=%d\n", doc.Version(), doc.Len()); err != nil {
		return err
	}
	for shown := 0; cmd.Count == 0 || shown < cmd.Count; {
		nxt, now, err := cmd.next(ctx, str, rev)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			_, _ = fmt.Fprintln(env.Err, err)
			_ = retryPause(ctx) // a cancelled ctx ends the loop at the next call
		}
		if err != nil || nxt == nil {
			continue
		}
		if _, err = fmt.Fprintf(env.Out, "version=%d entries=%d\n", nxt.Version(), nxt.Len()); err != nil {
			return err
		}
		if err = printDiff(env.Out, doc, nxt); err != nil {
			return err
		}
		doc, rev = nxt, now
		shown++
	}
	return nil
}

// next waits for a document with a revision above rev. It returns nil if there is none within watchWait.
func (cmd *CatalogueWatchCmd) next(ctx context.Context, str cardamompass.Store, rev int64) (doc *catlg.Document, now int64, err error) {
	val, err := str.Watch(ctx, cmd.Key, rev, watchWait)
	var missing *cardamompass.NotFoundError
	switch {
	case errors.As(err, &missing):
		return nil, rev, retryPause(ctx)
	case err != nil:
		return nil, rev, errors.WithMessage(err, "watch catalogue")
	case val.Revision <= rev:
		return nil, rev, nil
	}
	doc, err = catlg.Parse(val.Data)
	return doc, val.Revision, err
}

// retryPause waits one second, so that a watch that fails immediately does not call the store in a busy loop.
func retryPause(ctx context.Context) (err error) {
	tmr := time.NewTimer(time.Second)
	defer tmr.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tmr.C:
		return nil
	}
}
