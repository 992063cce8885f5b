package cardamompass_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"cardamompass"
)

// randomTable returns a table of routes whose hosts and prefixes often collide.
func randomTable(rnd *rand.Rand) (tbl *cardamompass.RoutingTable) {
	tbl = &cardamompass.RoutingTable{
		Teams: map[cardamompass.TeamName]*cardamompass.Team{
			"t": {Name: "t", Priority: rnd.IntN(6)},
		},
	}
	for num := range rnd.IntN(30) {
		tbl.Routes = append(tbl.Routes, cardamompass.Route{
			Name:     fmt.Sprint(num),
			Host:     fmt.Sprint("h", rnd.IntN(3)),
			Prefix:   randomPath(rnd),
			Priority: rnd.IntN(6),
		})
	}
	return tbl
}

func randomPath(rnd *rand.Rand) (path string) {
	return "/" + strings.Repeat([]string{"a/", "bb/", "a"}[rnd.IntN(3)], rnd.IntN(4))
}

// Guards against an index that finds another route, or counts other priorities, than a search through the table.
func TestIndexAgreesWithSearch(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		tbl := randomTable(rnd)
		idx := tbl.WithIndex(nil)
		for range 20 {
			host, path := fmt.Sprint("h", rnd.IntN(4)), randomPath(rnd)
			want, wantOK := tbl.Match(host, path)
			got, ok := idx.Match(host, path)
			if got != want || ok != wantOK {
				t.Fatalf("%s%s: index found %+v, search %+v", host, path, got, want)
			}
		}
		for pri := -1; pri < 7; pri++ {
			if got, want := idx.HigherPriorities(pri), tbl.HigherPriorities(pri); got != want {
				t.Fatalf("higher than %d: index %d, search %d", pri, got, want)
			}
		}
	}
}

// Guards against a key that belongs to the wrong team or that a dump of the table shows, and against a request without a key that gets a
// team.
func TestTeamOf(t *testing.T) {
	tbl := (&cardamompass.RoutingTable{
		Teams: map[cardamompass.TeamName]*cardamompass.Team{
			"one": {Name: "one"},
			"two": {Name: "two"},
		},
	}).WithIndex(map[string]cardamompass.TeamName{"secret-1": "one", "secret-2": "two", "": "two", "secret-3": "none"})
	for key, want := range map[string]cardamompass.TeamName{"secret-1": "one", "secret-2": "two", "": "", "secret-3": "", "secret": ""} {
		tea, ok := tbl.TeamOf(key)
		if ok != (want != "") || (ok && tea.Name != want) {
			t.Errorf("key %q: team %+v, want %q", key, tea, want)
		}
	}
	data, err := json.Marshal(tbl)
	if text := string(data) + fmt.Sprintf("%+v %#v", tbl, tbl); err != nil || strings.Contains(text, "secret") {
		t.Errorf("the dump shows a key: %s, error %v", text, err)
	}
}

// Guards against requests that are served outside the home regions of their route or team.
func TestHomeRegions(t *testing.T) {
	type regions = []cardamompass.Region
	for _, tst := range []struct {
		route, team regions
		want        bool
	}{
		{nil, nil, true},
		{regions{"a"}, nil, true},
		{nil, regions{"a"}, true},
		{regions{"a", "b"}, regions{"b", "c"}, true},
		{regions{"a"}, regions{"b"}, false},
	} {
		rte, tea := &cardamompass.Route{HomeRegions: tst.route}, &cardamompass.Team{HomeRegions: tst.team}
		if got := rte.AllowsTeam(tea); got != tst.want {
			t.Errorf("route %v, team %v: %v", tst.route, tst.team, got)
		}
		if !rte.AllowsTeam(nil) || !(*cardamompass.Team)(nil).AllowsRegion("z") {
			t.Error("a request without a team is restricted")
		}
	}
	tbl := &cardamompass.RoutingTable{
		Routes: []cardamompass.Route{
			{Host: "h", HomeRegions: regions{"a", "b"}},
			{Host: "h", HomeRegions: regions{"b", "c"}},
			{Host: "i", HomeRegions: regions{"d"}},
		},
	}
	if got := fmt.Sprint(tbl.HomeRegions("h"), tbl.HomeRegions("j")); got != "[a b c] []" {
		t.Errorf("home regions %s", got)
	}
}

// BenchmarkMatch measures the search for a route among 4,200 with and without an index.
func BenchmarkMatch(b *testing.B) {
	for _, hosts := range []int{1, 420} {
		tbl := &cardamompass.RoutingTable{}
		for num := range 4200 {
			tbl.Routes = append(tbl.Routes, cardamompass.Route{
				Host:   fmt.Sprintf("h-%d.example", num%hosts),
				Prefix: fmt.Sprintf("/service/%d/", num),
			})
		}
		for name, cnd := range map[string]*cardamompass.RoutingTable{"search": tbl, "index": tbl.WithIndex(nil)} {
			b.Run(fmt.Sprintf("hosts=%d/%s", hosts, name), func(b *testing.B) {
				b.ReportAllocs()
				for num := 0; b.Loop(); num++ {
					rte := &tbl.Routes[num%len(tbl.Routes)]
					if got, ok := cnd.Match(rte.Host, rte.Prefix+"object/17"); !ok || got != rte {
						b.Fatal("wrong route")
					}
				}
			})
		}
	}
}

// BenchmarkTeamOf measures the search for the team of a key.
func BenchmarkTeamOf(b *testing.B) {
	teams, keys := make(map[cardamompass.TeamName]*cardamompass.Team), make(map[string]cardamompass.TeamName)
	for num := range 87 {
		name := cardamompass.TeamName(fmt.Sprint("team-", num))
		teams[name] = &cardamompass.Team{Name: name}
		keys[fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012x", num)] = name
	}
	tbl := (&cardamompass.RoutingTable{Teams: teams}).WithIndex(keys)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := tbl.TeamOf("0f8fad5b-d9cb-469f-a165-000000000011"); !ok {
			b.Fatal("no team")
		}
	}
}
