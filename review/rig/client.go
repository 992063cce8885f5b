//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 3 * time.Second

// result is a client attempt and what came of it. Status is 0 if there was no whole answer.
type result struct {
	id, path, node string
	at             time.Time
	status         int
	err            error
}

// clients send requests, each on a new connection to one of the addresses that the directory names.
type clients struct {
	sit *site
	clt *http.Client

	mu        sync.Mutex
	addresses []string
	results   map[string]result
	last      int
}

func newClients(sit *site) (cls *clients) {
	return &clients{
		sit: sit,
		clt: &http.Client{
			Transport: &http.Transport{
				DialContext: (&net.Dialer{
					Timeout: time.Second,
				}).DialContext,
				DisableKeepAlives:  true,
				DisableCompression: true,
			},
			Timeout: clientTimeout,
		},
		results: make(map[string]result),
	}
}

// follow keeps the addresses up to date until ctx ends.
func (cls *clients) follow(ctx context.Context) {
	for ctx.Err() == nil {
		cls.resolve(ctx)
		pause(ctx, time.Second)
	}
}

// resolve asks an entry VM for the addresses.
func (cls *clients) resolve(ctx context.Context) {
	for _, num := range rand.Perm(len(cls.sit.nodes)) {
		url := "http://" + cls.sit.nodes[num].directory() + "/v1/resolve?name=" + host + "&region=" + region + "&zone=" + zones[0]
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		rsp, err := cls.clt.Do(req)
		if err != nil {
			continue
		}
		var doc struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(rsp.Body).Decode(&doc)
		_ = rsp.Body.Close()
		if err == nil && len(doc.Addresses) > 0 {
			cls.mu.Lock()
			cls.addresses = doc.Addresses
			cls.mu.Unlock()
			return
		}
	}
}

// send sends one request and waits for its answer.
func (cls *clients) send(ctx context.Context, path string) {
	cls.mu.Lock()
	cls.last++
	res := result{
		id:   fmt.Sprintf("%016x", cls.last*0x9e3779b9),
		path: path,
		at:   time.Now(),
	}
	if len(cls.addresses) > 0 {
		res.node = cls.addresses[rand.IntN(len(cls.addresses))]
	}
	cls.results[res.id] = res // an endpoint may see it before its answer comes
	cls.mu.Unlock()
	cls.sit.rec.add("client sends %s %s to %s", res.id, path, res.node)
	res.status, res.err = cls.exchange(ctx, res)
	cls.sit.rec.add("client gets %d for %s %v", res.status, res.id, res.err)
	cls.mu.Lock()
	defer cls.mu.Unlock()
	cls.results[res.id] = res
}

func (cls *clients) exchange(ctx context.Context, res result) (status int, err error) {
	method, body := http.MethodGet, io.Reader(nil)
	if strings.HasPrefix(res.path, "/post/") {
		method, body = http.MethodPost, strings.NewReader("body of "+res.id)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+res.node+res.path, body)
	if err != nil {
		return 0, err
	}
	req.Host = host
	req.Header.Set("Request-Id", res.id)
	req.Header.Set("Timeout-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	rsp, err := cls.clt.Do(req)
	if err != nil {
		return 0, err
	}
	defer rsp.Body.Close() //nolint:errcheck // the body is only read
	if _, err = io.Copy(io.Discard, rsp.Body); err != nil {
		return 0, err
	}
	return rsp.StatusCode, nil
}

// load sends perSecond requests a second until ctx ends, each with a path of its own, every third one to a route whose requests must not
// run twice.
func (cls *clients) load(ctx context.Context, perSecond int) {
	var sending group
	defer sending.Wait()
	begin := time.Now()
	for num := 0; ctx.Err() == nil; num++ {
		pause(ctx, time.Until(begin.Add(time.Duration(num)*time.Second/time.Duration(perSecond))))
		path := fmt.Sprintf("/get/n%d", num)
		if num%3 == 0 {
			path = fmt.Sprintf("/post/n%d", num)
		}
		sending.Go(func() { cls.send(context.WithoutCancel(ctx), path) })
	}
}

// result returns the client attempt with an id.
func (cls *clients) result(id string) (res result, ok bool) {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	res, ok = cls.results[id]
	return res, ok
}

// unserved returns the number of client attempts that got no answer of an endpoint, and of all.
func (cls *clients) unserved(skip func(path string) bool) (bad, all int) {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	for _, res := range cls.results {
		if skip(res.path) {
			continue
		}
		all++
		if res.status != http.StatusOK {
			bad++
		}
	}
	return bad, all
}
