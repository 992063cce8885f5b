package node

import (
	"time"

	"github.com/uber-go/tally/v4"

	"cardamompass"
	"cardamompass/internal/edge/tokens"
	"cardamompass/internal/steer/quota"
)

// newTokens returns the quotas of teams. They use the follower and the exchanger, which start later.
func (nod *Node) newTokens(scp tally.Scope) (lim *tokens.Limiter) {
	return tokens.New(tokens.Config{
		Self:        nod.self,
		Regions:     nod.cfg.Settings.Regions,
		OtherVMs:    func() []cardamompass.VM { return nod.exchanger.OtherVMs() },
		StoreAge:    func() time.Duration { return nod.follower.StoreAge() },
		StoreOutage: func() time.Duration { return nod.follower.OutageAge() },
		Bounds:      quotaBounds(nod.cfg.Settings),
		Clock:       nod.cfg.Clock,
		Log:         nod.cfg.Log,
		Scope:       scp,
	})
}

func quotaBounds(set cardamompass.VMSettings) (bnd quota.Bounds) {
	return quota.Bounds{
		Window:  set.QuotaWindow,
		Overage: set.QuotaOverage,
		Slack:   set.QuotaSlack,
	}
}
