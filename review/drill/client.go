//go:build review

package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// sending is one request and its answer.
type sending struct {
	id, machine, path string
	at                time.Time
	status            int
}

// patience is how long a client waits for an answer, as it states in Timeout-Ms.
const patience = 3 * time.Second

// clients send requests to each machine.
type clients struct {
	sit *site
	// leave is the time after which the clients leave; patience if it is 0.
	leave time.Duration
	wtg   sync.WaitGroup
	mu    sync.Mutex
	sent  []sending
}

// startClients starts clients for each machine, each of which sends requests for a path, with a pause after each, until a time has passed.
func startClients(sit *site, method, path string, count int, pause, span time.Duration) (cls *clients) {
	cls = &clients{
		sit: sit,
	}
	end := time.Now().Add(span)
	for num, mch := range sit.machines {
		for oth := range count {
			cls.wtg.Go(func() {
				clt := &http.Client{Transport: &http.Transport{}}
				for req := 0; time.Now().Before(end); req++ {
					cls.send(clt, mch, method, fmt.Sprintf("%d-%d-%06d", num+1, oth+1, req), path)
					time.Sleep(pause)
				}
			})
		}
	}
	return cls
}

func (cls *clients) send(clt *http.Client, mch *machine, method, id, path string) {
	snd := sending{
		id:      id,
		machine: mch.name,
		path:    path,
		at:      time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(cls.leave, patience))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+mch.ip+":8161"+path, nil)
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Timeout-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	if rsp, err := clt.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, rsp.Body)
		_ = rsp.Body.Close()
		snd.status = rsp.StatusCode
	}
	cls.sit.rec.sent(snd)
	cls.mu.Lock()
	defer cls.mu.Unlock()
	cls.sent = append(cls.sent, snd)
}

func (cls *clients) wait() { cls.wtg.Wait() }
