package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/load/caller"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/target"
)

const (
	gulf     = cardamompass.Region("gulf")
	delta    = cardamompass.Region("delta")
	piedmont = cardamompass.Region("piedmont")
	// callersPerRegion is the number of callers, each with a loopback address of its own, because look-up answers rotate by
	// the caller's address.
	callersPerRegion = 140
	// requestTimeout is the deadline of short requests.
	requestTimeout = 2 * time.Second
)

// Site is a demo site with callers.
type Site struct {
	*demo.Site
	callers map[cardamompass.Region][]*caller.Caller
	specs   []cardamompass.Target
	total   int
	// client makes direct requests.
	client *http.Client
}

// group describes the targets of one service in one region.
type group struct {
	service cardamompass.ServiceName
	region  cardamompass.Region
	count   int
	slots   int
	bhv     target.Behaviour
}

// siteConfig describes a site.
type siteConfig struct {
	vms    []demo.Place
	groups []group
	naive  bool
	// edit changes the configuration further; optional.
	edit func(cfg *demo.Config) error
}

// newSite starts a site with callers in all regions.
func newSite(scf siteConfig) (sit *Site, cleanup func(), err error) {
	cfg, err := demo.Small(zap.NewNop())
	if err != nil {
		return nil, nil, err
	}
	cfg.VMs, cfg.Targets, cfg.Naive = scf.vms, nil, scf.naive
	behaviours := make(map[cardamompass.TargetID]target.Behaviour)
	for _, grp := range scf.groups {
		for num := range grp.count {
			tid := cardamompass.TargetID(fmt.Sprintf("%s-%s-%02d", grp.service, grp.region, num))
			behaviours[tid] = grp.bhv
			cfg.Targets = append(cfg.Targets, cardamompass.Target{
				ID:            tid,
				Service:       grp.service,
				Region:        grp.region,
				FailureDomain: domain(num),
				Slots:         grp.slots,
				Connections:   330,
			})
		}
	}
	cfg.Behaviour = func(tgt cardamompass.Target) target.Behaviour { return behaviours[tgt.ID] }
	if scf.edit != nil {
		if err := scf.edit(&cfg); err != nil {
			return nil, nil, err
		}
	}
	dst, stop, err := demo.New(cfg)
	if err != nil {
		return nil, nil, err
	}
	sit = &Site{
		Site:    dst,
		callers: make(map[cardamompass.Region][]*caller.Caller),
		specs:   cfg.Targets,
		client:  clientFrom(net.IPv4(127, 0, 0, 1)),
	}
	if !scf.naive {
		if err := sit.awaitSteady(); err != nil {
			stop()
			return nil, nil, err
		}
	}
	closes := sit.addCallers()
	return sit, func() {
		for _, cls := range closes {
			cls()
		}
		sit.client.CloseIdleConnections()
		stop()
	}, nil
}

func domain(num int) cardamompass.FailureDomain {
	return []cardamompass.FailureDomain{"a", "b"}[num%2]
}

// places returns count places in a region, in alternate failure domains.
func places(reg cardamompass.Region, count int) (plcs []demo.Place) {
	for num := range count {
		plcs = append(plcs, demo.Place{
			Region:        reg,
			FailureDomain: domain(num),
		})
	}
	return plcs
}

func (sit *Site) addCallers() (closes []func()) {
	var entries []string
	for _, prc := range sit.VMs {
		entries = append(entries, prc.VM().CallerAddress)
	}
	for pos, reg := range []cardamompass.Region{gulf, delta, piedmont} {
		for num := range callersPerRegion {
			first := num % len(entries)
			clr, stop := caller.New(caller.Config{
				Entries: append(append([]string{}, entries[first:]...), entries[:first]...),
				Region:  reg,
				Client:  clientFrom(net.IPv4(127, 0, byte(1+pos), byte(1+num))),
			})
			sit.callers[reg] = append(sit.callers[reg], clr)
			closes = append(closes, stop)
		}
	}
	return closes
}

// clientFrom returns a client whose connections come from the given loopback address.
func clientFrom(ipn net.IP) *http.Client {
	dlr := &net.Dialer{
		LocalAddr: &net.TCPAddr{
			IP: ipn,
		},
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dlr.DialContext,
			MaxIdleConnsPerHost: 256,
			DisableCompression:  true,
		},
	}
}

// ask describes the requests of a stream.
type ask struct {
	service cardamompass.ServiceName
	region  func(num int) cardamompass.Region
	prefix  string
	timeout time.Duration
	// serviceMS is the mean service time; single ones are spread evenly from half to one and a half of it. Zero leaves
	// the service time to the target.
	serviceMS float64
	seed      uint64
}

// sender returns the function that sends the requests of a stream.
func (sit *Site) sender(ask ask) func(ctx context.Context, num int) Outcome {
	return func(ctx context.Context, num int) Outcome {
		rng := rand.New(rand.NewPCG(ask.seed, uint64(num)))
		reg := ask.region(num)
		clrs := sit.callers[reg]
		hdr := http.Header{
			target.HeaderOperation: {string(reg)},
		}
		clr := clrs[rng.IntN(len(clrs))]
		if ask.serviceMS > 0 {
			hdr.Set(target.HeaderServiceTime, strconv.FormatFloat(ask.serviceMS*(0.5+rng.Float64()), 'f', 2, 64))
		}
		rsp, err := clr.Do(ctx, caller.Request{
			ID:         cardamompass.RequestID(ask.prefix + strconv.Itoa(num)),
			Service:    ask.service,
			Method:     http.MethodGet,
			Path:       "/stock/" + strconv.Itoa(num),
			Idempotent: true,
			Timeout:    ask.timeout,
			Header:     hdr,
		})
		return outcomeOf(rsp, err)
	}
}

func outcomeOf(rsp caller.Response, err error) (oct Outcome) {
	oct = Outcome{
		Sendings: max(1, rsp.Attempts),
		Bytes:    len(rsp.Body),
	}
	switch {
	case err != nil:
		oct.Reason = "no answer"
	case rsp.Outcome != cardamompass.OutcomeAnswered:
		oct.Reason = string(rsp.Outcome) + ": " + rsp.Reason
	case rsp.Status != http.StatusOK:
		oct.Reason = "status " + strconv.Itoa(rsp.Status)
	default:
		oct.OK = true
	}
	return oct
}

// arrived returns the number of requests that reached the targets, run or shed, since the last call.
func (sit *Site) arrived() (count int) {
	total := 0
	for _, tgt := range sit.Targets {
		rns := tgt.Runs()
		total += rns.Total + rns.Shed
	}
	count = total - sit.total
	sit.total = total
	return count
}

// fromGulf makes all requests of a stream those of gulf callers.
func fromGulf(int) cardamompass.Region { return gulf }
