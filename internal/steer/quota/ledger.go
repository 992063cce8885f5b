// Package quota limits the requests of teams over all VMs.
//
// Each VM has a token bucket for each team and takes a token for each request. It mints tokens at its base share of the team's rate: its
// weight divided by the sum of the weights of all VMs (see Fleet). Tokens move between VMs only as grants that answer asks. The giver
// subtracts a grant before it is sent, and the grant also occupies the giver's storage for as long as the receiver may use it. All tokens
// that are held or in flight therefore never exceed the storage of the team, whatever is lost, delayed or repeated, and in any window at
// most the tokens minted in it plus the storage are used. docs/design/quota.md has the derivation.
//
// The package uses neither clock nor network.
package quota

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"cardamompass"
)

const (
	// AskInterval is the time between two calls of Asks.
	AskInterval = 100 * time.Millisecond
	// Recipients is the number of VMs that the asks of one call are sent to; see Asks.For.
	Recipients = 5
	// smallRecipients is the number of those to which asks for few tokens are sent.
	smallRecipients = 2
	// maxAsks bounds the asks of one call; those that miss most come first.
	maxAsks = 20
	// maxAskPause is the longest pause between two asks for a team. The pause doubles while no grants arrive.
	maxAskPause = 8 * AskInterval
	// largeAsk is the number of missing tokens from which on each recipient is asked for a part of them only.
	largeAsk = 4.0
	// givenFraction is the fraction of its unneeded tokens that a VM gives at a time, so that the next VM that asks also gets some.
	givenFraction = 0.75
	// askBelow is the fraction of the wanted tokens below which a VM asks for more.
	askBelow = 0.8
	// minGrant is the smallest grant in tokens.
	minGrant = 0.02
	// forgetTime is how long the bucket of a team without a limit is kept. A team that is removed and added again does not get a full
	// bucket each time.
	forgetTime = 30 * time.Second
)

// TeamID identifies a team between VMs. It is a hash of its name.
type TeamID uint32

// IDOf returns the id of a team.
func IDOf(name cardamompass.TeamName) (id TeamID) {
	hsh := fnv.New32a()
	_, _ = hsh.Write([]byte(name)) // never fails
	return TeamID(hsh.Sum32())
}

// Ask asks another VM for tokens of a team.
type Ask struct {
	Team TeamID
	Want float64
	// Have is the number of tokens that the VM has.
	Have float64
	// Urgent is set when the VM has just refused a request.
	Urgent bool
	// Life is how long the VM needs the tokens.
	Life time.Duration
}

// Asks are the asks of one round.
type Asks struct {
	// Round identifies the round. It is unique among the rounds of the VM, also after a restart.
	Round uint64
	Asks  []Ask
}

// For returns the asks to send to a recipient, which is counted from 0. Asks for many tokens go to more VMs than others.
func (out Asks) For(recipient int) (asks Asks) {
	if recipient < smallRecipients {
		return out
	}
	return Asks{
		Round: out.Round,
		Asks:  slices.DeleteFunc(slices.Clone(out.Asks), func(ask Ask) bool { return ask.Want < largeAsk/2 }),
	}
}

// Grant are tokens of a team.
type Grant struct {
	Team   TeamID
	Tokens float64
	// Life is how long the tokens may be used, counted from the time of the round of asks.
	Life time.Duration
}

// Grants are the grants of one VM that answer one round of asks.
type Grants struct {
	From        cardamompass.VMID
	Incarnation cardamompass.Incarnation
	// Number identifies the grants of this incarnation.
	Number uint64
	// Round is that of the asks.
	Round  uint64
	Grants []Grant
}

// Counts are numbers of requests, and of tokens that moved.
type Counts struct {
	Taken    int64
	Refused  int64
	Returned int64
	Given    float64
	Received float64
}

// Config configures a Ledger.
type Config struct {
	Incarnation cardamompass.Incarnation
	Bounds      Bounds
}

// Ledger holds the tokens of a VM. It is not safe for concurrent use.
type Ledger struct {
	cfg    Config
	share  float64
	future float64
	// shared is the time of the last call of SetShare; zero before the first.
	shared  time.Time
	teams   map[cardamompass.TeamName]*bucket // teams with a limit
	byID    map[TeamID]*bucket                // those whose id is unique
	removed map[cardamompass.TeamName]*bucket
	past    Counts // of teams that were forgotten
	loaded  bool   // SetTeams was called
	round   uint64
	rounds  map[uint64]time.Time
	applied map[grantKey]time.Time
}

type grantKey struct {
	from        cardamompass.VMID
	incarnation cardamompass.Incarnation
	number      uint64
}

// New returns a Ledger without teams and with a share of 0.
func New(cfg Config) (ldg *Ledger) {
	return &Ledger{
		cfg:     cfg,
		teams:   make(map[cardamompass.TeamName]*bucket),
		byID:    make(map[TeamID]*bucket),
		removed: make(map[cardamompass.TeamName]*bucket),
		round:   uint64(cfg.Incarnation),
		rounds:  make(map[uint64]time.Time),
		applied: make(map[grantKey]time.Time),
	}
}

// Limited reports whether any team has a limit.
func (ldg *Ledger) Limited() (ok bool) { return len(ldg.teams) > 0 }

// SetTeams replaces the teams. Lower limits apply at once. The first teams of a process start with empty buckets, since its predecessor
// may have used the tokens; a team that is added later starts with full ones.
func (ldg *Ledger) SetTeams(teams map[cardamompass.TeamName]*cardamompass.Team, now time.Time) {
	for name, bkt := range ldg.teams {
		if tea := teams[name]; tea == nil || !tea.Limited() {
			bkt.refill(ldg.share, now)
			ldg.removed[name] = bkt
			delete(ldg.teams, name)
		}
	}
	for name, bkt := range ldg.removed {
		if now.Sub(bkt.filledAt) > forgetTime {
			ldg.past = ldg.past.plus(bkt.counts)
			delete(ldg.removed, name)
		}
	}
	first := !ldg.loaded
	ldg.loaded = true
	for name, tea := range teams {
		if tea.Limited() {
			ldg.setTeam(name, tea, first, now)
		}
	}
	ldg.index()
}

func (ldg *Ledger) setTeam(name cardamompass.TeamName, tea *cardamompass.Team, first bool, now time.Time) {
	bkt := ldg.teams[name]
	lim := newLimits(tea, ldg.cfg.Bounds)
	if bkt == nil {
		bkt = ldg.removed[name]
		delete(ldg.removed, name)
	}
	if bkt == nil {
		bkt = newBucket(lim, now)
		if !first {
			bkt.tokens = lim.storage * ldg.share
		}
	}
	bkt.refill(ldg.share, now)
	if bkt.lim.storage > lim.storage {
		bkt.received.take(bkt.received.sum() * (1 - lim.storage/bkt.lim.storage))
	}
	bkt.lim = lim
	bkt.refill(ldg.share, now)
	ldg.teams[name] = bkt
}

// index indexes the buckets by the ids of their teams. Teams whose ids are equal get no grants.
func (ldg *Ledger) index() {
	clear(ldg.byID)
	seen := make(map[TeamID]bool, len(ldg.teams))
	for name, bkt := range ldg.teams {
		id := IDOf(name)
		if seen[id] {
			delete(ldg.byID, id)
			continue
		}
		seen[id] = true
		ldg.byID[id] = bkt
	}
}

// SetBounds replaces the bounds; SetTeams applies them.
func (ldg *Ledger) SetBounds(bnd Bounds) { ldg.cfg.Bounds = bnd }

// SetShare sets the fraction of the tokens of all teams that this VM mints and stores.
func (ldg *Ledger) SetShare(shr Share, now time.Time) {
	ldg.dropIfFrozen(now)
	for _, bkt := range ldg.teams {
		bkt.refill(ldg.share, now)
		bkt.refill(shr.Now, now)
	}
	ldg.share = shr.Now
	ldg.future = shr.Future
	ldg.shared = now
}

// dropIfFrozen drops all tokens, and answers to asks, if SetShare has not been called for so long that the process was stopped. The other
// VMs may have raised their shares meanwhile.
func (ldg *Ledger) dropIfFrozen(now time.Time) {
	if ldg.shared.IsZero() || now.Sub(ldg.shared) <= freezeTime {
		return
	}
	ldg.shared = now
	ldg.share = 0
	clear(ldg.rounds)
	for _, bkt := range ldg.teams {
		bkt.filledAt = now
		bkt.tokens = 0
		bkt.received = nil
	}
}

// Share returns the fraction of the tokens of all teams that this VM mints and stores.
func (ldg *Ledger) Share() (fraction float64) { return ldg.share }

// Take takes a token of a team. If there is none, retryAfter is the time after which the caller should try again. A team without a limit
// always gets a token. Before the first call of SetTeams no team gets one.
func (ldg *Ledger) Take(name cardamompass.TeamName, now time.Time) (ok bool, retryAfter time.Duration) {
	ldg.dropIfFrozen(now)
	if !ldg.loaded {
		return false, minRetryAfter
	}
	bkt := ldg.teams[name]
	if bkt == nil || bkt.take(ldg.share, now) {
		return true, 0
	}
	return false, bkt.promise(max(ldg.share, ldg.future), now)
}

// Return returns the token of a request that certainly did not reach a target.
func (ldg *Ledger) Return(name cardamompass.TeamName, now time.Time) {
	if bkt := ldg.teams[name]; bkt != nil {
		bkt.giveBack(ldg.share, now)
	}
}

// shortTeam is a team of which tokens are missing.
type shortTeam struct {
	id      TeamID
	bkt     *bucket
	missing float64
}

// Asks returns the asks for the teams that are short of tokens, to be sent to Recipients other VMs. It is called every AskInterval.
func (ldg *Ledger) Asks(now time.Time) (out Asks) {
	maps.DeleteFunc(ldg.rounds, func(_ uint64, sent time.Time) bool { return now.Sub(sent) > maxLife })
	maps.DeleteFunc(ldg.applied, func(_ grantKey, at time.Time) bool { return now.Sub(at) > maxLife })
	short := ldg.shortTeams(now)
	if len(short) == 0 {
		return Asks{}
	}
	ldg.round++
	ldg.rounds[ldg.round] = now
	out.Round = ldg.round
	for _, itm := range short[:min(len(short), maxAsks)] {
		itm.bkt.asked(now)
		want := itm.missing
		if want >= largeAsk {
			want /= 2
		}
		out.Asks = append(out.Asks, Ask{
			Team:   itm.id,
			Want:   want,
			Have:   itm.bkt.stock(),
			Urgent: itm.bkt.urgent(now),
			Life:   itm.bkt.life(max(ldg.share, ldg.future), now),
		})
	}
	return out
}

// shortTeams returns the teams to ask for now, those that miss most first.
func (ldg *Ledger) shortTeams(now time.Time) (short []shortTeam) {
	for id, bkt := range ldg.byID {
		if now.Before(bkt.askAt) {
			continue
		}
		bkt.refill(ldg.share, now)
		want, stock := bkt.wanted(now), bkt.stock()
		if missing := want - stock; stock < max(fullToken, want*askBelow) && missing > minGrant {
			short = append(short, shortTeam{
				id:      id,
				bkt:     bkt,
				missing: missing,
			})
		}
	}
	slices.SortFunc(short, func(one, two shortTeam) int {
		return cmp.Or(cmp.Compare(two.missing, one.missing), cmp.Compare(one.id, two.id))
	})
	return short
}

// asked sets the time of the next ask.
func (bkt *bucket) asked(now time.Time) {
	bkt.askPause = min(max(AskInterval, 2*bkt.askPause), maxAskPause)
	if bkt.answered {
		bkt.askPause = AskInterval
	}
	bkt.answered = false
	bkt.askAt = now.Add(bkt.askPause - AskInterval/2) // half an interval of tolerance for late calls
}

// Give answers an ask of another VM with a part of the tokens that this VM does not need. The tokens are subtracted at once.
func (ldg *Ledger) Give(ask Ask, now time.Time) (grt Grant, ok bool) {
	ldg.dropIfFrozen(now)
	bkt := ldg.byID[ask.Team]
	if bkt == nil || !(ask.Want > 0) {
		return Grant{}, false
	}
	bkt.refill(ldg.share, now)
	tokens := min(bkt.surplus(ask, now), ask.Want)
	if tokens < minGrant {
		return Grant{}, false
	}
	bkt.tokens -= tokens
	life := min(max(ask.Life, minLife), maxLife)
	bkt.given.add(now.Add(life), tokens)
	bkt.counts.Given += tokens
	return Grant{
		Team:   ask.Team,
		Tokens: tokens,
		Life:   life,
	}, true
}

// Receive adds grants. Grants that were added before, that answer no recent asks of this process or that have expired have no effect.
func (ldg *Ledger) Receive(grs Grants, now time.Time) (ok bool) {
	ldg.dropIfFrozen(now)
	asked, known := ldg.rounds[grs.Round]
	key := grantKey{
		from:        grs.From,
		incarnation: grs.Incarnation,
		number:      grs.Number,
	}
	if _, again := ldg.applied[key]; again || !known {
		return false
	}
	ldg.applied[key] = now
	for _, grt := range grs.Grants {
		until := asked.Add(min(grt.Life, maxLife))
		bkt := ldg.byID[grt.Team]
		if bkt == nil || !(grt.Tokens > 0) || !now.Before(until) {
			continue
		}
		bkt.receive(min(grt.Tokens, bkt.lim.storage), until, ldg.share, now)
		bkt.answered = true
		bkt.counts.Received += grt.Tokens
	}
	return true
}
