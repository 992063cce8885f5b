package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
)

// baseSuffix is appended to the file name for the unchanged copy that get writes.
const baseSuffix = ".base"

// CatalogueCmd groups the commands on the catalogue.
type CatalogueCmd struct {
	Check    CatalogueCheckCmd    `cmd:"" help:"Check a catalogue file without the store."`
	Get      CatalogueGetCmd      `cmd:"" help:"Read the catalogue from the store."`
	Put      CataloguePutCmd      `cmd:"" help:"Put an edited catalogue file into the store."`
	Diff     CatalogueDiffCmd     `cmd:"" help:"Show what a file would change in the store, or between two files."`
	Watch    CatalogueWatchCmd    `cmd:"" help:"Show each edit as it is accepted."`
	Rollback CatalogueRollbackCmd `cmd:"" help:"Restore one entry from an earlier catalogue file."`
	Who      CatalogueWhoCmd      `cmd:"" help:"Show who owns and who last edited entries."`
}

// StoreFlags select the store and the key of the catalogue.
type StoreFlags struct {
	Store   string        `help:"Address of the store, IP address and port." required:""`
	Key     string        `help:"Key of the catalogue in the store." default:"catalogue"`
	Timeout time.Duration `help:"Time allowed for reading and writing." default:"10s"`
}

// open returns an Editor and its store. The cleanup function closes the connections to the store.
func (flg StoreFlags) open(env Env, who string) (edt *catlg.Editor, str cardamompass.Store, cleanup func(), err error) {
	str, cleanup, err = env.NewStore(flg.Store)
	if err != nil {
		return nil, nil, nil, errors.WithMessage(err, "store")
	}
	return catlg.NewEditor(catlg.EditorConfig{
		Store:    str,
		Key:      flg.Key,
		Clock:    cardamompass.SystemClock{},
		EditedBy: who,
	}), str, cleanup, nil
}

// read reads the document from the store.
func (flg StoreFlags) read(ctx context.Context, env Env) (doc *catlg.Document, err error) {
	edt, _, cleanup, err := flg.open(env, "")
	if err != nil {
		return nil, err
	}
	defer cleanup()
	ctx, cancel := context.WithTimeout(ctx, flg.Timeout)
	defer cancel()
	doc, _, err = edt.Get(ctx)
	return doc, err
}

func readFile(path string) (doc *catlg.Document, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithMessage(err, "catalogue")
	}
	return catlg.ParseFile(path, data)
}

func printDiff(out io.Writer, old, edited *catlg.Document) (err error) {
	chgs := catlg.Diff(old, edited)
	for _, chg := range chgs {
		if _, err = fmt.Fprintln(out, chg); err != nil {
			return err
		}
	}
	if len(chgs) == 0 {
		_, err = fmt.Fprintln(out, "no changes")
	}
	return err
}

// CatalogueCheckCmd checks a catalogue file.
type CatalogueCheckCmd struct {
	File string `arg:"" help:"Catalogue file." type:"path"`
}

// Run reports that the file is valid, or returns all its problems.
func (cmd *CatalogueCheckCmd) Run(env Env) (err error) {
	doc, err := readFile(cmd.File)
	if err != nil {
		return err
	}
	if err = catlg.Validate(doc); err != nil {
		return errors.WithMessage(err, cmd.File)
	}
	_, err = fmt.Fprintf(env.Out, "%s: valid; version=%d entries=%d\n", cmd.File, doc.Version(), doc.Len())
	return err
}

// CatalogueGetCmd reads the catalogue from the store.
type CatalogueGetCmd struct {
	StoreFlags
	File string `arg:"" optional:"" help:"File to write, with a copy FILE.base for put. Default: standard output." type:"path"`
}

// Run writes the document to the file, or to standard output.
func (cmd *CatalogueGetCmd) Run(ctx context.Context, env Env) (err error) {
	doc, err := cmd.read(ctx, env)
	if err != nil {
		return err
	}
	data, err := catlg.MarshalIndent(doc)
	if err != nil {
		return err
	}
	if cmd.File == "" {
		_, err = env.Out.Write(data)
		return err
	}
	for _, pth := range []string{cmd.File + baseSuffix, cmd.File} {
		if err = os.WriteFile(pth, data, 0o644); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(env.Out, "%s: version=%d entries=%d\n", cmd.File, doc.Version(), doc.Len())
	return err
}

// CatalogueDiffCmd compares a catalogue file with the store or with another file.
type CatalogueDiffCmd struct {
	Store   string        `help:"Address of the store, IP address and port."`
	Key     string        `help:"Key of the catalogue in the store." default:"catalogue"`
	Timeout time.Duration `help:"Time allowed for reading." default:"10s"`
	File    string        `arg:"" help:"Catalogue file." type:"path"`
	Edited  string        `arg:"" optional:"" help:"Second file. Default: compare the store with FILE." type:"path"`
}

// Run prints the changes from the store to File, or from File to Edited.
func (cmd *CatalogueDiffCmd) Run(ctx context.Context, env Env) (err error) {
	fst, err := readFile(cmd.File)
	if err != nil {
		return err
	}
	if cmd.Edited != "" {
		snd, err := readFile(cmd.Edited)
		if err != nil {
			return err
		}
		return printDiff(env.Out, fst, snd)
	}
	if cmd.Store == "" {
		return errors.New("give --store or a second file")
	}
	flg := StoreFlags{
		Store:   cmd.Store,
		Key:     cmd.Key,
		Timeout: cmd.Timeout,
	}
	cur, err := flg.read(ctx, env)
	if err != nil {
		return err
	}
	return printDiff(env.Out, cur, fst)
}

// CatalogueWhoCmd shows the owners of entries and the authors of their last edits.
type CatalogueWhoCmd struct {
	StoreFlags
	Entry string `arg:"" optional:"" help:"Name of one entry. Default: all entries."`
}

// Run prints one line for each entry, including deleted ones.
func (cmd *CatalogueWhoCmd) Run(ctx context.Context, env Env) (err error) {
	doc, err := cmd.read(ctx, env)
	if err != nil {
		return err
	}
	ents := doc.Entries()
	if cmd.Entry != "" {
		ent, ok := doc.Entry(catlg.EntryName(cmd.Entry))
		if !ok {
			return errors.Errorf("%s is not in the catalogue", cmd.Entry)
		}
		ents = []catlg.Entry{ent}
	}
	for _, ent := range ents {
		if _, err = fmt.Fprintf(env.Out, "entry=%s owner=%q version=%d edited-by=%q edited-at=%s deleted=%t\n",
			ent.Name, ent.Owner, ent.Version, ent.EditedBy, ent.EditedAt.Format(time.RFC3339), ent.Deleted); err != nil {
			return err
		}
	}
	return nil
}
