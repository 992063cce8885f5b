package quota

import (
	"cmp"
	"time"

	"cardamompass"
)

const (
	// mintFraction is the greatest fraction of a team's rate that the base shares of all VMs add up to. What is not minted can be stored:
	// at the usual demand, which is 62% of a rate, 0.95 served fewer requests of 87 teams with 67 VMs (94.9% instead of 96.1%).
	mintFraction = 0.9
	mintMax      = 1.1
	extra        = 10
	// transitTime is the longest time between Take and the arrival at a target that the bound allows for.
	transitTime = 300 * time.Millisecond
	// viewError is the fraction by which the base shares of all VMs may exceed 1 while VMs have different views of the fleet.
	viewError = 0.02
	// minStorageTime is the storage that a team has beside Slack, as the time in which it sends that many requests at its rate; at most a
	// quarter of the window. Without a burst and with 350 ms, 77% of the requests of 87 teams were served at once by 37 VMs, now 95%.
	minStorageTime = 1200 * time.Millisecond
	// storageFraction is the fraction of the computed storage that is used. The rest is for clocks that differ in speed.
	storageFraction = 0.9
	// minLife and maxLife bound the life of a grant. Within it, a grant must cross the network and be used.
	minLife = 600 * time.Millisecond
	maxLife = 3 * time.Second
	// lifeFactor is the life of a grant as a multiple of the time in which the receiver uses as many tokens as it wants to have. Longer
	// lives occupy the storage of the givers, shorter ones waste tokens.
	lifeFactor = 1.5
)

// The bounds of the deployments, used when the settings have none.
const (
	defaultWindow  = 5 * time.Second
	defaultOverage = 0.1
	defaultSlack   = 20
)

// Bounds are the bounds on the requests of a team. In any Window, all VMs together send at most
// (rate * Window + burst) * (1 + Overage) + Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	// Slack is a number of requests.
	Slack float64
}

// withDefaults returns the bounds of the deployments if there is no window.
func (bnd Bounds) withDefaults() (out Bounds) {
	if bnd.Window > 0 {
		return bnd
	}
	return Bounds{
		Window:  defaultWindow,
		Overage: cmp.Or(bnd.Overage, defaultOverage),
		Slack:   cmp.Or(bnd.Slack, defaultSlack),
	}
}

// Most returns the largest number of requests of a team in any window.
func (bnd Bounds) Most(tea *cardamompass.Team) (requests float64) {
	bnd = bnd.withDefaults()
	return (tea.Rate*bnd.Window.Seconds()+tea.Burst)*(1+bnd.Overage) + bnd.Slack
}

// limits are the limits of a team over all VMs.
type limits struct {
	// mint is the number of tokens per second, storage the number of tokens that all VMs together may hold or have in flight.
	mint    float64
	storage float64
}

// newLimits returns the limits of a team. What arrives at targets in a window was minted in the window and transitTime before it, or was
// stored at that time, so that mint * (window + transit) + storage must not exceed the bound.
func newLimits(tea *cardamompass.Team, bnd Bounds) (lim limits) {
	bnd = bnd.withDefaults()
	most := bnd.Most(tea)
	window := bnd.Window
	span := (window + transitTime).Seconds() * (1 + viewError)
	// Without a rate, half of the bound is minted and the other half stored.
	lim.mint = most / (2 * span)
	if tea.Rate > 0 {
		stored := tea.Rate * min(minStorageTime, window/4).Seconds()
		lim.mint = min(mintFraction*tea.Rate, (most-bnd.Slack-stored)/span)
	}
	lim.storage = storageFraction * (most - lim.mint*span)
	return lim
}
