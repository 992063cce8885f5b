package quota

import (
	"cmp"
	"slices"
	"time"

	"cardamompass"
)

// quietTime is the time after the last refusal of a team after which refusals are reported as ended.
const quietTime = 5 * time.Second

// Change reports that requests of a team begin to be refused or that this has ended.
type Change struct {
	Team     cardamompass.TeamName
	Refusing bool
	// Refused is the number of requests refused since they began to be.
	Refused int64
}

// Changes returns the changes since the last call. Refusals of a team that no longer has a limit have ended.
func (ldg *Ledger) Changes(now time.Time) (chs []Change) {
	for name, bkt := range ldg.removed {
		bkt.lastRefusal = time.Time{}
		chs = append(chs, bkt.changes(name, now)...)
	}
	for name, bkt := range ldg.teams {
		chs = append(chs, bkt.changes(name, now)...)
	}
	slices.SortFunc(chs, func(one, two Change) int { return cmp.Compare(one.Team, two.Team) })
	return chs
}

// changes returns the change of a team since the last call, if there is one.
func (bkt *bucket) changes(name cardamompass.TeamName, now time.Time) (chs []Change) {
	refusing := !bkt.lastRefusal.IsZero() && now.Sub(bkt.lastRefusal) < quietTime
	if refusing == bkt.refusing {
		return nil
	}
	chg := Change{
		Team:     name,
		Refusing: refusing,
		Refused:  bkt.episode,
	}
	bkt.refusing = refusing
	if !refusing {
		bkt.episode = 0
	}
	return []Change{chg}
}

// Total returns the numbers of all teams that have or had a limit.
func (ldg *Ledger) Total() (cnt Counts) {
	cnt = ldg.past
	for _, bkt := range ldg.teams {
		cnt = cnt.plus(bkt.counts)
	}
	for _, bkt := range ldg.removed {
		cnt = cnt.plus(bkt.counts)
	}
	return cnt
}

func (cnt Counts) plus(oth Counts) (sum Counts) {
	return Counts{
		Taken:    cnt.Taken + oth.Taken,
		Refused:  cnt.Refused + oth.Refused,
		Returned: cnt.Returned + oth.Returned,
		Given:    cnt.Given + oth.Given,
		Received: cnt.Received + oth.Received,
	}
}

// Dump is the ledger in a state dump.
type Dump struct {
	// Share is the fraction of all tokens that this VM mints.
	Share float64    `json:"share"`
	Teams []TeamDump `json:"teams,omitempty"`
}

// TeamDump is the bucket of a team in a state dump.
type TeamDump struct {
	Team cardamompass.TeamName `json:"team"`
	// Tokens are those that can be used now, of which Received come from other VMs and expire. Given are those that other VMs may use.
	Tokens   float64 `json:"tokens"`
	Received float64 `json:"received"`
	Given    float64 `json:"given"`
	// Storage is the number of tokens that the VM can hold, MintPerSecond what it mints.
	Storage       float64 `json:"storage"`
	MintPerSecond float64 `json:"mint-per-second"`
	// Demand is in requests per second.
	Demand  float64 `json:"demand"`
	Taken   int64   `json:"taken"`
	Refused int64   `json:"refused"`
}

// Dump returns the state for a state dump.
func (ldg *Ledger) Dump(now time.Time) (dmp Dump) {
	dmp.Share = ldg.share
	for name, bkt := range ldg.teams {
		bkt.refill(ldg.share, now)
		dmp.Teams = append(dmp.Teams, TeamDump{
			Team:          name,
			Tokens:        bkt.stock(),
			Received:      bkt.received.sum(),
			Given:         bkt.given.sum(),
			Storage:       bkt.lim.storage * ldg.share,
			MintPerSecond: bkt.lim.mint * ldg.share,
			Demand:        bkt.demand.rate(now),
			Taken:         bkt.counts.Taken,
			Refused:       bkt.counts.Refused,
		})
	}
	slices.SortFunc(dmp.Teams, func(one, two TeamDump) int { return cmp.Compare(one.Team, two.Team) })
	return dmp
}
