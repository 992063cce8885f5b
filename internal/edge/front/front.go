// Package front serves callers: it reads a request, finds its route, chooses a target, sends the request and returns the target's
// complete response.
//
// A request that may have run at a target is never reported as not run, and a request that is not idempotent is retried only when
// it has certainly not run. A request that has not run is refused with status 503 and a Retry-After header. Statuses 502 and 504
// leave open whether it ran.
package front

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/conf/steer"
	"cardamompass/internal/edge/buffer"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/steer/budget"
	"cardamompass/internal/steer/crash"
	"cardamompass/internal/steer/place"
)

const (
	// defaultTimeout is the timeout of a request for which neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
	// slotWait is the value of Retry-After in refusals while targets are full. A slot of a full target becomes free within some tens
	// of milliseconds, and a caller that retries soon can still be answered within the objective.
	slotWait = 100 * time.Millisecond
)

// Config configures a Front.
type Config struct {
	// Settings returns the current settings.
	Settings func() cardamompass.VMSettings
	// Steering returns the current settings of the steering file. Optional.
	Steering func() steer.Settings
	Protocol cardamompass.Protocol
	Clock    cardamompass.Clock
	Log      *zap.Logger
	Scope    tally.Scope
	Balancer *place.Balancer
	Sender   *send.Sender
	// View returns the current view of the fleet, StoreAge the time since the last response of the store.
	View     func() *view.View
	StoreAge func() time.Duration
	// OnLoad is called with the load that an instance reported in a response. It must not block.
	OnLoad func(id cardamompass.InstanceID, lod cardamompass.Load)
	// OnLeaving is called with an instance that stated in a response that it is leaving. It must not block. Optional.
	OnLeaving func(ins cardamompass.Instance)
	// OnCrash is called with the content of a request that was in flight at an instance when the instance crashed. It must not
	// block.
	OnCrash func(crs cardamompass.Crash)
	// OnCrashWithdrawn is called with a reported crash whose content a target has survived since, so that no VM must refuse the content because
	// of it. It must not block. Optional.
	OnCrashWithdrawn func(crs cardamompass.Crash)
	// TriesSuspects reports whether this VM is the one that lets a request with refused content through from time to time. Optional; without
	// it none is.
	TriesSuspects func(fingerprint string) (ok bool)
	// Dial opens connections to targets, to check whether they listen.
	Dial func(ctx context.Context, network, address string) (con net.Conn, err error)
	// Bodies is the memory for the bodies of requests. Optional.
	Bodies *buffer.Pool
	// Waiting reports whether requests for which no target has room may wait. Optional; without it none does.
	Waiting func() bool
	// Room receives a value when a target may have room for another reason than a response to this VM: a load report of another VM, or a
	// change of the view. Optional.
	Room <-chan struct{}
	// Quota limits the requests of teams. Optional.
	Quota cardamompass.Quota
}

// Front is the HTTP handler of callers' requests. It is safe for concurrent use.
type Front struct {
	cfg      Config
	met      metrics
	draining atomic.Bool // responses close their connections
	refusing atomic.Bool // new requests are refused
	active   atomic.Int64
	waits    *waitRoom

	mu          sync.Mutex
	budgets     map[cardamompass.ServiceName]*budget.Budget
	splits      map[string]*split
	medians     map[string]time.Duration // estimated median latency by host and prefix of the route
	crashes     *crash.Guard
	abandoned   *crash.Abandoned
	crashChecks sync.WaitGroup
	closed      bool // no further crashChecks
	hedges      *hedges
}

// New returns a Front and a function that refuses the requests that wait for room and waits for its background checks.
func New(cfg Config) (frt *Front, cleanup func()) {
	if cfg.OnLeaving == nil {
		cfg.OnLeaving = func(cardamompass.Instance) {}
	}
	if cfg.OnCrashWithdrawn == nil {
		cfg.OnCrashWithdrawn = func(cardamompass.Crash) {}
	}
	if cfg.TriesSuspects == nil {
		cfg.TriesSuspects = func(string) bool { return false }
	}
	if cfg.Steering == nil {
		cfg.Steering = func() (set steer.Settings) { return set }
	}
	if cfg.Bodies == nil {
		cfg.Bodies = buffer.New(buffer.Config{})
	}
	frt = &Front{
		cfg:       cfg,
		met:       newMetrics(cfg.Scope),
		budgets:   make(map[cardamompass.ServiceName]*budget.Budget),
		splits:    make(map[string]*split),
		medians:   make(map[string]time.Duration),
		crashes:   crash.New(),
		abandoned: crash.NewAbandoned(),
		hedges:    newHedges(),
	}
	frt.waits = newWaitRoom(frt)
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { frt.watchAbandoned(stop) })
	return frt, func() {
		frt.waits.close()
		close(stop)
		watching.Wait()
		frt.mu.Lock()
		frt.closed = true
		frt.mu.Unlock()
		frt.crashChecks.Wait()
	}
}

// Drain makes each response close its connection, so that callers connect to other VMs.
func (frt *Front) Drain() { frt.draining.Store(true) }

// Refuse makes the Front refuse new requests, and those that wait for room, as not run.
func (frt *Front) Refuse() {
	if !frt.refusing.Swap(true) {
		frt.waits.refuseAll()
	}
}

// Active returns the number of requests in progress.
func (frt *Front) Active() (count int) { return int(frt.active.Load()) }

// ServeHTTP implements http.Handler.
func (frt *Front) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	frt.active.Add(1)
	defer frt.active.Add(-1)
	now := frt.cfg.Clock.Now()
	if early, ok := wrt.(readTimer); ok {
		now = early.ReadTime()
	}
	exc := &exchange{
		frt:   frt,
		wrt:   wrt,
		req:   req,
		inf:   frt.cfg.Protocol.ParseRequest(req.Header),
		vew:   frt.cfg.View(),
		start: now,
		body:  frt.cfg.Bodies.NewBuffer(),
	}
	defer exc.body.Release()
	exc.log = frt.requestLog(exc.inf.ID)
	exc.serve()
}

// exchange is one request of a caller and its response.
type exchange struct {
	frt     *Front
	wrt     http.ResponseWriter
	req     *http.Request
	inf     cardamompass.RequestInfo
	vew     *view.View
	route   *cardamompass.Route
	service cardamompass.ServiceName
	// team is nil if the request has no team. hasTeams is set once a table with teams has applied to the request.
	team     *cardamompass.Team
	hasTeams bool
	start    time.Time
	log      *zap.Logger
	// body holds the memory of the request's body, received is when the body was complete.
	body     *buffer.Buffer
	received time.Time
	// retryAfter is the time after which the caller was told to retry; 0 if it was not.
	retryAfter time.Duration
	// waited is the time for which the request has waited for room at a target.
	waited time.Duration
}

func (exc *exchange) serve() {
	if exc.vew.Table == nil {
		exc.refuse("no routing table is known yet")
		return
	}
	if exc.frt.refusing.Load() {
		exc.refuse("the VM stops")
		return
	}
	// Without teams, a request without a route is answered after its body has been read.
	if exc.vew.Table.HasTeams() && !exc.admit() {
		return
	}
	body, err := exc.readBody()
	if err != nil {
		return // readBody has responded, or the caller has disconnected
	}
	exc.vew = exc.frt.cfg.View() // reading the body may have taken seconds
	if !exc.admit() {
		return
	}
	exc.service = exc.frt.nextService(exc.route)
	exc.frt.retryBudget(exc.service).Request(exc.start)
	exc.forward(body)
}

// timeout returns how long the caller of a request waits at most. rte is nil if no route is known.
func (exc *exchange) timeout(rte *cardamompass.Route) (wait time.Duration) {
	wait = defaultTimeout
	if exc.inf.Timeout > 0 {
		wait = exc.inf.Timeout
	}
	if rte != nil && rte.Timeout > 0 {
		wait = min(wait, rte.Timeout)
	}
	return wait
}

// forward sends the request to targets until one answers, and writes the response to the caller.
func (exc *exchange) forward(body []byte) {
	hsh := rand.Uint64()
	if exc.route.Sticky && exc.inf.AffinityKey != "" {
		hsh = place.AffinityHash(exc.service, exc.inf.AffinityKey)
	}
	dsp := &dispatch{
		exc:          exc,
		affinityHash: hsh,
		fingerprint:  fingerprint(exc.req, exc.inf, body),
		msg: send.Message{
			ID:     exc.inf.ID,
			Method: exc.req.Method,
			URI:    requestURI(exc.req),
			Host:   exc.req.Host,
			Header: endToEnd(exc.req.Header),
			Body:   body,
			Buffer: exc.body,
			HasBody: len(body) > 0 || exc.req.ContentLength > 0 || len(exc.req.TransferEncoding) > 0 ||
				exc.req.Header.Get("Content-Length") != "",
			Deadline:      exc.start.Add(exc.timeout(exc.route)),
			NonIdempotent: !exc.route.Idempotent,
		},
		hedging: hedging{
			percent: exc.frt.cfg.Steering().HedgeLimitPercent,
		},
	}
	if exc.frt.refusesContent(dsp.fingerprint) {
		exc.refuse(errCrashes.Error())
		return
	}
	ctx := exc.req.Context()
	if !exc.route.Idempotent {
		// A non-idempotent request is not cancelled when its caller disconnects; it ends by its deadline.
		ctx = context.WithoutCancel(ctx)
	}
	rep, err := dsp.run(ctx)
	defer rep.Release()
	switch {
	case err == nil:
		exc.writeResponse(rep, dsp)
	case exc.req.Context().Err() != nil || errors.Is(err, errCallerDisconnected):
		exc.finish("caller-left", 0, dsp, err)
		panic(http.ErrAbortHandler)
	default:
		exc.writeFailure(dsp, err)
	}
}

// writeFailure responds to a request that got no response from a target. The status claims no more than is certain.
func (exc *exchange) writeFailure(dsp *dispatch, err error) {
	var fai *send.Failure
	var den *deniedError
	var qta *quotaError
	isFailure := errors.As(err, &fai)
	switch {
	case errors.As(err, &den): // only if the request has not run
		exc.writeDenied(den)
		exc.finish("denied", den.status, dsp, err)
	case errors.As(err, &qta): // only if the request has not run
		exc.writeOverQuota(qta)
		exc.finish("over-quota", http.StatusTooManyRequests, dsp, err)
	case !dsp.mayHaveRun:
		exc.writeUnavailable("the request has not run", dsp.retryAfter(err))
		exc.finish("refused", http.StatusServiceUnavailable, dsp, err)
	case isFailure && fai.Kind == send.KindTimeout:
		exc.writeError(http.StatusGatewayTimeout, "no answer in time")
		exc.finish("timeout", http.StatusGatewayTimeout, dsp, err)
	default:
		exc.writeError(http.StatusBadGateway, "no whole answer")
		exc.finish("failed", http.StatusBadGateway, dsp, err)
	}
}

// writeResponse writes a target's response to the caller. Only hop-by-hop headers are removed.
func (exc *exchange) writeResponse(rep send.Reply, dsp *dispatch) {
	hdr := exc.wrt.Header()
	for name, values := range endToEnd(rep.Header) {
		hdr[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := hdr[name]; !ok {
			hdr[name] = nil // keeps net/http from adding its own value
		}
	}
	hdr.Set("Content-Length", strconv.Itoa(len(rep.Body)))
	if exc.req.Method == http.MethodHead {
		hdr["Content-Length"] = rep.Header["Content-Length"] // the length of the body that GET would return
	}
	exc.closeWhenDraining()
	exc.wrt.WriteHeader(rep.Status)
	_, err := exc.wrt.Write(rep.Body)
	if err != nil {
		exc.finish("caller-left", rep.Status, dsp, err)
		return
	}
	exc.finish("answered", rep.Status, dsp, nil)
}

func (exc *exchange) refuse(reason string) {
	exc.writeUnavailable(reason, slotWait)
	exc.log.Warn("request refused", zap.String("reason", reason), zap.Duration("retry-after", exc.retryAfter),
		zap.Duration("store-age", exc.frt.cfg.StoreAge()))
	exc.frt.met.refused.Inc(1)
}

// writeUnavailable responds to a request that has not run with status 503 and the time after which to retry.
func (exc *exchange) writeUnavailable(reason string, after time.Duration) {
	exc.retryAfter = after
	exc.wrt.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	exc.writeError(http.StatusServiceUnavailable, reason)
}

// writeError writes a response that this VM itself produces.
func (exc *exchange) writeError(status int, reason string) {
	exc.closeWhenDraining()
	exc.wrt.Header().Set("Content-Type", "text/plain; charset=utf-8")
	exc.wrt.WriteHeader(status)
	_, _ = io.WriteString(exc.wrt, reason+"\n") // a write error means that the caller has disconnected
}

func (exc *exchange) closeWhenDraining() {
	if exc.frt.draining.Load() {
		exc.wrt.Header().Set("Connection", "close")
	}
}

// finish logs the end of a request and updates the metrics.
func (exc *exchange) finish(outcome string, status int, dsp *dispatch, err error) {
	ela := exc.frt.cfg.Clock.Now().Sub(exc.start)
	exc.frt.met.observeRequest(exc.route, exc.priority(), exc.service, outcome, ela)
	fields := []zap.Field{
		zap.String("route", exc.route.Name), zap.String("service", string(exc.service)), zap.String("object", exc.inf.AffinityKey),
		zap.String("outcome", outcome), zap.Int("status", status), zap.Duration("took", ela),
		zap.Duration("received", exc.received.Sub(exc.start)), zap.Duration("allowed", dsp.msg.Deadline.Sub(exc.start)),
		zap.Int("sent", len(dsp.tried)), zap.Uint64("table", exc.vew.Table.Version),
		zap.Duration("store-age", exc.frt.cfg.StoreAge()),
	}
	if exc.waited > 0 {
		fields = append(fields, zap.Duration("waited", exc.waited))
	}
	if exc.retryAfter > 0 {
		fields = append(fields, zap.Duration("retry-after", exc.retryAfter))
	}
	if dsp.hedging.outcome != "" {
		fields = append(fields, zap.String("hedge", dsp.hedging.outcome))
	}
	if err != nil {
		exc.log.Warn("request "+outcome, append(fields, zap.Error(err))...)
		return
	}
	exc.log.Info("request "+outcome, fields...)
}

// hostName returns the host name in a Host header, in lower case and without the port.
func hostName(host string) (name string) {
	if without, _, err := net.SplitHostPort(host); err == nil {
		host = without
	}
	return strings.ToLower(host)
}

// requestURI returns the request target in origin form, unchanged if the caller sent it in that form.
func requestURI(req *http.Request) (uri string) {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI
	}
	return req.URL.RequestURI()
}

// hopByHop are the headers that apply to a single connection. Content-Length is among them because it is set anew from the complete
// body.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns the headers without the hop-by-hop ones. The value slices are shared with hdr.
func endToEnd(hdr http.Header) (out http.Header) {
	out = make(http.Header, len(hdr))
	for name, values := range hdr {
		out[name] = values
	}
	for _, line := range hdr["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
