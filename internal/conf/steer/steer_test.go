package steer_test

import (
	"strings"
	"testing"

	"cardamompass/internal/conf/steer"
)

// Guards against a file that is accepted with a value or name that has no effect, and against errors that don't say where and why.
func TestParse(t *testing.T) {
	for _, tst := range []struct {
		data    string
		percent int
		problem string
	}{
		{data: "{}"},
		{data: "// none\n{\"hedge-limit-percent\": 0,}"},
		{data: `{"hedge-limit-percent": 20}`, percent: 20},
		{data: `{"hedge-limit-percent": 21}`, problem: "f:1:25: hedge-limit-percent: 21 is out of range; use a number from 0 to 20"},
		{data: `{"hedge-limit-percent": -1}`, problem: "-1 is out of range"},
		{data: `{"hedge-limit-percent": 2.5}`, problem: "2.5 is not a whole number"},
		{data: `{"hedge-limit-percent": "5"}`, problem: "a whole number without quotes"},
		{data: `{"hedge-limit-percent": 5, "hedge-limit-percent": 6}`, problem: "hedge-limit-percent"},
		{data: `{"hedge-limit-percnt": 5}`, problem: `did you mean "hedge-limit-percent"?`},
		{data: `[]`, problem: "f:1:1"},
		{data: ``, problem: "f:"},
		{data: `{"hedge-limit-percent": 5`, problem: "f:1:"},
	} {
		set, err := steer.Parse("f", []byte(tst.data))
		if set.HedgeLimitPercent != tst.percent || (err != nil) != (tst.problem != "") {
			t.Errorf("%s: %+v, error %v", tst.data, set, err)
		}
		if err != nil && !strings.Contains(err.Error(), tst.problem) {
			t.Errorf("%s: error %q, want %q", tst.data, err, tst.problem)
		}
	}
}

// Guards against an example that is not valid or whose value is not the default.
func TestExample(t *testing.T) {
	if set, err := steer.Load("../../../examples/steering.jsonc"); err != nil || set != (steer.Settings{}) {
		t.Errorf("%+v, error %v", set, err)
	}
	if _, err := steer.Load("none.jsonc"); err == nil || !strings.HasPrefix(err.Error(), "steering: ") {
		t.Errorf("error %v of a missing file", err)
	}
}

// Guards against a limit out of range that is given without a file.
func TestChecked(t *testing.T) {
	for percent, valid := range map[int]bool{-1: false, 0: true, 20: true, 21: false} {
		if _, err := (steer.Settings{HedgeLimitPercent: percent}).Checked(); (err == nil) != valid {
			t.Errorf("limit of %d percent: error %v", percent, err)
		}
	}
}
