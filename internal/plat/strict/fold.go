package strict

import "github.com/pkg/errors"

var errFolded = errors.New("malformed head of a response: a line begins with a blank")

// FoldScanner finds lines in a head that begin with a blank. net/http appends such a line to the value of the line before, so that a
// field with a blank before its name is no field, and delimits no body. RFC 9112, section 5.2, lets a gateway reject the response.
//
// The zero value is at the start of a head.
type FoldScanner struct {
	column int  // of the next byte in its line
	last   byte // the byte before
	ended  bool
	folded bool
}

// Scan scans the next bytes of a response. Those behind the head are ignored. As for net/http, a line may end without a carriage return.
func (scn *FoldScanner) Scan(data []byte) {
	for _, chr := range data {
		switch {
		case scn.ended:
			return
		case chr == '\n':
			scn.ended = scn.column == 0 || (scn.column == 1 && scn.last == '\r')
			scn.column = 0
			continue
		case scn.column == 0 && (chr == ' ' || chr == '\t'):
			scn.folded = true
		}
		scn.column++
		scn.last = chr
	}
}

// Err returns an error if a line of the head begins with a blank or a tab.
func (scn *FoldScanner) Err() (err error) {
	if scn.folded {
		return errFolded
	}
	return nil
}
