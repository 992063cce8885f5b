package jsonc

import (
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Node is one value of a file.
type Node struct {
	rep *Report
	val *hujson.Value
	// The path is joined only on demand, because a large file has many nodes and few problems.
	parent string // path of the parent node
	name   string // name in an object, or index in brackets in an array
}

// Path returns the path of the node, for example "limits.max-body".
func (nod Node) Path() string {
	if nod.parent == "" || strings.HasPrefix(nod.name, "[") {
		return nod.parent + nod.name
	}
	return nod.parent + "." + nod.name
}

// Fail adds a problem at the node.
func (nod Node) Fail(format string, args ...any) {
	nod.rep.add(nod.val.StartOffset, nod.Path(), format, args...)
}

func (nod Node) kind() string {
	switch nod.val.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "true or false"
	}
}

func (nod Node) literal(kinds, want string) (lit hujson.Literal, ok bool) {
	lit, ok = nod.val.Value.(hujson.Literal)
	if !ok || !strings.ContainsRune(kinds, rune(lit.Kind())) {
		nod.Fail("is %s; use %s", nod.kind(), want)
		return nil, false
	}
	return lit, true
}

// Text reads a string.
func (nod Node) Text() (txt string, ok bool) {
	lit, ok := nod.literal(`"`, "a string in double quotes")
	if !ok {
		return "", false
	}
	return lit.String(), true
}

// Bool reads true or false.
func (nod Node) Bool() (yes, ok bool) {
	lit, ok := nod.literal("tf", "true or false")
	if !ok {
		return false, false
	}
	return lit.Bool(), true
}

// Int reads a whole number from least to most.
func (nod Node) Int(least, most int64) (num int64, ok bool) {
	lit, ok := nod.literal("0", "a whole number without quotes")
	if !ok {
		return 0, false
	}
	num, err := strconv.ParseInt(string(lit), 10, 64)
	if err != nil {
		nod.Fail("%s is not a whole number; use one from %d to %d", lit, least, most)
		return 0, false
	}
	if num < least || num > most {
		nod.Fail("%d is out of range; use a number from %d to %d", num, least, most)
		return 0, false
	}
	return num, true
}

// Duration reads a string such as "500ms", with a value from least to most.
func (nod Node) Duration(least, most time.Duration) (dur time.Duration, ok bool) {
	lit, ok := nod.literal(`"`, `a string with a unit, such as "500ms"`)
	if !ok {
		return 0, false
	}
	dur, err := time.ParseDuration(lit.String())
	if err != nil {
		nod.Fail(`%q is not a duration; use a number with the unit ns, us, ms, s, m or h, such as "500ms"`, lit.String())
		return 0, false
	}
	if dur < least || dur > most {
		nod.Fail("%s is out of range; use a duration from %s to %s", dur, least, most)
		return 0, false
	}
	return dur, true
}

var (
	sizeForm = regexp.MustCompile(`^([0-9]{1,18})(B|KiB|MiB|GiB)$`)
	sizeUnit = map[string]int64{
		"B":   1,
		"KiB": 1 << 10,
		"MiB": 1 << 20,
		"GiB": 1 << 30,
	}
)

// Size reads a string such as "16KiB", with a value from least to most bytes.
func (nod Node) Size(least, most int64) (bytes int64, ok bool) {
	lit, ok := nod.literal(`"`, `a string with a unit, such as "16KiB"`)
	if !ok {
		return 0, false
	}
	mat := sizeForm.FindStringSubmatch(lit.String())
	if mat == nil {
		nod.Fail(`%q is not a size; use a whole number with the unit B, KiB, MiB or GiB, such as "16KiB"`, lit.String())
		return 0, false
	}
	num, err := strconv.ParseInt(mat[1], 10, 64)
	unt := sizeUnit[mat[2]]
	if err != nil || num > math.MaxInt64/unt || num*unt < least || num*unt > most {
		nod.Fail("%s is out of range; use a size from %s to %s", lit.String(), FormatSize(least), FormatSize(most))
		return 0, false
	}
	return num * unt, true
}

// FormatSize formats bytes in the largest unit that divides it, in the syntax of Size.
func FormatSize(bytes int64) string {
	for _, nam := range []string{"GiB", "MiB", "KiB"} {
		if unt := sizeUnit[nam]; bytes != 0 && bytes%unt == 0 {
			return strconv.FormatInt(bytes/unt, 10) + nam
		}
	}
	return strconv.FormatInt(bytes, 10) + "B"
}

// Array reads an array and returns its elements.
func (nod Node) Array() (nods []Node, ok bool) {
	arr, ok := nod.val.Value.(*hujson.Array)
	if !ok {
		nod.Fail("is %s; use an array", nod.kind())
		return nil, false
	}
	pth := nod.Path()
	for idx := range arr.Elements {
		nods = append(nods, Node{
			rep:    nod.rep,
			val:    &arr.Elements[idx],
			parent: pth,
			name:   "[" + strconv.Itoa(idx) + "]",
		})
	}
	return nods, true
}

// Texts reads an array of strings.
func (nod Node) Texts() (txts []string, ok bool) {
	nods, ok := nod.Array()
	for _, one := range nods {
		txt, good := one.Text()
		ok = ok && good
		txts = append(txts, txt)
	}
	return txts, ok
}

// minIndexedMembers is the number of members from which an object has an index. For fewer, a linear search is faster than a map.
const minIndexedMembers = 16

// Object is a JSON object whose members are read by name.
type Object struct {
	nod     Node
	path    string
	mems    []Member
	index   map[string]int // positions in mems; nil for a small object
	known   []string
	invalid bool
}

// Member is one member of an object.
type Member struct {
	Name string
	// Node is the value of the member.
	Node Node

	start int // offset of the name
}

// Object reads an object. It adds a problem for each duplicate name and uses the first member of that name. For a value of
// another type it adds a problem and returns an empty object, which does not report missing members.
func (nod Node) Object() *Object {
	obj := &Object{
		nod:  nod,
		path: nod.Path(),
	}
	raw, ok := nod.val.Value.(*hujson.Object)
	if !ok {
		nod.Fail("is %s; use an object", nod.kind())
		obj.invalid = true
		return obj
	}
	obj.mems = make([]Member, 0, len(raw.Members))
	if len(raw.Members) >= minIndexedMembers {
		obj.index = make(map[string]int, len(raw.Members))
	}
	for idx := range raw.Members {
		obj.add(&raw.Members[idx])
	}
	return obj
}

func (obj *Object) add(mem *hujson.ObjectMember) {
	nam := mem.Name.Value.(hujson.Literal).String()
	nod := Node{
		rep:    obj.nod.rep,
		val:    &mem.Value,
		parent: obj.path,
		name:   nam,
	}
	if fst, ok := obj.find(nam); ok {
		lin, col := position(obj.nod.rep.data, fst.val.StartOffset)
		obj.nod.rep.add(mem.Name.StartOffset, nod.Path(), "is given twice, first at %d:%d; keep one", lin, col)
		return
	}
	if obj.index != nil {
		obj.index[nam] = len(obj.mems)
	}
	obj.mems = append(obj.mems, Member{
		Name:  nam,
		Node:  nod,
		start: mem.Name.StartOffset,
	})
}

func (obj *Object) find(name string) (nod Node, ok bool) {
	if obj.index != nil {
		idx, ok := obj.index[name]
		if !ok {
			return Node{}, false
		}
		return obj.mems[idx].Node, true
	}
	for idx := range obj.mems {
		if obj.mems[idx].Name == name {
			return obj.mems[idx].Node, true
		}
	}
	return Node{}, false
}

// Members returns all members in the order of the file.
func (obj *Object) Members() []Member { return obj.mems }

// Get returns the member with the given name, if it exists, and marks the name as known for Close.
func (obj *Object) Get(name string) (nod Node, ok bool) {
	obj.known = append(obj.known, name)
	return obj.find(name)
}

// Require is like Get but adds a problem if the member does not exist.
func (obj *Object) Require(name string) (nod Node, ok bool) {
	nod, ok = obj.Get(name)
	if !ok && !obj.invalid {
		obj.nod.Fail("%q is missing", name)
	}
	return nod, ok
}

// Fail adds a problem at the member with the given name, or at the object if the member does not exist.
func (obj *Object) Fail(name, format string, args ...any) {
	if nod, ok := obj.find(name); ok {
		nod.Fail(format, args...)
		return
	}
	obj.nod.Fail(name+": "+format, args...)
}

// Close adds a problem for each member whose name was not passed to Get or Require.
func (obj *Object) Close() {
	for _, mem := range obj.mems {
		if slices.Contains(obj.known, mem.Name) {
			continue
		}
		if nam := closestName(mem.Name, obj.known); nam != "" {
			obj.nod.rep.add(mem.start, mem.Node.Path(), "is not known; did you mean %q?", nam)
			continue
		}
		obj.nod.rep.add(mem.start, mem.Node.Path(), "is not known; known here: %s",
			strings.Join(slices.Sorted(slices.Values(obj.known)), ", "))
	}
}

// closestName returns the known name with the smallest edit distance, or "" if more than half of the name differs.
func closestName(name string, known []string) (best string) {
	if len(name) > 64 {
		return ""
	}
	least := len(name)/2 + 1
	for _, one := range known {
		if dis := distance(name, one); dis < least {
			least, best = dis, one
		}
	}
	return best
}

// distance returns the Levenshtein distance in bytes.
func distance(one, two string) int {
	row := make([]int, len(two)+1)
	for col := range row {
		row[col] = col
	}
	for idx := range len(one) {
		diag := row[0]
		row[0] = idx + 1
		for col := range len(two) {
			cost := diag
			if one[idx] != two[col] {
				cost++
			}
			diag = row[col+1]
			row[col+1] = min(cost, row[col]+1, diag+1)
		}
	}
	return row[len(two)]
}
