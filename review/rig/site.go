//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cardamompass/internal/stand/pstore"
)

// The names of the site, and figures that the sites have in common.
const (
	service     = "svc-core"
	host        = "site.example"
	region      = "east"
	coldStart   = 3 * time.Second
	coldOverage = 1.5
	heartbeat   = 1500 * time.Millisecond
	// attempts is the number of endpoints to which a request of an idempotent route may go.
	attempts = 2
)

// bounds are the bounds and limits in which the sites differ.
type bounds struct {
	stableWindow, drain, configApply time.Duration
	ackS, catchUpS, budgetSlack      int
	coldPerS                         float64
	coldSlack                        int
	writesPerS, readsPerS            int
	cpuShare                         float64
	memoryMB, maxFds, linkMbps       int
}

// smallSite has the bounds of mbmu-rain, grownSite those of mbmu-rain-grown, pipelineSite those of ironbark-catalogue-grown.
var (
	smallSite = bounds{
		stableWindow: 3 * time.Second,
		drain:        2 * time.Second,
		configApply:  2 * time.Second,
		ackS:         4,
		catchUpS:     4,
		budgetSlack:  56,
		coldPerS:     7,
		coldSlack:    5,
		writesPerS:   400,
		readsPerS:    2000,
		cpuShare:     0.32,
		memoryMB:     284,
		maxFds:       4100,
		linkMbps:     1000,
	}
	grownSite = bounds{
		stableWindow: 4 * time.Second,
		drain:        3 * time.Second,
		configApply:  3 * time.Second,
		ackS:         5,
		catchUpS:     6,
		budgetSlack:  162,
		coldPerS:     4.8,
		coldSlack:    8,
		writesPerS:   1200,
		readsPerS:    6000,
		cpuShare:     0.8,
		memoryMB:     536,
		maxFds:       8192,
		linkMbps:     200,
	}
	pipelineSite = bounds{
		stableWindow: 4 * time.Second,
		drain:        3 * time.Second,
		configApply:  3 * time.Second,
		ackS:         5,
		catchUpS:     6,
		budgetSlack:  220,
		coldPerS:     4.8,
		coldSlack:    8,
		writesPerS:   1200,
		readsPerS:    6000,
		cpuShare:     0.368,
		memoryMB:     397,
		maxFds:       8192,
		linkMbps:     200,
	}
)

// zones are the zones of the site's only region. Each has an entry VM.
var zones = []string{"east-1", "east-2", "east-3"}

// node is an entry VM.
type node struct {
	name, ip string
	cmd      *exec.Cmd
}

func (nod *node) front() (address string)     { return nod.ip + ":8161" }
func (nod *node) ready() (address string)     { return nod.ip + ":8167" }
func (nod *node) directory() (address string) { return nod.ip + ":8164" }

// site is a small deployment: a store, entry VMs as processes, and endpoints.
type site struct {
	rec       *record
	bds       bounds
	store     *pstore.Store
	dir       string
	network   string // begin of the loopback addresses
	nodes     []*node
	endpoints []*endpoint
	stops     []func()
}

// newSite starts the store, count endpoints and the entry VMs, and waits until these are ready. The processes end with close.
func newSite(ctx context.Context, rec *record, bds bounds, count int, set endpointSettings) (sit *site, err error) {
	sit = &site{
		rec:     rec,
		bds:     bds,
		network: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	defer func() {
		if err != nil {
			sit.close()
		}
	}()
	var stop func()
	if sit.store, stop, err = pstore.New(sit.network + "200:0"); err != nil {
		return nil, err
	}
	sit.stops = append(sit.stops, stop)
	if sit.dir, err = os.MkdirTemp("", "review-rig-"); err != nil {
		return nil, err
	}
	sit.stops = append(sit.stops, func() { _ = os.RemoveAll(sit.dir) })
	sit.configure()
	for range count {
		if _, err = sit.addEndpoint(set); err != nil {
			return nil, err
		}
	}
	for num := range zones {
		if err = sit.startNode(num); err != nil {
			return nil, err
		}
	}
	return sit, sit.awaitReady(ctx)
}

// close ends all that the site has started, the processes first.
func (sit *site) close() {
	for _, nod := range sit.nodes {
		_ = nod.cmd.Process.Kill()
		_ = nod.cmd.Wait()
	}
	for _, edp := range sit.endpoints {
		edp.stop()
	}
	for num := len(sit.stops) - 1; num >= 0; num-- {
		sit.stops[num]()
	}
}

// configure writes the operator's configuration.
func (sit *site) configure() {
	route := func(prefix, kind string, tries int, timeout float64) map[string]any {
		return map[string]any{
			"name":           "r" + strings.ReplaceAll(prefix, "/", "-"),
			"host":           host,
			"prefix":         prefix,
			"kind":           kind,
			"timeoutS":       timeout,
			"targetLatencyS": 0.4,
			"priority":       1,
			"service":        service,
			"attempts":       tries,
			"sticky":         false,
			"homeRegions":    []string{},
		}
	}
	sit.store.Put("op/config", map[string]any{
		"version": "00000001",
		"routes": []map[string]any{
			route("/get/", "idempotent", attempts, 2),
			route(download, "download", attempts, 10),
			route("/post/", "non_idempotent", 1, 2),
		},
		"services": []map[string]any{{
			"name":       service,
			"healthPath": "/healthz",
			"maxConns":   330,
			"protocol":   "h1",
			"coldStartS": coldStart.Seconds(),
			"coldPerS":   sit.bds.coldPerS,
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384,
			"maxBodyBytes":   1 << 20,
			"headerTimeoutS": 3,
			"idleTimeoutS":   15,
		},
	})
}

// startNode starts an entry VM with the command of the deploy file.
func (sit *site) startNode(num int) (err error) {
	nod := &node{
		name: fmt.Sprintf("front-%s-1", zones[num]),
		ip:   fmt.Sprint(sit.network, num+1),
	}
	var text strings.Builder
	fmt.Fprintf(&text, "node = %q\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\",\"directory\"]\n", nod.name)
	fmt.Fprintf(&text, "ip = %q\nzone = %q\nregion = %q\ninternalPortRange = [7720,7735]\nbootstrap = true\n", nod.ip, zones[num], region)
	fmt.Fprintf(&text, "heartbeatIntervalS = %g\n", heartbeat.Seconds())
	bds := sit.bds
	fmt.Fprintf(&text, "bounds = [\"seedLagS=3\",\"reuseAfterS=2\",\"stableWindowS=%g\",\"ackS=%d\",\"catchUpS=%d\",\"drainS=%g\",\"graceS=6\","+
		"\"lossSlackS=0.2\",\"configApplyS=%g\",\"rollbackSlackS=0.25\",\"stretchMaxS=5\",\"budgetRatio=0.2\",\"budgetWindowS=10\","+
		"\"budgetSlack=%d\",\"coldOverage=%g\",\"coldSlack=%d\",\"evacS=5\",\"recoverS=15\",\"ttl_max_s=5\",\"maxRegionShift=0.15\"]\n",
		bds.stableWindow.Seconds(), bds.ackS, bds.catchUpS, bds.drain.Seconds(), bds.configApply.Seconds(), bds.budgetSlack, coldOverage,
		bds.coldSlack)
	text.WriteString("[zones]\n")
	for _, zone := range zones {
		fmt.Fprintf(&text, "%s = %q\n", zone, region)
	}
	fmt.Fprintf(&text, "[listen]\nfront = %q\nready = %q\ndirectory = %q\n", nod.front(), nod.ready(), nod.directory())
	fmt.Fprintf(&text, "[limits]\ncpuShare = %g\ncores = 1\nmemoryMb = %d\nmaxFds = %d\nlinkMbps = %d.0\n", bds.cpuShare, bds.memoryMB,
		bds.maxFds, bds.linkMbps)
	fmt.Fprintf(&text, "[tolerate]\nmachines = 2\nzones = 1\nregions = 1\n[platform]\naddr = %q\nform = \"kv\"\nwritesPerS = %d\n"+
		"readsPerS = %d\nhistoryS = 20\nvalueBytes = 1048576\nttlMinS = 1\n", sit.store.Address(), bds.writesPerS, bds.readsPerS)
	path := filepath.Join(sit.dir, nod.name+".toml")
	if err = os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(sit.dir, nod.name+".log"))
	if err != nil {
		return err
	}
	sit.stops = append(sit.stops, func() { _ = out.Close() })
	nod.cmd = exec.Command("target/entryvm", "serve") //nolint:noctx // ended by close
	nod.cmd.Env = append(os.Environ(), "CARDAMOMPASS_SETTINGS="+path)
	nod.cmd.Stdout, nod.cmd.Stderr = out, out
	if err = nod.cmd.Start(); err != nil {
		return err
	}
	sit.nodes = append(sit.nodes, nod)
	sit.rec.add("%s starts at %s, process %d", nod.name, nod.ip, nod.cmd.Process.Pid)
	return nil
}

// awaitReady waits until all entry VMs are ready and a time more, after which they count as in touch.
func (sit *site) awaitReady(ctx context.Context) (err error) {
	for _, nod := range sit.nodes {
		for {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+nod.ready()+"/v1/readyz", nil)
			if err != nil {
				return err
			}
			rsp, err := http.DefaultClient.Do(req)
			if err == nil {
				_ = rsp.Body.Close()
				if rsp.StatusCode == http.StatusOK {
					break
				}
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	pause(ctx, sit.bds.stableWindow+time.Second)
	return ctx.Err()
}

// pause waits, or returns when ctx ends.
func pause(ctx context.Context, dur time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(dur):
	}
}

// group is a set of goroutines that end before the case does.
type group struct{ sync.WaitGroup }
