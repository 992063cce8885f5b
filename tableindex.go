package cardamompass

import (
	"crypto/rand"
	"crypto/sha256"
	"maps"
	"slices"
)

// tableIndex finds the routes of a RoutingTable by host and its teams by key. It holds hashes of the keys, so that a dump of the table
// does not show the keys.
type tableIndex struct {
	hosts map[string]*hostRoutes
	teams map[keyHash]*Team
	// priorities are the different priorities of routes and teams in ascending order.
	priorities []int
}

// hostRoutes are the routes of one host.
type hostRoutes struct {
	byPrefix map[string]*Route
	// lengths are the different lengths of the prefixes in bytes, the longest first.
	lengths []int
}

// keyHash is the salted hash of a caller's key.
type keyHash [sha256.Size]byte

// keySalt differs in each process and is kept apart from the tables, so that a hash in a dump can't be compared with those of guessed keys.
var keySalt = newKeySalt()

func newKeySalt() (salt [16]byte) {
	_, _ = rand.Read(salt[:]) // never returns an error
	return salt
}

func hashKey(key string) (hash keyHash) {
	return sha256.Sum256(append(keySalt[:len(keySalt):len(keySalt)], key...))
}

// WithIndex returns a copy of the table with an index, which finds routes without a search through all of them. keys maps the keys of
// callers to the names of their teams. Routes and Teams must not change afterwards.
func (tbl *RoutingTable) WithIndex(keys map[string]TeamName) (next *RoutingTable) {
	idx := &tableIndex{
		hosts:      make(map[string]*hostRoutes),
		teams:      make(map[keyHash]*Team, len(keys)),
		priorities: sortedPriorities(tbl),
	}
	for num := range tbl.Routes {
		idx.addRoute(&tbl.Routes[num])
	}
	for key, name := range keys {
		if tea, ok := tbl.Teams[name]; ok {
			idx.teams[hashKey(key)] = tea
		}
	}
	indexed := *tbl
	indexed.index = idx
	return &indexed
}

// KeysNotIn returns the number of keys that a team has in tbl but not in oth, which may be nil. The empty key doesn't count, since it
// belongs to no team. Only tables that WithIndex returned in this process know keys.
func (tbl *RoutingTable) KeysNotIn(oth *RoutingTable, name TeamName) (count int) {
	if tbl.index == nil {
		return 0
	}
	empty := hashKey("")
	for hash, tea := range tbl.index.teams {
		if tea.Name != name || hash == empty {
			continue
		}
		if oth != nil && oth.index != nil {
			if own, ok := oth.index.teams[hash]; ok && own.Name == name {
				continue
			}
		}
		count++
	}
	return count
}

// addRoute adds a route. Of routes with the same host and prefix, the first one serves the requests.
func (idx *tableIndex) addRoute(rte *Route) {
	hst, ok := idx.hosts[rte.Host]
	if !ok {
		hst = &hostRoutes{
			byPrefix: make(map[string]*Route),
		}
		idx.hosts[rte.Host] = hst
	}
	if _, ok = hst.byPrefix[rte.Prefix]; ok {
		return
	}
	hst.byPrefix[rte.Prefix] = rte
	pos, ok := slices.BinarySearchFunc(hst.lengths, len(rte.Prefix), func(one, two int) int { return two - one })
	if !ok {
		hst.lengths = slices.Insert(hst.lengths, pos, len(rte.Prefix))
	}
}

func (idx *tableIndex) match(host, path string) (rte *Route, ok bool) {
	hst, ok := idx.hosts[host]
	if !ok {
		return nil, false
	}
	for _, length := range hst.lengths {
		if length > len(path) {
			continue
		}
		if rte, ok = hst.byPrefix[path[:length]]; ok {
			return rte, true
		}
	}
	return nil, false
}

func sortedPriorities(tbl *RoutingTable) (list []int) {
	found := make(map[int]bool)
	for num := range tbl.Routes {
		found[tbl.Routes[num].Priority] = true
	}
	for _, tea := range tbl.Teams {
		found[tea.Priority] = true
	}
	return slices.Sorted(maps.Keys(found))
}
