package jsonc_test

import (
	"strings"
	"testing"

	"cardamompass/internal/conf/jsonc"
)

func TestParseNesting(t *testing.T) {
	tests := []struct {
		name string
		data string
		deep bool
	}{
		{name: "file of brackets overflows the parser's stack", data: strings.Repeat("[", 1<<20), deep: true},
		{name: "brackets after a comment are not counted", data: "/* x */" + strings.Repeat("[", 33), deep: true},
		{name: "brackets in a string are counted", data: `["` + strings.Repeat("[", 99) + `\"[["]`},
		{name: "brackets in comments are counted", data: "//" + strings.Repeat("[", 99) + "\n/*" + strings.Repeat("{", 99) + "*/[]"},
		{name: "closed arrays are counted as nested", data: "[" + strings.Repeat("[],", 99) + "[]]"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			_, _, err := jsonc.Parse("f", []byte(tst.data), jsonc.WithComments)
			if got := err != nil && strings.Contains(err.Error(), "nested deeper"); got != tst.deep || !tst.deep && err != nil {
				t.Fatalf("too deep = %v, want %v (%v)", got, tst.deep, err)
			}
		})
	}
}
