package pfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cardamompass"
	"cardamompass/internal/plat/strict"
	"cardamompass/internal/stand/ptarg"
)

// Result is the outcome of one request that a caller sent or tried to send.
type Result struct {
	ID         string
	Path       string
	VM         string
	Idempotent bool
	// BodySize is the length of the body of the request.
	BodySize int
	// Written is set when the whole request was written.
	Written bool
	// Status is 0 when no complete response was received.
	Status int
	// Whole is set when the response carries the seal and the body that belong to this request.
	Whole bool
	// HeadErr is set when the head of the response is malformed.
	HeadErr error
	At      time.Time
	Took    time.Duration
	Err     error
}

// Callers send requests at a steady rate over kept-alive connections. They are safe for concurrent use.
type Callers struct {
	flt    *Fleet
	client *http.Client

	mu      sync.Mutex
	key     string // of the callers' team; empty if they send none
	results []Result
	vms     []string // addresses from the last successful look-up
	pinned  bool     // vms stays as it is
	upload  int      // size of the bodies of uploads in bytes; 0 if the callers send none
}

// callerTimeout is how long a caller waits for a response.
const callerTimeout = 3 * time.Second

// NewCallers returns callers and a function that closes their idle connections.
func NewCallers(flt *Fleet) (cls *Callers, cleanup func()) {
	trn := &http.Transport{
		DialContext: (&net.Dialer{
			Timeout: time.Second,
		}).DialContext,
		MaxIdleConnsPerHost: 50,
	}
	return &Callers{
		flt: flt,
		client: &http.Client{
			Transport: trn,
			Timeout:   callerTimeout,
		},
	}, trn.CloseIdleConnections
}

// SetKey sets the key that later requests carry; empty for none.
func (cls *Callers) SetKey(key string) {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	cls.key = key
}

// SetUploadSize makes later requests uploads, idempotent ones included, whose bodies have this many bytes.
func (cls *Callers) SetUploadSize(size int) {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	cls.upload = size
}

// bodySize returns the length of the body of a request; 0 if it has none.
func (cls *Callers) bodySize(id string, idempotent bool) (size int) {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	if idempotent {
		return cls.upload
	}
	return max(cls.upload, len(bodyPrefix+id))
}

// bodyPrefix begins the body of each request; the ID of the request follows.
const bodyPrefix = "body of "

// requestBody returns the body of a request of a caller.
func requestBody(id string, size int) (body string) {
	body = bodyPrefix + id
	return (body + strings.Repeat("x", max(0, size-len(body))))[:size]
}

// UseAllVMs makes the callers send to all VMs, whatever look-ups return.
func (cls *Callers) UseAllVMs() {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	cls.pinned, cls.vms = true, nil
	for _, vmc := range cls.flt.VMs {
		cls.vms = append(cls.vms, vmc.CallerAddress())
	}
}

// Lookup queries the VMs in random order until one returns addresses, and keeps these for the requests that follow.
func (cls *Callers) Lookup(ctx context.Context) (addresses []string, err error) {
	for _, num := range rand.Perm(len(cls.flt.VMs)) {
		if addresses, err = cls.resolve(ctx, cls.flt.VMs[num]); err == nil {
			cls.mu.Lock()
			if !cls.pinned {
				cls.vms = addresses
			}
			cls.mu.Unlock()
			return addresses, nil
		}
	}
	return nil, err
}

func (cls *Callers) resolve(ctx context.Context, vmc *VM) (addresses []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+vmc.LookupAddress()+"/v1/resolve?name="+Host+"&region=east&zone=east-1", nil)
	if err != nil {
		return nil, err
	}
	rsp, err := cls.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer rsp.Body.Close() //nolint:errcheck // the body is only read, and read errors are returned
	var doc struct {
		Addresses []string `json:"addresses"`
	}
	if err = json.NewDecoder(rsp.Body).Decode(&doc); err != nil || len(doc.Addresses) == 0 {
		return nil, fmt.Errorf("look-up at %s: status %d, %w", vmc.IP, rsp.StatusCode, err)
	}
	return doc.Addresses, nil
}

// Send sends one request to a random VM from the last look-up.
func (cls *Callers) Send(ctx context.Context, path string, idempotent bool) (res Result) {
	cls.mu.Lock()
	address := ""
	if len(cls.vms) > 0 {
		address = cls.vms[rand.IntN(len(cls.vms))]
	}
	cls.mu.Unlock()
	return cls.SendTo(ctx, address, path, idempotent)
}

// SendTo sends one request to an address.
func (cls *Callers) SendTo(ctx context.Context, address, path string, idempotent bool) (res Result) {
	id := fmt.Sprintf("c-%08d", cls.flt.nextRequest.Add(1))
	res = Result{
		ID:         id,
		Path:       path,
		VM:         address,
		Idempotent: idempotent,
		At:         time.Now(),
	}
	defer func() {
		res.Took = time.Since(res.At)
		cls.mu.Lock()
		cls.results = append(cls.results, res)
		cls.mu.Unlock()
	}()
	method, body := http.MethodGet, io.Reader(nil)
	if res.BodySize = cls.bodySize(id, idempotent); res.BodySize > 0 {
		method, body = http.MethodPost, strings.NewReader(requestBody(id, res.BodySize))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		res.Err = err
		return res
	}
	var written atomic.Bool
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(inf httptrace.WroteRequestInfo) { written.Store(inf.Err == nil) },
	}))
	defer func() { res.Written = written.Load() }()
	req.Host = Host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Timeout-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	cls.mu.Lock()
	if cls.key != "" {
		req.Header.Set("Credential", cls.key)
	}
	cls.mu.Unlock()
	req.AddCookie(&http.Cookie{
		Name:  "Affinity-Key",
		Value: fmt.Sprint(rand.IntN(20)),
	})
	rsp, err := cls.client.Do(req)
	if err != nil {
		res.Err = err
		return res
	}
	defer rsp.Body.Close() //nolint:errcheck // the body is only read, and read errors are returned
	data, err := io.ReadAll(rsp.Body)
	if res.Err = err; err != nil {
		return res
	}
	res.Status, res.HeadErr = rsp.StatusCode, strict.CheckResponse(rsp)
	res.Whole = rsp.Header.Get("Response-Seal") == "seal-"+id && string(data) == ptarg.Body(id)
	return res
}

// Run sends perSecond requests per second until ctx ends, half of them idempotent, and looks up addresses every half second. On a busy
// machine, requests that are due are sent late rather than left out. It returns when all requests have ended.
func (cls *Callers) Run(ctx context.Context, perSecond int, path func(idempotent bool) string) {
	var pending sync.WaitGroup
	defer pending.Wait()
	_, _ = cls.Lookup(ctx) // without an address the requests fail, which their results show
	interval := time.Second / time.Duration(perSecond)
	begin := time.Now()
	for num := 0; ctx.Err() == nil; num++ {
		if wait := time.Until(begin.Add(time.Duration(num) * interval)); wait > 0 {
			_ = cardamompass.Sleep(ctx, cardamompass.SystemClock{}, wait) // the loop ends with ctx
		}
		if num%(perSecond/2) == 0 {
			pending.Go(func() { _, _ = cls.Lookup(ctx) }) // on failure the addresses of the last look-up stay in use
		}
		idempotent := num%2 == 0
		pending.Go(func() { cls.Send(context.WithoutCancel(ctx), path(idempotent), idempotent) })
	}
}

// Results returns the results of all requests that have ended so far.
func (cls *Callers) Results() (results []Result) {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	return append(results, cls.results...)
}
