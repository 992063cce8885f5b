package catlg

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cardamompass/internal/conf/jsonc"
)

// maxParseBytes bounds the input of Parse. It exceeds the size limit of Validate, so that indented files of documents of the
// largest size can be read.
const maxParseBytes = 4 << 20

type documentJSON struct {
	Version uint64                        `json:"version"`
	Edits   []editJSON                    `json:"edits,omitempty"`
	Entries map[EntryName]json.RawMessage `json:"entries"`
}

type editJSON struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	By      string `json:"by"`
	Content string `json:"content"` // 16 hexadecimal digits
}

type entryJSON struct {
	Owner    string          `json:"owner"`
	Version  uint64          `json:"version"`
	EditedBy string          `json:"edited-by,omitempty"`
	EditedAt string          `json:"edited-at,omitempty"` // RFC 3339, UTC
	Deleted  bool            `json:"deleted,omitempty"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// Marshal returns the JSON encoding of a document for the store. Equal documents have equal encodings.
func Marshal(doc *Document) (data []byte, err error) {
	frm := documentJSON{
		Version: doc.version,
		Entries: map[EntryName]json.RawMessage{},
	}
	for _, rec := range doc.edits {
		frm.Edits = append(frm.Edits, editJSON{
			ID:      rec.ID,
			Version: rec.Version,
			By:      rec.By,
			Content: formatHash(rec.Content),
		})
	}
	for nam, ent := range doc.ents {
		frm.Entries[nam] = encodeEntry(ent)
	}
	data, err = encode(frm)
	return data, errors.WithMessage(err, "catalogue")
}

// MarshalIndent is like Marshal but indents the output.
func MarshalIndent(doc *Document) (data []byte, err error) {
	raw, err := Marshal(doc)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	if err = json.Indent(&buf, raw, "", "  "); err != nil {
		return nil, errors.WithMessage(err, "catalogue")
	}
	buf.WriteByte('\n')
	return buf.Bytes(), nil
}

// encode is like json.Marshal but does not escape HTML characters.
func encode(val any) (data []byte, err error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	err = enc.Encode(val)
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n")), err
}

func encodeEntry(ent Entry) (data []byte) {
	frm := entryJSON{
		Owner:    ent.Owner,
		Version:  ent.Version,
		EditedBy: ent.EditedBy,
		Deleted:  ent.Deleted,
		Spec:     ent.raw,
	}
	if !ent.EditedAt.IsZero() {
		frm.EditedAt = ent.EditedAt.Format(time.RFC3339Nano)
	}
	data, err := encode(frm)
	if err != nil {
		panic(err) // cannot happen: raw was encoded by this package, and the other fields can always be encoded
	}
	return data
}

func formatHash(sum uint64) string {
	txt := strconv.FormatUint(sum, 16)
	return "0000000000000000"[len(txt):] + txt
}

// Parse reads a document. Unknown names, duplicate names and wrong types are reported together, each with line and column, in
// a *jsonc.ProblemsError. Parse does not check references and limits; use Validate for that.
func Parse(data []byte) (doc *Document, err error) { return ParseFile("", data) }

// ParseFile is like Parse but uses name as the file name in reported problems.
func ParseFile(name string, data []byte) (doc *Document, err error) {
	defer func() {
		err = errors.WithMessage(err, "catalogue")
	}()
	if len(data) > maxParseBytes {
		return nil, &jsonc.ProblemsError{
			Problems: []jsonc.Problem{{
				File:   name,
				Reason: "has " + strconv.Itoa(len(data)) + " bytes; at most " + jsonc.FormatSize(maxParseBytes) + " can be read",
			}},
		}
	}
	nod, rep, err := jsonc.Parse(name, data, jsonc.Standard)
	if err != nil {
		return nil, err
	}
	doc = readDocument(nod.Object())
	if err = rep.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}

func readDocument(obj *jsonc.Object) *Document {
	var (
		edits   []EditRecord
		ents    = map[EntryName]Entry{}
		version uint64
	)
	if nod, ok := obj.Require("version"); ok {
		version = readVersion(nod)
	}
	if nod, ok := obj.Get("edits"); ok {
		edits = readEdits(nod)
	}
	if nod, ok := obj.Require("entries"); ok {
		for _, mem := range nod.Object().Members() {
			ent := readEntry(EntryName(mem.Name), mem.Node)
			ents[ent.Name] = ent
		}
	}
	obj.Close()
	return newDocument(version, edits, ents)
}

func readVersion(nod jsonc.Node) uint64 {
	num, _ := nod.Int(0, math.MaxInt64)
	return uint64(num)
}

func readEdits(nod jsonc.Node) []EditRecord {
	nods, _ := nod.Array()
	recs := make([]EditRecord, 0, len(nods))
	for _, one := range nods {
		recs = append(recs, readEdit(one.Object()))
	}
	if len(recs) > MaxEdits {
		nod.Fail("has %d edits; at most %d are kept", len(recs), MaxEdits)
	}
	sorted := mergeEdits(nil, recs)
	if !slices.Equal(sorted, recs) && len(recs) <= MaxEdits {
		nod.Fail("edits must have different ids, the latest version first")
	}
	return sorted
}

func readEdit(obj *jsonc.Object) (rec EditRecord) {
	rdr := specReader{Object: obj}
	rec.ID = rdr.text("id")
	rec.By = rdr.text("by")
	if nod, ok := obj.Require("version"); ok {
		rec.Version = readVersion(nod)
	}
	if nod, ok := obj.Require("content"); ok {
		txt, good := nod.Text()
		sum, err := strconv.ParseUint(txt, 16, 64)
		if good && (err != nil || formatHash(sum) != txt) {
			nod.Fail("%q is not a hash; use 16 hexadecimal digits", txt)
		}
		rec.Content = sum
	}
	obj.Close()
	return rec
}

func readEntry(nam EntryName, nod jsonc.Node) (ent Entry) {
	obj := nod.Object()
	rdr := specReader{Object: obj}
	ent = Entry{
		Name:    nam,
		Owner:   rdr.text("owner"),
		Deleted: rdr.optionalBool("deleted"),
	}
	if one, ok := obj.Get("version"); ok {
		ent.Version = readVersion(one)
	}
	if one, ok := obj.Get("edited-by"); ok {
		ent.EditedBy, _ = one.Text()
	}
	if one, ok := obj.Get("edited-at"); ok {
		ent.EditedAt = readTime(one)
	}
	defer obj.Close()
	if err := nam.Check(); err != nil {
		nod.Fail("the name is not valid; use %s, each part 1 to 64 of a-z, 0-9, '.', '_' and '-'", nameFormats)
		obj.Get("spec")
		return ent
	}
	if ent.Deleted {
		if one, ok := obj.Get("spec"); ok {
			one.Fail("a deleted entry has no spec; remove one of the two")
		}
		return ent
	}
	if one, ok := obj.Require("spec"); ok {
		return ent.withSpec(decodeSpec(nam, one))
	}
	return ent
}

// readTime reads a time and converts it to UTC. It accepts the years that RFC 3339 can represent.
func readTime(nod jsonc.Node) (tim time.Time) {
	txt, ok := nod.Text()
	if !ok {
		return time.Time{}
	}
	tim, err := time.Parse(time.RFC3339Nano, txt)
	tim = tim.UTC()
	if err != nil || tim.Year() < 1 || tim.Year() > 9999 {
		nod.Fail(`%q is not a time; use RFC 3339, such as "2026-01-31T12:00:00Z"`, txt)
		return time.Time{}
	}
	return tim
}
