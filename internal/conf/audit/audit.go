// Package audit checks routing tables for what is valid but hardly intended, and compares two versions as operators would describe the
// difference. Its functions are pure functions of decoded tables; what it returns contains no keys.
package audit

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"

	"cardamompass"
)

// The codes of findings.
const (
	CodeRejected         = "rejected"
	CodeVersionNotNewer  = "version-not-newer"
	CodeRouteShadowed    = "route-shadowed"
	CodeRouteUnreachable = "route-unreachable"
	CodeUnknownService   = "unknown-service"
	CodeShortTimeout     = "timeout-below-objective"
	CodeNoCommonRegion   = "no-common-region"
	CodeNoKey            = "team-without-key"
	CodeBurstWithoutRate = "burst-without-rate"
	CodeSmallBurst       = "burst-below-one"
)

// Finding is one thing in a configuration that should be corrected before the configuration is sent.
type Finding struct {
	// Code identifies the kind of the finding.
	Code string `json:"code"`
	// Place is the path of the entry in the document, with its name.
	Place string `json:"place"`
	// Problem says what is wrong, Remedy what to do about it.
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// Check returns the findings of a table, which must be a result of WithIndex. cur is the table in force, nil if it is not known.
func Check(tbl, cur *cardamompass.RoutingTable) (list []Finding) {
	if cur != nil && tbl.Version <= cur.Version {
		list = append(list, Finding{
			Code:    CodeVersionNotNewer,
			Place:   "version",
			Problem: fmt.Sprintf("%x is not greater than %x, the version in force, so VMs ignore the configuration", tbl.Version, cur.Version),
			Remedy:  fmt.Sprintf("use %x or a greater version", cur.Version+1),
		})
	}
	for num := range tbl.Routes {
		list = append(list, checkRoute(tbl, num)...)
	}
	for _, name := range slices.Sorted(maps.Keys(tbl.Teams)) {
		list = append(list, checkTeam(tbl, tbl.Teams[name])...)
	}
	return list
}

func checkRoute(tbl *cardamompass.RoutingTable, num int) (list []Finding) {
	rte := &tbl.Routes[num]
	add := func(code, remedy, format string, args ...any) {
		list = append(list, Finding{
			Code:    code,
			Place:   fmt.Sprintf("routes[%d] %q", num, rte.Name),
			Problem: fmt.Sprintf(format, args...),
			Remedy:  remedy,
		})
	}
	// The longest prefix wins, so only a route with the same host and prefix can hide another one completely.
	if won, ok := tbl.Match(rte.Host, rte.Prefix); ok && won != rte {
		add(CodeRouteShadowed, "remove one of the two routes, or change its host or prefix",
			"%s%s is served by the earlier route %q with the same host and prefix", rte.Host, rte.Prefix, won.Name)
	}
	if reason := unreachable(rte); reason != "" {
		add(CodeRouteUnreachable, "correct the host or the prefix", "no request for a valid host name and path matches %s%s: %s", rte.Host, rte.Prefix, reason)
	}
	for _, wsv := range rte.WeightedServices {
		if _, ok := tbl.Services[wsv.Service]; !ok {
			add(CodeUnknownService, "add it to the services, or correct the name", "service %q is not among the services", wsv.Service)
		}
	}
	if rte.Timeout > 0 && rte.Timeout < rte.LatencyObjective {
		add(CodeShortTimeout, "raise timeout-s or lower latency-objective-s",
			"timeout-s %s is below latency-objective-s %s", seconds(rte.Timeout), seconds(rte.LatencyObjective))
	}
	if tbl.HasTeams() && !rte.Public && !anyTeam(tbl, rte) {
		add(CodeNoCommonRegion, "add a home region of a team to the route, or the reverse",
			"home-regions %q has no region in common with any team, so every request gets 403", rte.HomeRegions)
	}
	return list
}

// unreachable returns why no request can match a route, or "" if one can.
func unreachable(rte *cardamompass.Route) (reason string) {
	if _, _, err := net.SplitHostPort(rte.Host); err == nil {
		return "the port is removed from the host of a request"
	}
	if strings.ContainsAny(rte.Host, "*/ ") {
		return "hosts are compared literally, and the host has a character that no host name has"
	}
	for _, chr := range []byte(rte.Prefix) {
		// net/url escapes these bytes of a path; a question mark ends it.
		if chr <= ' ' || chr >= 0x7f || strings.IndexByte("?#\"<>\\^`{|}", chr) >= 0 {
			return fmt.Sprintf("paths are compared in escaped form, in which %q can't occur", chr)
		}
	}
	return ""
}

// anyTeam reports whether a region may serve the route for at least one team.
func anyTeam(tbl *cardamompass.RoutingTable, rte *cardamompass.Route) (ok bool) {
	for _, tea := range tbl.Teams {
		if rte.AllowsTeam(tea) {
			return true
		}
	}
	return false
}

func checkTeam(tbl *cardamompass.RoutingTable, tea *cardamompass.Team) (list []Finding) {
	add := func(code, problem, remedy string) {
		list = append(list, Finding{
			Code:    code,
			Place:   fmt.Sprintf("team %q", tea.Name),
			Problem: problem,
			Remedy:  remedy,
		})
	}
	if tbl.KeysNotIn(nil, tea.Name) == 0 {
		add(CodeNoKey, "the team has no key, or only an empty one, so no request belongs to it", "add a key, or remove the team")
	}
	if tea.Rate == 0 && tea.Burst > 0 {
		add(CodeBurstWithoutRate, fmt.Sprintf("rate-per-s is 0 with burst %v: the team is limited to little more than its burst in each quota "+
			"window, not unlimited", tea.Burst), "set rate-per-s, or remove burst for no limit")
	}
	if tea.Burst > 0 && tea.Burst < 1 {
		add(CodeSmallBurst, fmt.Sprintf("burst %v is less than one request", tea.Burst), "use a burst of at least 1, or 0 for none")
	}
	return list
}
