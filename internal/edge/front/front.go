// Package front serves callers: it reads a request, finds its route, chooses a target, sends the request and returns the target's
// whole answer.
//
// A request that may have run at a target is never refused as not run, and one that is not idempotent is sent again only when it has
// certainly not run. Refusals are 503 with the time after which to come back; 502 and 504 promise nothing.
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
	"cardamompass/internal/edge/send"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/steer/budget"
	"cardamompass/internal/steer/place"
)

const (
	// defaultTimeout is the deadline of a request whose caller and route name none.
	defaultTimeout = 30 * time.Second
	// retryAfter is what a refused caller is told to wait. A slot of a full target becomes free within some tens of milliseconds, and a
	// caller that comes back soon can still be answered within the objective.
	retryAfter = 100 * time.Millisecond
)

// Config configures a Front.
type Config struct {
	Settings cardamompass.VMSettings
	Protocol cardamompass.Protocol
	Clock    cardamompass.Clock
	Log      *zap.Logger
	Scope    tally.Scope
	Balancer *place.Balancer
	Sender   *send.Sender
	// View returns the current view of the fleet, Age the time since the store's last answer.
	View func() *view.View
	Age  func() time.Duration
	// Stated is told of the load that an instance stated. It must not block.
	Stated func(id cardamompass.InstanceID, lod cardamompass.Load)
	// Crashed is told of a request that was in flight at an instance when that crashed. It must not block.
	Crashed func(crs cardamompass.Crash)
	// Dial opens connections to targets, to see whether they listen.
	Dial func(ctx context.Context, network, address string) (con net.Conn, err error)
}

// Front is the handler of callers' requests. It is safe for concurrent use.
type Front struct {
	cfg      Config
	met      metrics
	stopping atomic.Bool // answers end their connections
	refusing atomic.Bool // new requests are refused
	active   atomic.Int64

	mu      sync.Mutex
	budgets map[cardamompass.ServiceName]*budget.Budget
	splits  map[string]*split
	typical map[string]time.Duration // median time by host and prefix
	cleared map[string]bool          // fingerprints of known crashes that were answered since
	checks  sync.WaitGroup
}

// New returns a Front and the function that waits for what it does in the background.
func New(cfg Config) (frt *Front, cleanup func()) {
	frt = &Front{
		cfg:     cfg,
		met:     newMetrics(cfg.Scope),
		budgets: make(map[cardamompass.ServiceName]*budget.Budget),
		splits:  make(map[string]*split),
		typical: make(map[string]time.Duration),
		cleared: make(map[string]bool),
	}
	return frt, frt.checks.Wait
}

// Stop makes each answer end its connection, so that callers move to other VMs.
func (frt *Front) Stop() { frt.stopping.Store(true) }

// Refuse makes the Front refuse new requests as not run.
func (frt *Front) Refuse() { frt.refusing.Store(true) }

// Active returns the number of requests under way.
func (frt *Front) Active() (count int) { return int(frt.active.Load()) }

// ServeHTTP implements http.Handler.
func (frt *Front) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	frt.active.Add(1)
	defer frt.active.Add(-1)
	now := frt.cfg.Clock.Now()
	exc := &exchange{
		frt:   frt,
		wrt:   wrt,
		req:   req,
		inc:   frt.cfg.Protocol.ParseRequest(req.Header),
		vew:   frt.cfg.View(),
		start: now,
	}
	exc.log = frt.cfg.Log.With(zap.String("request", string(exc.inc.ID)))
	exc.serve()
}

// exchange is one request of a caller and its answer.
type exchange struct {
	frt     *Front
	wrt     http.ResponseWriter
	req     *http.Request
	inc     cardamompass.RequestInfo
	vew     *view.View
	route   *cardamompass.Route
	service cardamompass.ServiceName
	start   time.Time
	log     *zap.Logger
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
	body, err := exc.readBody()
	if err != nil {
		return // the answer was given, or the caller has left
	}
	exc.vew = exc.frt.cfg.View() // the body may have taken seconds
	ok := false
	exc.route, ok = exc.vew.Table.Match(hostName(exc.req.Host), exc.req.URL.EscapedPath())
	if !ok {
		exc.log.Info("request without route", zap.String("host", exc.req.Host), zap.String("path", exc.req.URL.Path),
			zap.Uint64("table", exc.vew.Table.Version))
		exc.fail(http.StatusNotFound, "no route")
		return
	}
	exc.service = exc.frt.part(exc.route)
	exc.frt.retries(exc.service).Request(exc.start)
	exc.carry(body)
}

// readBody reads the whole body. On error the answer was given.
func (exc *exchange) readBody() (body []byte, err error) {
	limit := exc.vew.Table.Limits.MaxBodyBytes
	if limit > 0 && exc.req.ContentLength > limit {
		exc.fail(http.StatusRequestEntityTooLarge, "the body is too long")
		return nil, errors.New("body too long")
	}
	src := io.Reader(exc.req.Body)
	if limit > 0 {
		src = io.LimitReader(src, limit+1)
	}
	if exc.req.ContentLength >= 0 {
		body = make([]byte, exc.req.ContentLength)
		_, err = io.ReadFull(src, body)
	} else {
		body, err = io.ReadAll(src)
	}
	switch {
	case err != nil:
		exc.log.Info("request not read", zap.Error(err))
		exc.fail(http.StatusBadRequest, "the body is not whole")
		return nil, err
	case limit > 0 && int64(len(body)) > limit:
		exc.fail(http.StatusRequestEntityTooLarge, "the body is too long")
		return nil, errors.New("body too long")
	}
	return body, nil
}

// carry sends the request to targets until it has an answer, and gives it to the caller.
func (exc *exchange) carry(body []byte) {
	wait := defaultTimeout
	if exc.inc.Timeout > 0 {
		wait = exc.inc.Timeout
	}
	if exc.route.Timeout > 0 {
		wait = min(wait, exc.route.Timeout)
	}
	obj := rand.Uint64()
	if exc.route.Sticky && exc.inc.AffinityKey != "" {
		obj = place.AffinityHash(exc.service, exc.inc.AffinityKey)
	}
	run := &job{
		exc:         exc,
		object:      obj,
		fingerprint: fingerprint(exc.req, exc.inc, body),
		msg: send.Message{
			ID:       exc.inc.ID,
			Method:   exc.req.Method,
			URI:      requestURI(exc.req),
			Host:     exc.req.Host,
			Header:   endToEnd(exc.req.Header),
			Body:     body,
			HasBody:  len(body) > 0 || exc.req.ContentLength > 0 || len(exc.req.TransferEncoding) > 0 || exc.req.Header.Get("Content-Length") != "",
			Deadline: exc.start.Add(wait),
			Once:     !exc.route.Idempotent,
		},
	}
	if exc.frt.crashing(exc.vew, run.fingerprint) {
		exc.refuse("requests with this content crash targets")
		return
	}
	ctx := exc.req.Context()
	if !exc.route.Idempotent {
		// Work that may run only once is not cut when its caller leaves; the deadline ends it.
		ctx = context.WithoutCancel(ctx)
	}
	rep, err := run.do(ctx)
	switch {
	case err == nil:
		exc.answer(rep, run)
	case exc.req.Context().Err() != nil || errors.Is(err, errCallerLeft):
		exc.finish("caller-left", 0, run, err)
		panic(http.ErrAbortHandler)
	default:
		exc.failed(run, err)
	}
}

// failed gives the caller a failure that says no more than is certain.
func (exc *exchange) failed(run *job, err error) {
	var fai *send.Failure
	isFailure := errors.As(err, &fai)
	switch {
	case !run.mayHaveRun:
		exc.comeBack("the request has not run")
		exc.finish("refused", http.StatusServiceUnavailable, run, err)
	case isFailure && fai.Kind == send.KindTimeout:
		exc.fail(http.StatusGatewayTimeout, "no answer in time")
		exc.finish("timeout", http.StatusGatewayTimeout, run, err)
	default:
		exc.fail(http.StatusBadGateway, "no whole answer")
		exc.finish("failed", http.StatusBadGateway, run, err)
	}
}

// answer hands on a target's answer unchanged.
func (exc *exchange) answer(rep send.Reply, run *job) {
	hdr := exc.wrt.Header()
	for name, values := range endToEnd(rep.Header) {
		hdr[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := hdr[name]; !ok {
			hdr[name] = nil // else net/http adds its own
		}
	}
	hdr.Set("Content-Length", strconv.Itoa(len(rep.Body)))
	exc.closeWhenStopping()
	exc.wrt.WriteHeader(rep.Status)
	_, err := exc.wrt.Write(rep.Body)
	if err != nil {
		exc.finish("caller-left", rep.Status, run, err)
		return
	}
	exc.finish("answered", rep.Status, run, nil)
}

func (exc *exchange) refuse(reason string) {
	exc.comeBack(reason)
	exc.log.Warn("request refused", zap.String("reason", reason), zap.Duration("store-age", exc.frt.cfg.Age()))
	exc.frt.met.refused.Inc(1)
}

// comeBack gives the answer to a request that has not run: when the caller may send it again.
func (exc *exchange) comeBack(reason string) {
	exc.wrt.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	exc.fail(http.StatusServiceUnavailable, reason)
}

// fail gives an answer of this VM.
func (exc *exchange) fail(status int, reason string) {
	exc.closeWhenStopping()
	exc.wrt.Header().Set("Content-Type", "text/plain; charset=utf-8")
	exc.wrt.WriteHeader(status)
	_, _ = io.WriteString(exc.wrt, reason+"\n") // a caller that has left gets nothing
}

func (exc *exchange) closeWhenStopping() {
	if exc.frt.stopping.Load() {
		exc.wrt.Header().Set("Connection", "close")
	}
}

// finish logs and counts the end of a request.
func (exc *exchange) finish(outcome string, status int, run *job, err error) {
	ela := exc.frt.cfg.Clock.Now().Sub(exc.start)
	exc.frt.met.finished(exc.route, exc.service, outcome, ela)
	fields := []zap.Field{
		zap.String("route", exc.route.Name), zap.String("service", string(exc.service)), zap.String("object", exc.inc.AffinityKey),
		zap.String("outcome", outcome), zap.Int("status", status), zap.Duration("took", ela),
		zap.Duration("allowed", run.msg.Deadline.Sub(exc.start)), zap.Int("sent", len(run.tried)), zap.Uint64("table", exc.vew.Table.Version),
		zap.Duration("store-age", exc.frt.cfg.Age()),
	}
	if err != nil {
		exc.log.Warn("request "+outcome, append(fields, zap.Error(err))...)
		return
	}
	exc.log.Info("request "+outcome, fields...)
}

// hostName returns a Host header's name in lower case without a port.
func hostName(host string) (name string) {
	if without, _, err := net.SplitHostPort(host); err == nil {
		host = without
	}
	return strings.ToLower(host)
}

// requestURI returns the request target in origin form, as the caller sent it where it used that form.
func requestURI(req *http.Request) (uri string) {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI
	}
	return req.URL.RequestURI()
}

// hopByHop are the headers that concern one connection only. Content-Length is written anew with the whole body.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns the headers without those of one connection. The values are shared.
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
