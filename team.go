package cardamompass

import "time"

// TeamName is the name of a team.
type TeamName string

// Team is a group of callers that share keys, a quota and a priority. It is immutable.
type Team struct {
	Name TeamName
	// Priority replaces that of the route; 0 is the highest.
	Priority int
	// Rate is the number of requests per second that the team may send to all VMs together, Burst the number beyond it that it may send at
	// once. There is no limit if both are 0.
	Rate  float64
	Burst float64
	// HomeRegions are the regions that may serve the team; empty if all may.
	HomeRegions []Region
}

// Limited reports whether the team has a quota.
func (tea *Team) Limited() (ok bool) { return tea.Rate > 0 || tea.Burst > 0 }

// AllowsRegion reports whether the team may be served in region reg. A request without a team, for which tea is nil, may be served in
// all.
func (tea *Team) AllowsRegion(reg Region) (ok bool) {
	return tea == nil || allowsRegion(tea.HomeRegions, reg)
}

// Quota limits the requests of teams over all entry VMs. Implementations are safe for concurrent use.
type Quota interface {
	// Take takes the token of a request of a team, directly before the request is sent to a target. If there is none, the request must be
	// refused, and retryAfter is the time after which the caller should try again. A team without a limit always gets a token.
	Take(team TeamName) (ok bool, retryAfter time.Duration)
	// Return returns the token of a request that certainly did not reach a target. It is called within 300 ms of Take; a later call would
	// allow more requests in a window than the bound.
	Return(team TeamName)
}
