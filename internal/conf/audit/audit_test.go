package audit_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"cardamompass"
	"cardamompass/internal/conf/audit"
	"cardamompass/platform"
)

const (
	cleanRoute  = `{"name":"a","host":"h","prefix":"/a/","kind":"idempotent","timeoutS":2,"targetLatencyS":1,"service":"s","homeRegions":["gulf"]}`
	cleanTenant = `{"name":"one","apiKeys":["SECRET-1"],"ratePerS":5,"burst":10,"homeRegions":["gulf"]}`
)

func table(t *testing.T, version, routes, tenants, more string) (tbl *cardamompass.RoutingTable) {
	t.Helper()
	tbl, err := platform.DecodeTable(fmt.Appendf(nil,
		`{"version":%q,"routes":[%s],"tenants":[%s],"services":[{"name":"s"}]%s}`, version, routes, tenants, more))
	if err != nil {
		t.Fatal(err)
	}
	return tbl
}

// Guards against a finding that is not made, that is made for something that works, or that shows a key.
func TestCheck(t *testing.T) {
	cur := table(t, "2a", cleanRoute, cleanTenant, "")
	for name, tst := range map[string]struct {
		version, routes, tenants string
		want                     []string // code and place of each finding
	}{
		"clean":      {},
		"no limits":  {tenants: `{"name":"one","apiKeys":["SECRET-1"]}`},
		"no tenants": {routes: `{"host":"h","prefix":"/","service":"s","homeRegions":["delta"]}`, tenants: " "},
		"nested prefixes": {
			routes: `{"host":"h","prefix":"/","service":"s"},{"host":"h","prefix":"/a/","service":"s"},{"host":"i","prefix":"/","service":"s"}`,
		},
		"same version":  {version: "2a", want: []string{"version-not-newer version"}},
		"older version": {version: "9", want: []string{"version-not-newer version"}},
		"same host and prefix": {
			routes: cleanRoute + `,{"name":"b","host":"H","prefix":"/a/","service":"s"}`,
			want:   []string{`route-shadowed routes[1] "b"`},
		},
		"port":     {routes: `{"host":"h:80","prefix":"/","service":"s"}`, want: []string{`route-unreachable routes[0] ""`}},
		"wildcard": {routes: `{"host":"*.h","prefix":"/","service":"s"}`, want: []string{`route-unreachable routes[0] ""`}},
		"query":    {routes: `{"host":"h","prefix":"/a?b","service":"s"}`, want: []string{`route-unreachable routes[0] ""`}},
		"escaped":  {routes: `{"host":"h","prefix":"/%C3%A9/","service":"s"}`},
		"unescaped": {
			routes: `{"host":"h","prefix":"/é/","service":"s"}`,
			want:   []string{`route-unreachable routes[0] ""`},
		},
		"split": {
			routes: `{"name":"b","host":"h","prefix":"/","split":[{"service":"s","weight":1},{"service":"x","weight":1},{"service":"y"}]}`,
			want:   []string{`unknown-service routes[0] "b"`},
		},
		"timeout": {
			routes: `{"name":"b","host":"h","prefix":"/","service":"s","timeoutS":1,"targetLatencyS":1.5}`,
			want:   []string{`timeout-below-objective routes[0] "b"`},
		},
		"regions": {
			routes: `{"name":"b","host":"h","prefix":"/","service":"s","homeRegions":["delta"]},
				{"name":"c","host":"h","prefix":"/c/","service":"s","homeRegions":["delta"],"public":true}`,
			want: []string{`no-common-region routes[0] "b"`},
		},
		"no key":    {tenants: cleanTenant + `,{"name":"two","apiKeys":[]}`, want: []string{`team-without-key team "two"`}},
		"empty key": {tenants: cleanTenant + `,{"name":"two","apiKeys":[""]}`, want: []string{`team-without-key team "two"`}},
		"no rate":   {tenants: `{"name":"one","apiKeys":["SECRET-1"],"burst":5}`, want: []string{`burst-without-rate team "one"`}},
		"burst": {
			tenants: `{"name":"one","apiKeys":["SECRET-1"],"ratePerS":1,"burst":0.5}`,
			want:    []string{`burst-below-one team "one"`},
		},
	} {
		t.Run(name, func(t *testing.T) {
			orDefault := func(text, other string) string {
				if text == "" {
					return other
				}
				return text
			}
			tbl := table(t, orDefault(tst.version, "2b"), orDefault(tst.routes, cleanRoute), orDefault(tst.tenants, cleanTenant), "")
			var got []string
			for _, fnd := range audit.Check(tbl, cur) {
				got = append(got, fnd.Code+" "+fnd.Place)
				if fnd.Problem == "" || fnd.Remedy == "" || strings.Contains(fmt.Sprint(fnd), "SECRET") {
					t.Errorf("finding %+v", fnd)
				}
			}
			if !slices.Equal(got, tst.want) {
				t.Errorf("findings %q, want %q", got, tst.want)
			}
		})
	}
}

// Guards against a difference that is not shown, or shown where there is none, and against a key in it.
func TestCompare(t *testing.T) {
	old := table(t, "01", cleanRoute+`,{"name":"gone","host":"h","prefix":"/g/","service":"s"},{"host":"h","prefix":"/n/","service":"s"}`,
		cleanTenant+`,{"name":"left"},{"name":"moved","apiKeys":["SECRET-3","SECRET-4"]}`, `,"limits":{"maxBodyBytes":100}`)
	if got := audit.Compare(old, old); len(got) != 0 {
		t.Errorf("changes of the same table: %+v", got)
	}
	next := table(t, "02", `{"host":"h","prefix":"/n/","service":"s","public":true},
		{"name":"a","host":"h","prefix":"/b/","kind":"idempotent","timeoutS":2.5,"targetLatencyS":1,
		"split":[{"service":"s","weight":3},{"service":"x","weight":1}]},{"name":"new","host":"h","prefix":"/a/","service":"s"}`,
		`{"name":"moved","apiKeys":["SECRET-3"]},{"name":"one","apiKeys":["SECRET-2","SECRET-4"],"ratePerS":6,"burst":10,
		"homeRegions":["gulf"]},{"name":"come","apiKeys":["SECRET-5"]}`, `,"limits":{"maxBodyBytes":200}`)
	var got []string
	for _, chg := range audit.Compare(old, next) {
		got = append(got, strings.Join([]string{chg.Kind, chg.Item, chg.Field, chg.Old, chg.New}, "|"))
	}
	want := []string{
		`changed|configuration|version|1|2`,
		`changed|limits|max-body-bytes|100|200`,
		`changed|route "" at h/n/|public|false|true`,
		`changed|route "a" at h/b/|prefix|"/a/"|"/b/"`,
		`changed|route "a" at h/b/|timeout-s|2|2.5`,
		`changed|route "a" at h/b/|split|"s": 1|"s": 3, "x": 1`,
		`changed|route "a" at h/b/|home-regions|["gulf"]|all`,
		`added|route "new" at h/a/|||`,
		`removed|route "gone" at h/g/|||`,
		`added|team "come"|||`,
		`changed|team "one"|rate-per-s|5|6`,
		`removed|team "left"|||`,
		`changed|team "come"|keys||1 added, 0 removed`,
		`changed|team "moved"|keys||0 added, 1 removed`,
		`changed|team "one"|keys||2 added, 1 removed`,
	}
	if !slices.Equal(got, want) {
		t.Errorf("changes:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
