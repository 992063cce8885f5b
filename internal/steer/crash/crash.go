// Package crash decides which contents are refused because targets crash while they run them.
//
// Every content in flight at a target that crashes is suspected. After Limit crashes without an answer in between, requests with the
// content are refused. An answer clears a content only of the crashes that were known then, and only if it shows that the target has survived
// the request. The crashes are those that all VMs have reported, besides this VM's own, which count before their reports are read.
//
// A content that was in flight at several crashes by coincidence must not stay refused for as long as the reports hold. One VM of the fleet
// therefore lets a request through from time to time; see Trials. The packages guard and crash differ in how VMs learn of crashes: guard relies
// on calls between the VMs before a caller gets the outcome.
//
// A Guard is safe for concurrent use. It does no I/O and reads no clock.
package crash

import (
	"net/http"
	"sync"
	"time"

	"cardamompass"
)

const (
	// Limit is the number of crashes after which a content is refused. One or two can be coincidence, because other requests are in flight
	// at a target that crashes.
	Limit = 3
	// Trials is the number of requests that are let through after the crash that was the Limit-th, trialDelay the time before the first of
	// them. The time doubles with each crash beyond the limit.
	Trials     = 3
	trialDelay = time.Minute
	// ownTime is how long a crash that this VM has seen counts without its report, which may have lapsed unread. Reports hold as long.
	ownTime = 10 * time.Minute
	// maxContents bounds the memory of a Guard. Only contents with known crashes need any.
	maxContents = 10000
)

// Count returns the number of crashes in reports about one content. VMs of an earlier version report no start; such a report may be that of a
// crash which another VM has reported with its start, and counts only if there is none.
func Count(reports []cardamompass.Crash) (count int) {
	started := make(map[cardamompass.InstanceID]bool)
	distinct := make(map[cardamompass.Crash]bool)
	for _, crs := range reports {
		distinct[crs] = true
		if crs.StartMillis != 0 {
			started[crs.Instance] = true
		}
	}
	for crs := range distinct {
		if crs.StartMillis != 0 || !started[crs.Instance] {
			count++
		}
	}
	return count
}

// Survived reports whether an answer with the status shows that its target has run the request without a crash. An error of the target may
// have come before the part of the work that crashes it, and some statuses mean that the request has not run.
func Survived(status int) (ok bool) {
	switch status {
	case http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	default:
		return status < http.StatusInternalServerError
	}
}

// Guard knows what a VM needs besides the reports.
type Guard struct {
	mu       sync.Mutex
	contents map[string]*content
}

// content is a content with known crashes.
type content struct {
	// own are the crashes that this VM has seen and whose reports it has not read yet, with the time when it saw them.
	own map[cardamompass.Crash]time.Time
	// cleared are the crashes that don't count, since a target has survived the content after they were known.
	cleared map[cardamompass.Crash]bool
	// count is the number of crashes that counted at the last look, since is when it last rose, tried when a request was last let through.
	count        int
	since, tried time.Time
}

// New returns a Guard that knows of no crash.
func New() (grd *Guard) {
	return &Guard{
		contents: make(map[string]*content),
	}
}

// Crashed records a crash that this VM has seen.
func (grd *Guard) Crashed(crs cardamompass.Crash, now time.Time) {
	grd.mu.Lock()
	defer grd.mu.Unlock()
	grd.contentOf(crs.Fingerprint).own[crs] = now
}

// Survived records that a target has survived a request with the content. reports are the crashes that the VMs have reported about it. The
// result are the crashes that must be withdrawn, since other VMs refuse the content because of them.
func (grd *Guard) Survived(fingerprint string, reports []cardamompass.Crash, now time.Time) (withdrawn []cardamompass.Crash) {
	grd.mu.Lock()
	defer grd.mu.Unlock()
	con := grd.known(fingerprint, reports, now)
	if con == nil {
		return nil
	}
	counted := con.counted(reports)
	for _, crs := range counted {
		con.cleared[crs] = true
	}
	if Count(counted) >= Limit {
		return counted
	}
	return nil
}

// Refused reports whether a request with the content is refused. tries is called if one could be let through now, and reports whether this VM
// is the one that does so; nil if the request must not be that one.
func (grd *Guard) Refused(fingerprint string, reports []cardamompass.Crash, tries func() bool, now time.Time) (ok bool) {
	grd.mu.Lock()
	defer grd.mu.Unlock()
	con := grd.known(fingerprint, reports, now)
	if con == nil {
		return false
	}
	count := Count(con.counted(reports))
	if count > con.count {
		con.since = now
	}
	con.count = count
	if count < Limit {
		return false
	}
	if tries == nil || !con.tryDue(now) || !tries() {
		return true
	}
	con.tried = now
	return false
}

// known returns the content, or nil if no crash is known.
func (grd *Guard) known(fingerprint string, reports []cardamompass.Crash, now time.Time) (con *content) {
	con = grd.contents[fingerprint]
	if con == nil && len(reports) == 0 {
		return nil
	}
	if con == nil {
		con = grd.contentOf(fingerprint)
	}
	for _, crs := range reports {
		delete(con.own, crs) // from now on it counts as long as the report holds
	}
	for crs, seen := range con.own {
		if now.Sub(seen) > ownTime {
			delete(con.own, crs)
		}
	}
	if len(reports) == 0 && len(con.own) == 0 {
		delete(grd.contents, fingerprint)
		return nil
	}
	return con
}

// contentOf returns the content, which it adds if it is not known. If there are too many, it drops another one.
func (grd *Guard) contentOf(fingerprint string) (con *content) {
	if con = grd.contents[fingerprint]; con != nil {
		return con
	}
	if len(grd.contents) >= maxContents {
		for other := range grd.contents {
			delete(grd.contents, other)
			break
		}
	}
	con = &content{
		own:     make(map[cardamompass.Crash]time.Time),
		cleared: make(map[cardamompass.Crash]bool),
	}
	grd.contents[fingerprint] = con
	return con
}

// counted returns the crashes that count.
func (con *content) counted(reports []cardamompass.Crash) (list []cardamompass.Crash) {
	for _, crs := range reports {
		if !con.cleared[crs] {
			list = append(list, crs)
		}
	}
	for crs := range con.own {
		if !con.cleared[crs] {
			list = append(list, crs)
		}
	}
	return list
}

// tryDue reports whether a request can be let through although the content is refused.
func (con *content) tryDue(now time.Time) (ok bool) {
	beyond := con.count - Limit
	if beyond >= Trials {
		return false
	}
	delay := trialDelay << beyond
	return now.Sub(con.since) >= delay && now.Sub(con.tried) >= delay
}
