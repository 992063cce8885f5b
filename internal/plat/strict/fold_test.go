package strict_test

import (
	"testing"

	"cardamompass/internal/plat/strict"
)

// Guards against overlooking a folded line that arrives in several pieces, and against taking a line of the body for one.
func TestFoldScanner(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		folded bool
	}{
		{name: "no folded line", text: "HTTP/1.1 200 OK\r\nA: 1\r\nB:  2 \r\n\r\n"},
		{name: "blank", text: "HTTP/1.1 200 OK\r\nA: 1\r\n B: 2\r\n\r\n", folded: true},
		{name: "tab", text: "HTTP/1.1 200 OK\r\nA: 1\r\n\tB: 2\r\n\r\n", folded: true},
		{name: "line of blanks", text: "HTTP/1.1 200 OK\r\nA: 1\r\n \r\n\r\n", folded: true},
		{name: "bare line feeds", text: "HTTP/1.1 200 OK\nA: 1\n B: 2\n\n", folded: true},
		{name: "body with blanks", text: "HTTP/1.1 200 OK\r\nA: 1\r\n\r\n hello\r\n hello\r\n"},
		{name: "body behind bare line feeds", text: "HTTP/1.1 200 OK\nA: 1\n\n hello\n"},
	}
	for _, tst := range tests {
		for size := 1; size <= len(tst.text); size++ {
			var scn strict.FoldScanner
			for rest := []byte(tst.text); len(rest) > 0; rest = rest[min(size, len(rest)):] {
				scn.Scan(rest[:min(size, len(rest))])
			}
			if err := scn.Err(); (err != nil) != tst.folded {
				t.Errorf("%s, in pieces of %d bytes: error %v", tst.name, size, err)
			}
		}
	}
}
