package config_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/tailscale/hujson"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cardamompass/internal/conf/config"
	"cardamompass/internal/conf/jsonc"
)

const examplePath = "../../../examples/settings.jsonc"

const key = "0123456789abcdef"

// minimal has only the settings without a default.
const minimal = `{
"vm-id": "v", "region": "r", "failure-domain": "d",
"caller-address": "127.0.0.1:1", "peer-address": "127.0.0.1:2", "operator-address": "127.0.0.1:3",
"store-address": "127.0.0.1:4", "peer-key": "` + key + `",
EXTRA
}`

func parse(extra string) (set config.Settings, err error) {
	return config.Parse("s", []byte(strings.Replace(minimal, "EXTRA", extra, 1)))
}

// fieldPaths returns the JSON pointers of all settings.
func fieldPaths(typ reflect.Type, prefix string) (pths []string) {
	for idx := range typ.NumField() {
		fld := typ.Field(idx)
		pth := prefix + "/" + fld.Tag.Get("json")
		if fld.Type.Kind() == reflect.Struct && fld.Type.NumField() > 1 {
			pths = append(pths, fieldPaths(fld.Type, pth)...)
			continue
		}
		pths = append(pths, pth)
	}
	return pths
}

// Guards against an example that is invalid, lacks a setting, or has a value that is not the default: removing any one
// setting that has a default must not change the result.
func TestExampleNamesEveryDefault(t *testing.T) {
	required := regexp.MustCompile(`^/(vm-id|region|failure-domain|(caller|peer|operator|store)-address|peer-key)$`)
	noDefault := regexp.MustCompile(`^/(seeds|vm-list-address)$`)
	want, err := config.Load(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	for _, pth := range fieldPaths(reflect.TypeFor[config.Settings](), "") {
		val, err := hujson.Parse(data)
		if err != nil {
			t.Fatal(err)
		}
		if err = val.Patch([]byte(`[{"op":"remove","path":"` + pth + `"}]`)); err != nil {
			t.Errorf("the example does not contain %s: %v", pth, err)
			continue
		}
		got, err := config.Parse("example", val.Pack())
		switch {
		case required.MatchString(pth):
			if err == nil || !strings.Contains(err.Error(), "is missing") {
				t.Errorf("without %s: %v, want a missing setting", pth, err)
			}
		case err != nil:
			t.Errorf("without %s: %v", pth, err)
		case !noDefault.MatchString(pth) && !reflect.DeepEqual(got, want):
			t.Errorf("the example's %s is not the default", pth)
		}
	}
}

func TestParseFaults(t *testing.T) {
	tests := []struct {
		name  string
		extra string
		want  string
	}{
		{name: "misspelt name is ignored", extra: `"lookup-max-aeg": "5s"`, want: `s:5:1: lookup-max-aeg: is not known; did you mean "lookup-max-age"?`},
		{name: "misspelt name in a group is ignored", extra: `"guard": {"block_time": "5s"}`, want: `did you mean "block-time"?`},
		{name: "unrelated name gets a wrong suggestion", extra: `"guard": {"x": 1}`, want: `is not known; known here: block-time`},
		{name: "second value of a name wins silently", extra: `"region": "q"`, want: "s:5:1: region: is given twice, first at 2:25"},
		{name: "number for a duration is taken as nanoseconds", extra: `"lookup-max-age": 5`, want: `s:5:19: lookup-max-age: is a number; use a string with a unit`},
		{name: "unknown unit is accepted", extra: `"lookup-max-age": "5sec"`, want: "use a number with the unit"},
		{name: "decimal size unit is taken as binary", extra: `"limits": {"max-body": "1MB"}`, want: "use a whole number with the unit B, KiB, MiB or GiB"},
		{name: "size overflows", extra: `"limits": {"max-body": "999999999999999999GiB"}`, want: "out of range; use a size from 0B to 64MiB"},
		{name: "range is not checked", extra: `"steering": {"hedge-percent": 101}`, want: "101 is out of range; use a number from 0 to 100"},
		{name: "fraction is truncated", extra: `"steering": {"hedge-percent": 1.5}`, want: "1.5 is not a whole number"},
		{name: "null is taken as absent", extra: `"limits": null`, want: "limits: is null; use an object"},
		{name: "host name needs a resolver", extra: `"vm-list-address": "localhost:7"`, want: "use an IP address and a port"},
		{name: "seed that cannot be reached", extra: `"seeds": ["0.0.0.0:7"]`, want: "s:5:11: seeds[0]: "},
		{name: "unknown level", extra: `"log-level": "trace"`, want: "use debug, info, warn or error"},
		{name: "probes overlap", extra: `"membership": {"probe-timeout": "500ms"}`, want: "500ms must be below probe-interval"},
		{name: "suspects cannot refute", extra: `"membership": {"suspect-time": "500ms"}`, want: "must exceed probe-interval"},
		{name: "cached look-up response outlives its ticket", extra: `"lookup-max-age": "5m"`, want: "4m"},
		{name: "loan outlives the lease", extra: `"share": {"lease": "10s", "loan": "10s"}`, want: "must be below lease"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			if _, err := parse(tst.extra); err == nil || !strings.Contains(err.Error(), tst.want) {
				t.Fatalf("error is %v\nwant %s", err, tst.want)
			}
		})
	}
}

// Guards against a report that stops at the first problem, which would cost an operator one restart per problem.
func TestParseReportsAllFaults(t *testing.T) {
	_, err := config.Parse("s", []byte(`{"vm-id": 1, "caller-address": "0.0.0.0:1", "peer-key": "short", "limits": {"max-body": 1}}`))
	var prs *jsonc.ProblemsError
	if !errors.As(err, &prs) {
		t.Fatalf("error is %v", err)
	}
	// vm-id, unspecified caller-address, peer-key, max-body and five missing settings.
	if len(prs.Problems) != 9 {
		t.Fatalf("%d problems, want 9:\n%v", len(prs.Problems), err)
	}
	if strings.Contains(err.Error(), "short") {
		t.Fatalf("the report shows the key:\n%v", err)
	}
}

// Guards against showing the key in logs, dumps and errors.
func TestSecretIsHidden(t *testing.T) {
	set, err := parse("")
	if err != nil || string(set.PeerKey.Reveal()) != key {
		t.Fatalf("key is not read: %v", err)
	}
	var buf bytes.Buffer
	type inner struct{ set config.Settings }
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%X", "%d", "%p"} {
		fmt.Fprintf(&buf, verb+verb+verb, set, set.PeerKey, inner{set: set})
	}
	data, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	buf.Write(data)
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(&buf), zap.DebugLevel))
	log.Info("", zap.Any("a", set), zap.Any("b", set.PeerKey), zap.Stringer("c", set.PeerKey), zap.Reflect("d", set.PeerKey))
	for _, form := range []string{key, fmt.Sprintf("%x", key), fmt.Sprintf("%X", key), fmt.Sprintf("%d", []byte(key))} {
		if strings.Contains(buf.String(), form) {
			t.Fatalf("the key is shown:\n%s", buf.String())
		}
	}
}

// Guards against a panic, and against accepting a value out of range.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile(examplePath)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(strings.Replace(minimal, "EXTRA", "", 1)))
	for _, one := range []string{"", "{", "[]", "{\"a\":1,\"a\":2}", "// x", `{"limits":{"max-body":"9GiB"}}`, "{\"\xff\":0}"} {
		f.Add([]byte(one))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := config.Parse("f", data)
		if err != nil {
			var prs *jsonc.ProblemsError
			if !errors.As(err, &prs) || len(prs.Problems) == 0 {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if set.VMID == "" || len(set.PeerKey.Reveal()) < 16 || set.Membership.ProbeTimeout >= set.Membership.ProbeInterval ||
			set.LookupMaxAge > 4*time.Minute || set.Operations.MaxRecords < 1 {
			t.Fatalf("accepted %+v", set)
		}
	})
}
