// Package caller is a caller of the system: it looks up entry VMs, keeps the answer for its max-age, sends requests and
// sends them again to the next VM when that is safe.
//
// A request is sent again with the same id. An idempotent one is sent again after any failure. A non-idempotent one is sent again
// with the ticket of its first sending, so that it can't run twice; only after a not-run does it get a new ticket.
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
	// defaultTries is the number of sendings of one request.
	defaultTries = 3
	// resendPause is the time before a request is sent again, doubled with each sending.
	resendPause = 20 * time.Millisecond
	// lookupTimeout bounds one look-up at one entry VM.
	lookupTimeout = 2 * time.Second
)

// Config configures a Caller.
type Config struct {
	// Entries are addresses of entry VMs, host:port by IP number, at which look-ups are made.
	Entries []string
	// Region is the caller's region; empty if its address tells.
	Region cardamompass.Region
	// Tries is the number of sendings of one request; 0 means 3.
	Tries int
	// Client sends the requests; nil means a client of its own.
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

// Response is what came back.
type Response struct {
	Outcome cardamompass.Outcome
	// Reason is set for refusals.
	Reason string
	Status int
	Header http.Header
	Body   []byte
	// VM is the entry VM that answered last, Sendings the number of sendings.
	VM       cardamompass.VMID
	Sendings int
	// Ticket is the ticket of a non-idempotent request.
	Ticket string
}

// Caller sends requests. It is safe for concurrent use.
type Caller struct {
	cfg   Config
	mtx   sync.Mutex
	held  map[cardamompass.ServiceName]answer
	start int
}

// answer is a look-up answer that is kept until it is too old.
type answer struct {
	rsp  lookup.Response
	ends time.Time
}

// New returns a Caller and the function that closes its idle connections.
func New(cfg Config) (clr *Caller, cleanup func()) {
	if cfg.Tries == 0 {
		cfg.Tries = defaultTries
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
		cfg:  cfg,
		held: make(map[cardamompass.ServiceName]answer),
	}
	return clr, cfg.Client.CloseIdleConnections
}

// Lookup returns the entry VMs for a service, from the answer that is kept if it is young enough.
func (clr *Caller) Lookup(ctx context.Context, service cardamompass.ServiceName) (rsp lookup.Response, err error) {
	defer func() { err = errors.Wrap(err, "look-up") }()
	clr.mtx.Lock()
	held, ok := clr.held[service]
	start := clr.start
	clr.mtx.Unlock()
	if ok && time.Now().Before(held.ends) {
		return held.rsp, nil
	}
	err = errors.New("no entry VM is configured")
	for num := range clr.cfg.Entries {
		pos := (start + num) % len(clr.cfg.Entries)
		sent := time.Now()
		rsp, err = clr.ask(ctx, clr.cfg.Entries[pos], service)
		if err != nil {
			continue
		}
		clr.mtx.Lock()
		clr.start = pos
		clr.held[service] = answer{
			rsp:  rsp,
			ends: sent.Add(time.Duration(rsp.MaxAgeMillis) * time.Millisecond),
		}
		clr.mtx.Unlock()
		return rsp, nil
	}
	return rsp, err
}

func (clr *Caller) ask(ctx context.Context, address string, service cardamompass.ServiceName) (rsp lookup.Response, err error) {
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

// forget drops the kept answer for a service, because a VM that it names failed.
func (clr *Caller) forget(service cardamompass.ServiceName) {
	clr.mtx.Lock()
	defer clr.mtx.Unlock()
	delete(clr.held, service)
}

// Do sends a request and returns the last answer. An error means that no entry VM answered; whether a request ran is then
// unknown.
func (clr *Caller) Do(ctx context.Context, req Request) (rsp Response, err error) {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	ticket, attempt := "", 0
	pause := resendPause
	for num := range clr.cfg.Tries {
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
		rsp.VM, rsp.Sendings, rsp.Ticket = vmr.ID, num+1, ticket
		if err == nil && !mayResend(rsp, req) || ctx.Err() != nil {
			return rsp, err
		}
		if err != nil {
			clr.forget(req.Service)
		}
		if err == nil && rsp.Outcome == cardamompass.OutcomeNotRun && !req.Idempotent {
			// The operation did not run and its ticket's home may be gone for good, so it is sent as a new one.
			clr.forget(req.Service)
			ticket = ""
		}
		select {
		case <-ctx.Done():
			return rsp, err
		case <-time.After(pause):
		}
		pause *= 2
	}
	return rsp, err
}

// mayResend reports whether another sending can help and is safe.
func mayResend(rsp Response, req Request) bool {
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
	// net/http sends a request again on its own if it can get the body anew; this package decides on that.
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
		return Response{}, errors.Errorf("answer is for request %q", got)
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
