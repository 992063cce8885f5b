package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is what a client sends; its attempts have ids of their own.
type request struct {
	path       string
	idempotent bool
	key        string // value of the affinity cookie
	body       string
	header     map[string]string
	deadline   time.Duration
	retries    int
	// name begins the ids of the attempts; they are numbered if it is empty.
	name string
}

// attempt is one attempt of a request and its answer.
type attempt struct {
	id         string
	path       string
	idempotent bool
	front      string
	at         time.Time
	status     int // 0 without a whole answer
	own        bool
	whole      bool
	err        error
	took       time.Duration
}

// clients are the clients of one zone. They keep connections and look up addresses as the pages say.
type clients struct {
	flt  *fleet
	zone string
	http *http.Client

	mu       sync.Mutex
	fronts   []string
	until    time.Time
	attempts []attempt
}

var lastID atomic.Int64

func newClients(flt *fleet, zone string) (cls *clients) {
	return &clients{
		flt:  flt,
		zone: zone,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext: (&net.Dialer{
					Timeout: time.Second,
				}).DialContext,
				MaxIdleConnsPerHost: 64,
				IdleConnTimeout:     12 * time.Second,
				DisableCompression:  true,
			},
		},
	}
}

// addresses returns the addresses of the last look-up, or of a new one when that has expired.
func (cls *clients) addresses() (fronts []string) {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	if time.Now().Before(cls.until) {
		return cls.fronts
	}
	tried := 0
	for _, near := range []bool{true, false} {
		for _, mch := range cls.flt.machines {
			if (mch.zone == cls.zone) != near || tried == 3 {
				continue
			}
			tried++
			if fronts, ttl, err := cls.resolve(mch); err == nil {
				cls.fronts, cls.until = fronts, time.Now().Add(ttl)
				return fronts
			}
		}
	}
	return cls.fronts
}

func (cls *clients) resolve(mch *machine) (fronts []string, ttl time.Duration, err error) {
	query := url.Values{"name": {host}, "region": {region(cls.zone)}, "zone": {cls.zone}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+mch.directory+"/v1/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer rsp.Body.Close()
	var doc struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	if err = json.NewDecoder(rsp.Body).Decode(&doc); err != nil || len(doc.Addresses) == 0 {
		return nil, 0, fmt.Errorf("no addresses, status %d, %w", rsp.StatusCode, err)
	}
	return doc.Addresses, time.Duration(min(doc.TTLS, 5) * float64(time.Second)), nil
}

// send sends a request and retries it as the pages say. It returns its last attempt.
func (cls *clients) send(rqt request) (atm attempt) {
	end := time.Now().Add(rqt.deadline)
	for num := 0; ; num++ {
		fronts := cls.addresses()
		if len(fronts) == 0 {
			return attempt{path: rqt.path, err: fmt.Errorf("no address")}
		}
		var after time.Duration
		atm, after = cls.try(rqt, fronts[rand.IntN(len(fronts))], time.Until(end))
		promise := atm.status == 429 || atm.status == 503 || atm.status == 408 || atm.status == 421
		final := atm.status == 400 || atm.status == 401 || atm.status == 404 || atm.status == 413 || atm.status == 431
		good := atm.status >= 200 && atm.status < 300
		if good || final || num >= rqt.retries || (!rqt.idempotent && !promise) {
			return atm
		}
		time.Sleep(min(after, time.Until(end)/3))
		if time.Until(end) < 20*time.Millisecond {
			return atm
		}
	}
}

func (cls *clients) try(rqt request, front string, left time.Duration) (atm attempt, after time.Duration) {
	atm = attempt{
		id:         fmt.Sprintf("%s%06d", rqt.name, lastID.Add(1)),
		path:       rqt.path,
		idempotent: rqt.idempotent,
		front:      front,
		at:         time.Now(),
	}
	defer func() {
		atm.took = time.Since(atm.at)
		cls.flt.rec.add("request %s gets status %d, own %v, whole %v, error %v", atm.id, atm.status, atm.own, atm.whole, atm.err)
		cls.mu.Lock()
		defer cls.mu.Unlock()
		cls.attempts = append(cls.attempts, atm)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	method, body := http.MethodPost, io.Reader(strings.NewReader(rqt.body))
	if rqt.idempotent {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+rqt.path, body)
	if err != nil {
		atm.err = err
		return atm, 0
	}
	req.GetBody = nil // the transport must not send the request again on its own
	req.Host = host
	req.Header.Set("Request-Id", atm.id)
	req.Header.Set("Timeout-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if rqt.key != "" {
		req.Header.Set("Cookie", "Affinity-Key="+rqt.key)
	}
	for name, value := range rqt.header {
		req.Header.Set(name, value)
	}
	cls.flt.rec.add("request %s: %s %s sent to %s", atm.id, method, rqt.path, front)
	rsp, err := cls.http.Do(req)
	if err != nil {
		atm.err = err
		return atm, 0
	}
	defer rsp.Body.Close()
	data, err := io.ReadAll(rsp.Body)
	if err != nil {
		atm.err = err
		return atm, 0
	}
	atm.status = rsp.StatusCode
	atm.own = rsp.Header.Get("Response-Seal") == ""
	atm.whole = rsp.Header.Get("Response-Seal") == seal(atm.id) && string(data) == answerBody(atm.id)
	secs, _ := strconv.ParseFloat(rsp.Header.Get("Retry-After"), 64)
	return atm, time.Duration(secs * float64(time.Second))
}

// all returns the attempts so far.
func (cls *clients) all() (list []attempt) {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	return append(list, cls.attempts...)
}

// load sends requests at a steady rate until stop is closed, and returns when they have ended.
func (cls *clients) load(perSecond int, stop <-chan struct{}, next func(num int) request) {
	var pending sync.WaitGroup
	defer pending.Wait()
	tck := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tck.Stop()
	for num := 0; ; num++ {
		select {
		case <-stop:
			return
		case <-tck.C:
			pending.Go(func() { cls.send(next(num)) })
		}
	}
}
