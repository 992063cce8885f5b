package catlg

import (
	"regexp"
	"strings"

	"cardamompass"
)

// Kind is the kind of an entry.
type Kind string

// The kinds of entries.
const (
	KindRegion  Kind = "region"
	KindService Kind = "service"
	KindTarget  Kind = "target"
	KindLink    Kind = "link"
	KindShift   Kind = "shift"
	KindClients Kind = "clients"
)

// kindParts is the number of names that follow each kind in an entry name.
var kindParts = map[Kind]int{
	KindRegion:  1,
	KindService: 1,
	KindTarget:  1,
	KindLink:    2,
	KindShift:   3,
	KindClients: 1,
}

const nameFormats = "region/NAME, service/NAME, target/ID, link/FROM/TO, shift/SERVICE/FROM/TO or clients/NAME"

var partPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// EntryName identifies an entry. It consists of the kind and one or more names, separated by slashes.
type EntryName string

// RegionEntry returns the name of a region's entry.
func RegionEntry(reg cardamompass.Region) EntryName { return join(KindRegion, string(reg)) }

// ServiceEntry returns the name of a service's entry.
func ServiceEntry(svc cardamompass.ServiceName) EntryName { return join(KindService, string(svc)) }

// TargetEntry returns the name of a target's entry.
func TargetEntry(tid cardamompass.TargetID) EntryName { return join(KindTarget, string(tid)) }

// LinkEntry returns the name of a link's entry.
func LinkEntry(from, to cardamompass.Region) EntryName {
	return join(KindLink, string(from), string(to))
}

// ShiftEntry returns the name of a shift limit's entry.
func ShiftEntry(svc cardamompass.ServiceName, from, to cardamompass.Region) EntryName {
	return join(KindShift, string(svc), string(from), string(to))
}

// ClientsEntry returns the name of the entry of a set of client blocks.
func ClientsEntry(name string) EntryName { return join(KindClients, name) }

func join(knd Kind, parts ...string) EntryName {
	return EntryName(string(knd) + "/" + strings.Join(parts, "/"))
}

// Kind returns the kind. The result is meaningful only for a valid name.
func (nam EntryName) Kind() Kind {
	knd, _, _ := strings.Cut(string(nam), "/")
	return Kind(knd)
}

// parts returns the names after the kind.
func (nam EntryName) parts() []string {
	return strings.Split(string(nam), "/")[1:]
}

// Check returns a *cardamompass.InvalidError unless the name has a known kind and well-formed parts.
func (nam EntryName) Check() (err error) {
	pts := strings.Split(string(nam), "/")
	num, ok := kindParts[Kind(pts[0])]
	if !ok || len(pts) != num+1 {
		return &cardamompass.InvalidError{
			Field:  string(nam),
			Reason: "is not an entry name; use " + nameFormats,
		}
	}
	for _, prt := range pts[1:] {
		if !partPattern.MatchString(prt) {
			return &cardamompass.InvalidError{
				Field:  string(nam),
				Reason: "each part must be 1 to 64 of a-z, 0-9, '.', '_' and '-', with a letter or digit first",
			}
		}
	}
	return nil
}
