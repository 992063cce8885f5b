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

	"cardamompass/internal/stand/ptarg"
)

// Result is one attempt of a caller to send a request, with its outcome.
type Result struct {
	ID         string
	Path       string
	VM         string
	Idempotent bool
	// Written is set when the whole request was written.
	Written bool
	// Status is 0 when no whole answer came.
	Status int
	// Whole is set when a success has the signature and the body of this request.
	Whole bool
	At    time.Time
	Took  time.Duration
	Err   error
}

// Callers send requests at a steady rate and keep their connections. They are safe for concurrent use.
type Callers struct {
	flt    *Fleet
	client *http.Client
	next   atomic.Int64

	mu   sync.Mutex
	sent []Result
	vms  []string // the last answer to a look-up
}

// callerTimeout is how long a caller waits for an answer.
const callerTimeout = 3 * time.Second

// NewCallers returns callers and the function that closes their connections.
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

// Lookup asks the VMs for addresses and keeps the answer for coming requests.
func (cls *Callers) Lookup(ctx context.Context) (addresses []string, err error) {
	for _, num := range rand.Perm(len(cls.flt.VMs)) {
		if addresses, err = cls.ask(ctx, cls.flt.VMs[num]); err == nil {
			cls.mu.Lock()
			cls.vms = addresses
			cls.mu.Unlock()
			return addresses, nil
		}
	}
	return nil, err
}

func (cls *Callers) ask(ctx context.Context, vmc *VM) (addresses []string, err error) {
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
	defer rsp.Body.Close() //nolint:errcheck // the body is read whole or given up
	var ans struct {
		Addresses []string `json:"addresses"`
	}
	if err = json.NewDecoder(rsp.Body).Decode(&ans); err != nil || len(ans.Addresses) == 0 {
		return nil, fmt.Errorf("look-up at %s: status %d, %w", vmc.IP, rsp.StatusCode, err)
	}
	return ans.Addresses, nil
}

// Send sends one request to a VM that the last look-up named.
func (cls *Callers) Send(ctx context.Context, path string, idempotent bool) (snt Result) {
	cls.mu.Lock()
	address := ""
	if len(cls.vms) > 0 {
		address = cls.vms[rand.IntN(len(cls.vms))]
	}
	cls.mu.Unlock()
	return cls.SendTo(ctx, address, path, idempotent)
}

// SendTo sends one request to an address.
func (cls *Callers) SendTo(ctx context.Context, address, path string, idempotent bool) (snt Result) {
	id := fmt.Sprintf("c-%08d", cls.next.Add(1))
	snt = Result{
		ID:         id,
		Path:       path,
		VM:         address,
		Idempotent: idempotent,
		At:         time.Now(),
	}
	defer func() {
		snt.Took = time.Since(snt.At)
		cls.mu.Lock()
		cls.sent = append(cls.sent, snt)
		cls.mu.Unlock()
	}()
	method, body := http.MethodPost, io.Reader(strings.NewReader("body of "+id))
	if idempotent {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		snt.Err = err
		return snt
	}
	var written atomic.Bool
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(inf httptrace.WroteRequestInfo) { written.Store(inf.Err == nil) },
	}))
	defer func() { snt.Written = written.Load() }()
	req.Host = Host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Timeout-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	req.AddCookie(&http.Cookie{
		Name:  "Affinity-Key",
		Value: fmt.Sprint(rand.IntN(20)),
	})
	rsp, err := cls.client.Do(req)
	if err != nil {
		snt.Err = err
		return snt
	}
	defer rsp.Body.Close() //nolint:errcheck // the body is read whole or given up
	data, err := io.ReadAll(rsp.Body)
	if snt.Err = err; err != nil {
		return snt
	}
	snt.Status = rsp.StatusCode
	snt.Whole = rsp.Header.Get("Response-Seal") == "seal-"+id && string(data) == ptarg.Body(id)
	return snt
}

// Run sends requests at a rate a second until ctx ends, half of them idempotent, and looks up every half second. It returns when all
// have ended.
func (cls *Callers) Run(ctx context.Context, perSecond int, path func(idempotent bool) string) {
	var under sync.WaitGroup
	_, _ = cls.Lookup(ctx) // requests without an address fail and show that
	tck := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tck.Stop()
	for num := 0; ctx.Err() == nil; num++ {
		if num%(perSecond/2) == 0 {
			under.Go(func() { _, _ = cls.Lookup(ctx) }) // without an answer the last one is used
		}
		idempotent := num%2 == 0
		under.Go(func() { cls.Send(context.WithoutCancel(ctx), path(idempotent), idempotent) })
		select {
		case <-ctx.Done():
		case <-tck.C:
		}
	}
	under.Wait()
}

// Results returns the results of all requests so far.
func (cls *Callers) Results() (sent []Result) {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	return append(sent, cls.sent...)
}
