package config

import (
	"math"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/conf/jsonc"
)

const (
	minKeyBytes = 16 // a shorter shared key can be found by brute force
	// maxLookupAge is below the 5 minutes for which the ticket in a look-up response is valid.
	maxLookupAge = 4 * time.Minute
	hour         = time.Hour
	day          = 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// group reads the members of one object and applies their defaults.
type group struct {
	*jsonc.Object
}

func subgroup(grp group, name string) (sub group, ok bool) {
	nod, ok := grp.Get(name)
	if !ok {
		return group{}, false
	}
	return group{Object: nod.Object()}, true
}

func (grp group) get(name string) (nod jsonc.Node, ok bool) {
	if grp.Object == nil {
		return jsonc.Node{}, false
	}
	return grp.Get(name)
}

func (grp group) number(name string, def, least, most int) int {
	if nod, ok := grp.get(name); ok {
		if num, good := nod.Int(int64(least), int64(most)); good {
			return int(num)
		}
	}
	return def
}

func (grp group) duration(name string, def, least, most time.Duration) time.Duration {
	if nod, ok := grp.get(name); ok {
		if dur, good := nod.Duration(least, most); good {
			return dur
		}
	}
	return def
}

func (grp group) size(name string, def, least, most int64) int64 {
	if nod, ok := grp.get(name); ok {
		if num, good := nod.Size(least, most); good {
			return num
		}
	}
	return def
}

// name reads a required name.
func (grp group) name(name string) string {
	nod, ok := grp.Require(name)
	if !ok {
		return ""
	}
	txt, ok := nod.Text()
	if ok && !namePattern.MatchString(txt) {
		nod.Fail("%q is not a name; use 1 to 64 of a-z, 0-9, '.', '_' and '-', with a letter or digit first", txt)
	}
	return txt
}

// listen reads a required listen address.
func (grp group) listen(name string) string {
	nod, ok := grp.Require(name)
	if !ok {
		return ""
	}
	return address(nod, true)
}

// remote reads an address to which connections are made, with a default.
func (grp group) remote(name, def string) string {
	if nod, ok := grp.get(name); ok {
		return address(nod, false)
	}
	return def
}

// address reads an IP address and port. An unspecified address such as 0.0.0.0 is valid only for listening, and so is port 0,
// which selects any free port.
func address(nod jsonc.Node, listen bool) string {
	txt, ok := nod.Text()
	if !ok {
		return ""
	}
	adr, err := netip.ParseAddrPort(txt)
	switch {
	case err != nil:
		nod.Fail(`%q is not an address; use an IP address and a port, such as "10.0.0.1:7001"`, txt)
	case adr.Port() == 0 && !listen:
		nod.Fail("%q has port 0; use a port from 1 to 65535", txt)
	case adr.Addr().IsUnspecified() && !listen:
		nod.Fail("%q is not an address that others can reach; use the IP address of the machine", txt)
	default:
		return adr.String()
	}
	return ""
}

func read(nod jsonc.Node) (set Settings) {
	grp := group{Object: nod.Object()}
	set = readIdentity(grp)
	set.PeerKey = readKey(grp)
	set.Seeds = readSeeds(grp)
	set.LogLevel = readLevel(grp)
	set.LookupMaxAge = grp.duration("lookup-max-age", 5*time.Second, 100*time.Millisecond, maxLookupAge)
	set.Limits = readLimits(grp)
	set.Steering = readSteering(grp)
	set.Membership = readMembership(grp)
	set.Spread = readSpread(grp)
	set.Share = readShare(grp)
	set.Operations = readOperations(grp)
	set.Guard = readGuard(grp)
	checkAddresses(grp, set)
	grp.Close()
	return set
}

func readIdentity(grp group) (set Settings) {
	set = Settings{
		VMID:            cardamompass.VMID(grp.name("vm-id")),
		Region:          cardamompass.Region(grp.name("region")),
		FailureDomain:   cardamompass.FailureDomain(grp.name("failure-domain")),
		CallerAddress:   grp.listen("caller-address"),
		PeerAddress:     grp.listen("peer-address"),
		OperatorAddress: grp.listen("operator-address"),
		VMListAddress:   grp.remote("vm-list-address", ""),
	}
	set.AdvertiseCallerAddress = grp.remote("advertise-caller-address", set.CallerAddress)
	set.AdvertisePeerAddress = grp.remote("advertise-peer-address", set.PeerAddress)
	if nod, ok := grp.Require("store-address"); ok {
		set.StoreAddress = address(nod, false)
	}
	return set
}

func readKey(grp group) Secret {
	nod, ok := grp.Require("peer-key")
	if !ok {
		return Secret{}
	}
	txt, ok := nod.Text()
	if ok && len(txt) < minKeyBytes {
		nod.Fail("has %d bytes; use at least %d", len(txt), minKeyBytes)
	}
	return NewSecret(txt)
}

func readSeeds(grp group) (adrs []string) {
	nod, ok := grp.Get("seeds")
	if !ok {
		return nil
	}
	nods, _ := nod.Array()
	for _, one := range nods {
		adrs = append(adrs, address(one, false))
	}
	return adrs
}

func readLevel(grp group) zapcore.Level {
	nod, ok := grp.Get("log-level")
	if !ok {
		return zapcore.InfoLevel
	}
	txt, ok := nod.Text()
	lvl, known := map[string]zapcore.Level{
		"debug": zapcore.DebugLevel,
		"info":  zapcore.InfoLevel,
		"warn":  zapcore.WarnLevel,
		"error": zapcore.ErrorLevel,
	}[txt]
	if ok && !known {
		nod.Fail("%q is not a level; use debug, info, warn or error", txt)
	}
	return lvl
}

func readLimits(grp group) (lim Limits) {
	sub, ok := subgroup(grp, "limits")
	lim = Limits{
		MaxHeader:         sub.size("max-header", 16<<10, 1<<10, 1<<20),
		MaxBody:           sub.size("max-body", 1<<20, 0, catlg.MaxBodyBytes),
		MaxConnections:    sub.number("max-connections", 10000, 1, 1000000),
		IdleTimeout:       sub.duration("idle-timeout", time.Minute, time.Second, day),
		ReadHeaderTimeout: sub.duration("read-header-timeout", 5*time.Second, 100*time.Millisecond, 5*time.Minute),
	}
	if ok {
		sub.Close()
	}
	return lim
}

func readSteering(grp group) (str Steering) {
	sub, ok := subgroup(grp, "steering")
	str = Steering{
		HedgePercent: sub.number("hedge-percent", 3, 0, 100),
		RetryPercent: sub.number("retry-percent", 10, 0, 100),
		QueueLength:  sub.number("queue-length", 256, 0, catlg.MaxQueueLength),
	}
	if ok {
		sub.Close()
	}
	return str
}

func readMembership(grp group) (mbs Membership) {
	sub, ok := subgroup(grp, "membership")
	mbs = Membership{
		ProbeInterval: sub.duration("probe-interval", 500*time.Millisecond, 10*time.Millisecond, time.Minute),
		// The default allows four round trips of 70 ms, for a new connection, its handshake and the probe.
		ProbeTimeout: sub.duration("probe-timeout", 400*time.Millisecond, time.Millisecond, time.Minute),
		SuspectTime:  sub.duration("suspect-time", 2*time.Second, 10*time.Millisecond, 10*time.Minute),
	}
	if !ok {
		return mbs
	}
	if mbs.ProbeTimeout >= mbs.ProbeInterval {
		sub.Fail("probe-timeout", "%s must be below probe-interval, which is %s", mbs.ProbeTimeout, mbs.ProbeInterval)
	}
	// A suspected member refutes the suspicion at the next probe, so it needs at least one probe interval.
	if mbs.SuspectTime <= mbs.ProbeInterval {
		sub.Fail("suspect-time", "%s must exceed probe-interval, which is %s", mbs.SuspectTime, mbs.ProbeInterval)
	}
	sub.Close()
	return mbs
}

func readSpread(grp group) (spr Spread) {
	sub, ok := subgroup(grp, "spread")
	spr = Spread{
		Watchers:   sub.number("watchers", 3, 1, 100),
		PushFanout: sub.number("push-fanout", 4, 1, 100),
	}
	if ok {
		sub.Close()
	}
	return spr
}

func readShare(grp group) (shr Share) {
	sub, ok := subgroup(grp, "share")
	shr = Share{
		Lease: sub.duration("lease", hour, 10*time.Second, day),
		Loan:  sub.duration("loan", 2*time.Second, 100*time.Millisecond, 5*time.Minute),
	}
	if !ok {
		return shr
	}
	if shr.Loan >= shr.Lease {
		sub.Fail("loan", "%s must be below lease, which is %s", shr.Loan, shr.Lease)
	}
	sub.Close()
	return shr
}

func readOperations(grp group) (ops Operations) {
	sub, ok := subgroup(grp, "operations")
	ops = Operations{
		MaxRecords: sub.number("max-records", 200000, 1, math.MaxInt32),
	}
	if ok {
		sub.Close()
	}
	return ops
}

func readGuard(grp group) (grd Guard) {
	sub, ok := subgroup(grp, "guard")
	grd = Guard{
		BlockTime: sub.duration("block-time", 10*time.Minute, time.Second, day),
	}
	if ok {
		sub.Close()
	}
	return grd
}

// checkAddresses reports listen addresses that are used twice and advertised addresses that are unspecified.
func checkAddresses(grp group, set Settings) {
	seen := map[string]string{}
	for _, one := range []struct{ name, adr string }{
		{name: "caller-address", adr: set.CallerAddress},
		{name: "peer-address", adr: set.PeerAddress},
		{name: "operator-address", adr: set.OperatorAddress},
	} {
		if one.adr == "" || strings.HasSuffix(one.adr, ":0") {
			continue
		}
		if oth, ok := seen[one.adr]; ok {
			grp.Fail(one.name, "%s is also the %s; use another port", one.adr, oth)
		}
		seen[one.adr] = one.name
	}
	for _, one := range []struct{ name, listen, adr string }{
		{name: "caller-address", listen: set.CallerAddress, adr: set.AdvertiseCallerAddress},
		{name: "peer-address", listen: set.PeerAddress, adr: set.AdvertisePeerAddress},
	} {
		adr, err := netip.ParseAddrPort(one.adr)
		if err == nil && adr.Addr().IsUnspecified() && one.listen == one.adr {
			grp.Fail(one.name, "%s is not an address that others can reach; give advertise-%s too", one.adr, one.name)
		}
	}
}
