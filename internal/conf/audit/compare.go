package audit

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"cardamompass"
)

// Kinds of changes.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Change is one difference between the configuration in force and the next one.
type Change struct {
	// Kind is one of Added, Removed and Changed.
	Kind string `json:"kind"`
	// Item names the entry, for example a route.
	Item string `json:"item"`
	// Field is the field that differs if the entry is changed, by its name in the document.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// item is an entry of a configuration. Items of two tables with the same id describe the same entry.
type item struct {
	id    string
	label string
	// fields are the names of the fields in the document, each with its value. Items of one kind have the same fields.
	fields [][2]string
}

// Compare returns how next differs from cur, the table in force. Of keys it returns only how many are added and removed. Both must be results
// of WithIndex in this process.
func Compare(cur, next *cardamompass.RoutingTable) (list []Change) {
	list = compareItems(tableItems(cur), tableItems(next))
	names := uniqueNames(cur, next)
	list = append(list, compareItems(routeItems(cur, names), routeItems(next, names))...)
	list = append(list, compareItems(serviceItems(cur), serviceItems(next))...)
	list = append(list, compareItems(teamItems(cur), teamItems(next))...)
	return append(list, compareKeys(cur, next)...)
}

func compareItems(cur, next []item) (list []Change) {
	left := make(map[string]item, len(cur))
	for _, itm := range cur {
		left[itm.id] = itm
	}
	for _, itm := range next {
		old, ok := left[itm.id]
		if !ok {
			list = append(list, Change{
				Kind: Added,
				Item: itm.label,
			})
			continue
		}
		delete(left, itm.id)
		for num, fld := range itm.fields {
			if was := old.fields[num][1]; was != fld[1] {
				list = append(list, Change{
					Kind:  Changed,
					Item:  itm.label,
					Field: fld[0],
					Old:   was,
					New:   fld[1],
				})
			}
		}
	}
	for _, itm := range cur {
		if _, ok := left[itm.id]; ok {
			list = append(list, Change{
				Kind: Removed,
				Item: itm.label,
			})
		}
	}
	return list
}

func compareKeys(cur, next *cardamompass.RoutingTable) (list []Change) {
	for _, name := range slices.Sorted(maps.Keys(next.Teams)) {
		added, removed := next.KeysNotIn(cur, name), cur.KeysNotIn(next, name)
		if added+removed > 0 {
			list = append(list, Change{
				Kind:  Changed,
				Item:  fmt.Sprintf("team %q", name),
				Field: "keys",
				New:   fmt.Sprintf("%d added, %d removed", added, removed),
			})
		}
	}
	return list
}

func tableItems(tbl *cardamompass.RoutingTable) (list []item) {
	lim := tbl.Limits
	return []item{{
		id:     "table",
		label:  "configuration",
		fields: [][2]string{{"version", strconv.FormatUint(tbl.Version, 16)}},
	}, {
		id:    "limits",
		label: "limits",
		fields: [][2]string{
			{"max-header-bytes", strconv.Itoa(lim.MaxHeaderBytes)},
			{"max-body-bytes", strconv.FormatInt(lim.MaxBodyBytes, 10)},
			{"header-timeout-s", seconds(lim.HeaderTimeout)},
			{"idle-timeout-s", seconds(lim.IdleTimeout)},
		},
	}}
}

// uniqueNames returns the names of routes that occur at most once in each of the tables.
func uniqueNames(tables ...*cardamompass.RoutingTable) (names map[string]bool) {
	names = make(map[string]bool)
	for _, tbl := range tables {
		count := make(map[string]int)
		for num := range tbl.Routes {
			name := tbl.Routes[num].Name
			count[name]++
			if _, known := names[name]; !known {
				names[name] = name != ""
			}
			if count[name] > 1 {
				names[name] = false
			}
		}
	}
	return names
}

// routeItems returns the routes. A route is identified by its name if that is unique, otherwise by its host and prefix; of several such
// routes, the first one is in force.
func routeItems(tbl *cardamompass.RoutingTable, unique map[string]bool) (list []item) {
	seen := make(map[string]bool)
	for num := range tbl.Routes {
		rte := &tbl.Routes[num]
		id := "at " + rte.Host + rte.Prefix
		if unique[rte.Name] {
			id = "name " + rte.Name
		}
		if seen[id] {
			continue
		}
		seen[id] = true
		kind := "at most once"
		if rte.Idempotent {
			kind = "idempotent"
		}
		list = append(list, item{
			id:    id,
			label: fmt.Sprintf("route %q at %s%s", rte.Name, rte.Host, rte.Prefix),
			fields: [][2]string{
				{"name", strconv.Quote(rte.Name)},
				{"host", strconv.Quote(rte.Host)},
				{"prefix", strconv.Quote(rte.Prefix)},
				{"kind", kind},
				{"timeout-s", seconds(rte.Timeout)},
				{"latency-objective-s", seconds(rte.LatencyObjective)},
				{"priority", strconv.Itoa(rte.Priority)},
				{"split", split(rte)},
				{"attempts", strconv.Itoa(rte.MaxTargets)},
				{"sticky", strconv.FormatBool(rte.Sticky)},
				{"home-regions", regions(rte.HomeRegions)},
				{"public", strconv.FormatBool(rte.Public)},
			},
		})
	}
	return list
}

func serviceItems(tbl *cardamompass.RoutingTable) (list []item) {
	for _, name := range slices.Sorted(maps.Keys(tbl.Services)) {
		pol := tbl.Services[name]
		list = append(list, item{
			id:     string(name),
			label:  fmt.Sprintf("service %q", name),
			fields: [][2]string{{"cold-start-s", seconds(pol.ColdFor)}, {"cold-rate-per-s", number(pol.ColdRate)}},
		})
	}
	return list
}

func teamItems(tbl *cardamompass.RoutingTable) (list []item) {
	for _, name := range slices.Sorted(maps.Keys(tbl.Teams)) {
		tea := tbl.Teams[name]
		list = append(list, item{
			id:    string(name),
			label: fmt.Sprintf("team %q", name),
			fields: [][2]string{
				{"priority", strconv.Itoa(tea.Priority)},
				{"rate-per-s", number(tea.Rate)},
				{"burst", number(tea.Burst)},
				{"home-regions", regions(tea.HomeRegions)},
			},
		})
	}
	return list
}

// split formats the services of a route with their weights. A route with one service has the weight 1.
func split(rte *cardamompass.Route) (text string) {
	for num, wsv := range rte.WeightedServices {
		if num > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%q: %s", wsv.Service, number(wsv.Weight))
	}
	return text
}

// regions formats regions, whose order has no meaning.
func regions(list []cardamompass.Region) (text string) {
	if len(list) == 0 {
		return "all"
	}
	return fmt.Sprintf("%q", slices.Sorted(slices.Values(list)))
}

func seconds(dur time.Duration) (text string) { return number(dur.Seconds()) }

func number(value float64) (text string) { return strconv.FormatFloat(value, 'g', -1, 64) }
