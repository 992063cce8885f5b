// Package jsonc reads JSON, with or without comments, and collects all problems with their lines and columns.
//
// A file is parsed into a tree of Nodes. Methods such as Text, Int, Duration and Size check type, unit and range. Each problem is
// added to the Report of the file, and reading continues with a zero value, so that one run finds all problems. Duplicate and
// unknown names in objects are problems. A tree is not safe for concurrent use.
package jsonc

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxDepth bounds the nesting of objects and arrays. The parser is recursive, and a file of 1 MiB of opening brackets would
// overflow the stack, which terminates the process.
const maxDepth = 32

// Format selects the syntax of a file.
type Format int

const (
	// Standard is JSON as defined by RFC 8259.
	Standard Format = iota
	// WithComments is JSON with comments and trailing commas.
	WithComments
)

// Problem is an error in a file or document.
type Problem struct {
	// File is the file name given to Parse; it may be empty.
	File string
	// Line and Column are counted from 1, Column in characters; both are 0 if the position is unknown.
	Line   int
	Column int
	// Path names the field, for example "limits.max-body"; empty for a problem of the whole file.
	Path string
	// Reason describes the problem and how to correct it.
	Reason string
}

// String returns "file:line:column: path: reason" without the parts that are unknown.
func (prb Problem) String() string {
	var bld strings.Builder
	if prb.File != "" {
		bld.WriteString(prb.File + ":")
	}
	if prb.Line > 0 {
		fmt.Fprintf(&bld, "%d:%d:", prb.Line, prb.Column)
	}
	if bld.Len() > 0 {
		bld.WriteString(" ")
	}
	if prb.Path != "" {
		bld.WriteString(prb.Path + ": ")
	}
	bld.WriteString(prb.Reason)
	return bld.String()
}

// ProblemsError reports all problems of a file or document.
type ProblemsError struct {
	// Problems is not empty. It is sorted by position if the positions are known.
	Problems []Problem
}

// Error returns one line for each problem.
func (err *ProblemsError) Error() string {
	lns := make([]string, 0, len(err.Problems))
	for _, prb := range err.Problems {
		lns = append(lns, prb.String())
	}
	return strings.Join(lns, "\n")
}

// Report collects the problems of one file.
type Report struct {
	name string
	data []byte
	prbs []Problem
}

// Err returns a *ProblemsError with all problems in the order of their positions, or nil if there are none.
func (rep *Report) Err() (err error) {
	if len(rep.prbs) == 0 {
		return nil
	}
	prbs := slices.Clone(rep.prbs)
	slices.SortStableFunc(prbs, func(one, two Problem) int {
		if one.Line != two.Line {
			return one.Line - two.Line
		}
		return one.Column - two.Column
	})
	return &ProblemsError{
		Problems: prbs,
	}
}

func (rep *Report) add(off int, path, format string, args ...any) {
	lin, col := position(rep.data, off)
	rep.prbs = append(rep.prbs, Problem{
		File:   rep.name,
		Line:   lin,
		Column: col,
		Path:   path,
		Reason: fmt.Sprintf(format, args...),
	})
}

func position(data []byte, off int) (line, column int) {
	off = min(max(off, 0), len(data))
	line = 1 + bytes.Count(data[:off], []byte("\n"))
	start := bytes.LastIndexByte(data[:off], '\n') + 1
	return line, 1 + utf8.RuneCount(data[start:off])
}

// Parse parses data. name is the file name in reported problems. The error is a *ProblemsError if data is not well-formed;
// all other problems are collected in the Report while the Node is read.
func Parse(name string, data []byte, form Format) (nod Node, rep *Report, err error) {
	rep = &Report{
		name: name,
		data: data,
	}
	if off, ok := invalidUTF8(data); !ok {
		rep.add(off, "", "the bytes are not valid UTF-8")
		return Node{}, rep, rep.Err()
	}
	if off, ok := findTooDeep(data); ok {
		rep.add(off, "", "objects and arrays are nested deeper than %d levels", maxDepth)
		return Node{}, rep, rep.Err()
	}
	val, err := hujson.Parse(data)
	if err != nil {
		rep.addSyntax(err)
		return Node{}, rep, rep.Err()
	}
	if form == Standard && !val.IsStandard() {
		rep.addNonStandard(&val)
		return Node{}, rep, rep.Err()
	}
	return Node{
		rep: rep,
		val: &val,
	}, rep, nil
}

var syntaxPosition = regexp.MustCompile(`(?s)^hujson: line (\d+), column (\d+): (.*)$`)

// addSyntax adds a syntax error. It extracts the position from the message, because the parser does not report it otherwise.
func (rep *Report) addSyntax(err error) {
	prb := Problem{
		File:   rep.name,
		Reason: strings.TrimPrefix(err.Error(), "hujson: "),
	}
	if mat := syntaxPosition.FindStringSubmatch(err.Error()); mat != nil {
		prb.Line, _ = strconv.Atoi(mat[1])
		prb.Column, _ = strconv.Atoi(mat[2])
		prb.Reason = mat[3]
	}
	// The parser quotes an invalid literal in its message. The literal may be long or contain a secret.
	if strings.HasPrefix(prb.Reason, "invalid literal") {
		prb.Reason = "invalid literal; use a string in double quotes, a number, true or false"
	}
	rep.prbs = append(rep.prbs, prb)
}

func (rep *Report) addNonStandard(val *hujson.Value) {
	for one := range val.All() {
		if !one.BeforeExtra.IsStandard() {
			rep.add(one.StartOffset-len(one.BeforeExtra), "", "comments are not allowed here")
			return
		}
		if !one.AfterExtra.IsStandard() {
			rep.add(one.EndOffset, "", "comments are not allowed here")
			return
		}
	}
	rep.add(0, "", "a comma after the last element or a comment is not allowed here")
}

func invalidUTF8(data []byte) (off int, ok bool) {
	for off < len(data) {
		run, siz := utf8.DecodeRune(data[off:])
		if run == utf8.RuneError && siz <= 1 {
			return off, false
		}
		off += siz
	}
	return 0, true
}

// findTooDeep returns the offset at which the nesting first exceeds maxDepth, ignoring brackets in strings and comments.
func findTooDeep(data []byte) (off int, deep bool) {
	level := 0
	for off = 0; off < len(data); off++ {
		switch data[off] {
		case '"':
			off = skipString(data, off)
		case '/':
			off = skipComment(data, off)
		case '[', '{':
			level++
		case ']', '}':
			level--
		}
		if level > maxDepth {
			return off, true
		}
	}
	return 0, false
}

// skipString returns the offset of the closing quote of the string that starts at off.
func skipString(data []byte, off int) (end int) {
	for end = off + 1; end < len(data) && data[end] != '"'; end++ {
		if data[end] == '\\' {
			end++
		}
	}
	return end
}

// skipComment returns the offset of the last byte of the comment that starts at off, or off if none does.
func skipComment(data []byte, off int) (end int) {
	ends := map[string]string{
		"//": "\n",
		"/*": "*/",
	}
	if off+2 > len(data) {
		return off
	}
	stop, ok := ends[string(data[off:off+2])]
	if !ok {
		return off
	}
	pos := bytes.Index(data[off+2:], []byte(stop))
	if pos < 0 {
		return len(data)
	}
	return off + 2 + pos + len(stop) - 1
}
