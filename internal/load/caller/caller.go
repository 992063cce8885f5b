// Package caller implements a client of the system: it looks up entry VMs, caches the look-up response for its max-age, sends
// requests, and retries them on the next VM when that is safe.
//
// A retry carries the same request ID. An idempotent request is retried after any failure. A non-idempotent request is retried
// with the ticket of its first attempt, so that it can't run twice; it gets a new ticket only after the outcome not-run.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/edge/lookup"
)

const (
	// defaultMaxAttempts is the default limit of attempts per request.
	defaultMaxAttempts = 3
	// initialRetryDelay is the delay before the first retry; it doubles with each attempt.
	initialRetryDelay = 20 * time.Millisecond
	// lookupTimeout bounds one look-up at one entry VM.
	lookupTimeout = 2 * time.Second
)

// Config configures a Caller.
type Config struct {
	// Entries are the addresses of the entry VMs that are used for look-ups, as host:port with an IP address.
	Entries []string
	// Region is the caller's region; if empty, it is derived from the caller's address.
	Region cardamompass.Region
	// MaxAttempts limits the attempts per request; 0 means 3.
	MaxAttempts int
	// Client sends the requests; if nil, New creates one.
	Client *http.Client
}

// Request is one request of a caller.
type Request struct {
	ID         cardamompass.RequestID
	Service    cardamompass.ServiceName
	Method     string
	Path       string // starts with "/"
	Header     http.Header
	Body       []byte
	Idempotent bool
	Timeout    time.Duration
}

// Response is the response to a request, with the attempts that were made.
type Response struct {
	Outcome cardamompass.Outcome
	// Reason is set for refusals.
	Reason string
	Status int
	Header http.Header
	Body   []byte
	// VM is the entry VM of the last attempt, Attempts the number of attempts.
	VM       cardamompass.VMID
	Attempts int
	// Ticket is the ticket of a non-idempotent request.
	Ticket string
}

// Caller sends requests. It is safe for concurrent use.
type Caller struct {
	cfg   Config
	mtx   sync.Mutex
	cache map[cardamompass.ServiceName]cachedLookup
	// firstEntry is the index of the entry VM that look-ups try first.
	firstEntry int
}

// cachedLookup is a look-up response that is cached until it expires.
type cachedLookup struct {
	rsp       lookup.Response
	expiresAt time.Time
}

// New returns a Caller and the function that closes its idle connections.
func New(cfg Config) (clr *Caller, cleanup func()) {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.Client == nil {
		trp := http.DefaultTransport.(*http.Transport).Clone()
		trp.Proxy = nil
		trp.MaxIdleConnsPerHost = 256
		trp.DisableCompression = true
		cfg.Client = &http.Client{
			Transport: trp,
		}
	}
	clr = &Caller{
		cfg:   cfg,
		cache: make(map[cardamompass.ServiceName]cachedLookup),
	}
	return clr, cfg.Client.CloseIdleConnections
}

// Lookup returns the entry VMs for a service, from the cache if the cached response has not expired.
func (clr *Caller) Lookup(ctx context.Context, service cardamompass.ServiceName) (rsp lookup.Response, err error) {
	defer func() { err = errors.Wrap(err, "look-up") }()
	clr.mtx.Lock()
	cached, ok := clr.cache[service]
	first := clr.firstEntry
	clr.mtx.Unlock()
	if ok && time.Now().Before(cached.expiresAt) {
		return cached.rsp, nil
	}
	err = errors.New("no entry VM is configured")
	for num := range clr.cfg.Entries {
		pos := (first + num) % len(clr.cfg.Entries)
		sent := time.Now()
		rsp, err = clr.lookupAt(ctx, clr.cfg.Entries[pos], service)
		if err != nil {
			continue
		}
		clr.mtx.Lock()
		clr.firstEntry = pos
		clr.cache[service] = cachedLookup{
			rsp:       rsp,
			expiresAt: sent.Add(time.Duration(rsp.MaxAgeMillis) * time.Millisecond),
		}
		clr.mtx.Unlock()
		return rsp, nil
	}
	return rsp, err
}

func (clr *Caller) lookupAt(ctx context.Context, address string, service cardamompass.ServiceName) (rsp lookup.Response, err error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{
		"service": {string(service)},
	}
	if clr.cfg.Region != "" {
		query.Set("region", string(clr.cfg.Region))
	}
	rqs, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/lookup?"+query.Encode(), nil)
	if err != nil {
		return rsp, err
	}
	res, err := clr.cfg.Client.Do(rqs)
	if err != nil {
		return rsp, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return rsp, err
	}
	if res.StatusCode != http.StatusOK {
		return rsp, errors.Errorf("%s refused: %s", address, bytes.TrimSpace(data))
	}
	return rsp, json.Unmarshal(data, &rsp)
}

// invalidate removes the cached look-up response of a service, after a request to a VM that it lists failed.
func (clr *Caller) invalidate(service cardamompass.ServiceName) {
	clr.mtx.Lock()
	defer clr.mtx.Unlock()
	delete(clr.cache, service)
}

// Do sends a request, with retries, and returns the last response. An error means that the last look-up or attempt got no valid
// response; whether the request ran is then unknown.
func (clr *Caller) Do(ctx context.Context, req Request) (rsp Response, err error) {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	ticket, attempt := "", 0
	delay := initialRetryDelay
	for num := range clr.cfg.MaxAttempts {
		var lkp lookup.Response
		if lkp, err = clr.Lookup(ctx, req.Service); err != nil {
			return rsp, err
		}
		if ticket == "" {
			ticket, attempt = lkp.Ticket, 0
		}
		attempt++
		vmr := lkp.VMs[num%len(lkp.VMs)]
		rsp, err = clr.SendTo(ctx, vmr, req, ticket, attempt)
		rsp.VM, rsp.Attempts, rsp.Ticket = vmr.ID, num+1, ticket
		if err == nil && !canRetry(rsp, req) || ctx.Err() != nil {
			return rsp, err
		}
		if err != nil {
			clr.invalidate(req.Service)
		}
		if err == nil && rsp.Outcome == cardamompass.OutcomeNotRun && !req.Idempotent {
			// The operation did not run, and the home VM of its ticket may have left permanently, so it is retried with a new ticket.
			clr.invalidate(req.Service)
			ticket = ""
		}
		select {
		case <-ctx.Done():
			return rsp, err
		case <-time.After(delay):
		}
		delay *= 2
	}
	return rsp, err
}

// canRetry reports whether a retry is safe and can succeed.
func canRetry(rsp Response, req Request) bool {
	switch rsp.Outcome {
	case cardamompass.OutcomeNotRun:
		return true
	case cardamompass.OutcomeUnknown:
		return req.Idempotent
	case cardamompass.OutcomeAnswered, cardamompass.OutcomeInvalid:
		return false
	}
	return false
}

// SendTo sends a request once to the given entry VM.
func (clr *Caller) SendTo(
	ctx context.Context, vmr lookup.VMRecord, req Request, ticket string, attempt int,
) (rsp Response, err error) {
	defer func() { err = errors.Wrapf(err, "request to %s", vmr.ID) }()
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	address := "http://" + vmr.Address + "/v1/services/" + string(req.Service) + req.Path
	rqs, err := http.NewRequestWithContext(ctx, req.Method, address, bytes.NewReader(req.Body))
	if err != nil {
		return rsp, err
	}
	// With GetBody set, net/http may retry a request on its own; retries are left to this package.
	rqs.GetBody = nil
	for name, values := range req.Header {
		rqs.Header[name] = values
	}
	deadline, _ := ctx.Deadline()
	rqs.Header.Set(cardamompass.HeaderRequestID, string(req.ID))
	rqs.Header.Set(cardamompass.HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	rqs.Header.Set(cardamompass.HeaderIdempotent, strconv.FormatBool(req.Idempotent))
	rqs.Header.Set(cardamompass.HeaderAttempt, strconv.Itoa(attempt))
	if clr.cfg.Region != "" {
		rqs.Header.Set(cardamompass.HeaderCallerRegion, string(clr.cfg.Region))
	}
	if !req.Idempotent {
		rqs.Header.Set(cardamompass.HeaderTicket, ticket)
	}
	res, err := clr.cfg.Client.Do(rqs)
	if err != nil {
		return rsp, err
	}
	defer func() { _ = res.Body.Close() }()
	rsp = Response{
		Outcome: cardamompass.Outcome(res.Header.Get(cardamompass.HeaderOutcome)),
		Status:  res.StatusCode,
		Header:  res.Header,
	}
	if rsp.Body, err = io.ReadAll(res.Body); err != nil {
		return Response{}, err
	}
	if got := res.Header.Get(cardamompass.HeaderRequestID); got != string(req.ID) {
		return Response{}, errors.Errorf("response is for request %q", got)
	}
	if rsp.Outcome != cardamompass.OutcomeAnswered {
		var rfs struct {
			Reason string `json:"reason"`
		}
		if err := json.Unmarshal(rsp.Body, &rfs); err != nil {
			return Response{}, err
		}
		rsp.Reason = rfs.Reason
	}
	return rsp, nil
}
