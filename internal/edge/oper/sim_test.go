package oper_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompass"
	"cardamompass/internal/edge/oper"
)

var errLost = errors.New("connection lost")

// skewed is a clock with an offset and a rate of its own.
type skewed struct {
	cardamompass.SystemClock
	base   time.Time
	offset time.Duration
	rate   float64
}

func (skw skewed) Now() time.Time {
	return skw.base.Add(skw.offset + time.Duration(float64(time.Since(skw.base))*skw.rate))
}

// node is one run of one entry VM.
type node struct {
	vm      cardamompass.VM
	clk     skewed
	svc     *oper.Service
	cleanup func()
	resume  time.Time // paused until then
	dead    bool
}

// world holds three VMs, their network and the targets. Everything happens in the fake time of testing/synctest.
type world struct {
	mu      sync.Mutex
	seed    int64
	naive   bool
	nodes   []*node // current run of each VM
	all     []*node
	members []cardamompass.Member
	blocked map[string]bool
	arrived map[string][]time.Time // executions at targets by request
	sent    map[string][]time.Time // sendings by the caller
	notRun  map[string][]time.Time // times at which the caller was told not-run
}

func (wld *world) chance(key string, percent int) bool { return wld.number(key, 100) < percent }

// number draws from a hash of the seed, the fake time and key, so that a draw does not depend on the order in which
// the goroutines that are ready at one instant are scheduled.
func (wld *world) number(key string, limit int) int {
	text := fmt.Sprint(wld.seed, time.Now().UnixNano(), key, limit)
	return int(xxhash.Sum64String(text) % uint64(limit))
}

// delay sleeps for a random time, rarely for a long one, so that messages overtake each other.
func (wld *world) delay(key string) {
	span := time.Duration(wld.number(key, 40_000)+1) * time.Microsecond
	if wld.chance(key, 15) {
		span *= 60
	}
	time.Sleep(span)
}

// awake waits while nod is paused. It reports false when nod is dead.
func (wld *world) awake(nod *node) bool {
	for {
		wld.mu.Lock()
		wait, dead := time.Until(nod.resume), nod.dead
		wld.mu.Unlock()
		if dead {
			return false
		}
		if wait <= 0 {
			return true
		}
		time.Sleep(wait)
	}
}

// execute is one attempt at a target. It counts the arrival, which may come after the attempt was given up.
func (wld *world) execute(nod *node) oper.Execute {
	return func(ctx context.Context, req cardamompass.Request) (cardamompass.Response, error) {
		key := fmt.Sprint("target", req.ID, nod.vm.ID)
		if !wld.awake(nod) {
			return cardamompass.Response{}, errLost
		}
		switch wld.number(key, 6) {
		case 0:
			wld.delay(key)
			return cardamompass.Response{}, &cardamompass.NotRunError{
				Reason: "shed",
			}
		case 1:
			return cardamompass.Response{}, &cardamompass.UnknownOutcomeError{
				Reason: "cut",
			}
		}
		wld.delay(key)
		wld.mu.Lock()
		wld.arrived[string(req.ID)] = append(wld.arrived[string(req.ID)], time.Now())
		wld.mu.Unlock()
		wld.delay(key)
		if wld.chance(key, 20) || ctx.Err() != nil || !wld.awake(nod) {
			return cardamompass.Response{}, errLost
		}
		return cardamompass.Response{
			Status: 200,
			Body:   io.NopCloser(strings.NewReader(string(req.ID))),
		}, nil
	}
}

// link is the network as one VM sees it: a membership and a peer caller.
type link struct {
	wld  *world
	from *node
}

func (lnk link) Self() cardamompass.Member { return lnk.Members()[0] }

func (lnk link) Members() []cardamompass.Member {
	lnk.wld.mu.Lock()
	defer lnk.wld.mu.Unlock()
	return append([]cardamompass.Member(nil), lnk.wld.members...)
}

func (lnk link) Call(ctx context.Context, address, method string, args, reply any) (err error) {
	wld := lnk.wld
	key := fmt.Sprint(lnk.from.vm.ID, address, method)
	if fwd, ok := args.(*oper.ForwardArgs); ok {
		key += string(fwd.Request.ID)
	}
	wld.mu.Lock()
	var peer *node
	for _, nod := range wld.nodes {
		if nod.vm.PeerAddress == address {
			peer = nod
		}
	}
	there, back := wld.blocked[lnk.from.vm.PeerAddress+address], wld.blocked[address+lnk.from.vm.PeerAddress]
	dead := peer.dead
	wld.mu.Unlock()
	if dead || ctx.Err() != nil || wld.chance(key+"dial", 5) {
		return &cardamompass.PeerUnsentError{
			Address: address,
			Err:     errLost,
		}
	}
	done := make(chan error, 1)
	var deliver func()
	go func() {
		wld.delay(key)
		if there || !wld.awake(peer) {
			return
		}
		var err error
		deliver, err = dispatch(peer.svc, args, reply)
		done <- err
	}()
	if wld.chance(key+"cut", 10) {
		return errLost
	}
	select {
	case err = <-done:
		if back || !wld.awake(peer) {
			<-ctx.Done()
			return ctx.Err()
		}
		wld.delay(key)
		deliver()
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dispatch calls the method that args belong to. deliver copies its reply.
func dispatch(svc *oper.Service, args, reply any) (deliver func(), err error) {
	if prt, ok := args.(*oper.Chunk); ok {
		rpl := new(oper.HandoverReply)
		err = svc.Handover(prt, rpl)
		return func() { *reply.(*oper.HandoverReply) = *rpl }, err
	}
	rpl := new(oper.Reply)
	err = svc.Forward(args.(*oper.ForwardArgs), rpl)
	return func() { *reply.(*oper.Reply) = *rpl }, err
}

// start begins a run of VM idx.
func (wld *world) start(idx int) (nod *node) {
	nod = &node{
		vm: cardamompass.VM{
			ID:          cardamompass.VMID(fmt.Sprint("vm-", idx)),
			Incarnation: cardamompass.Incarnation(time.Now().UnixNano()),
			PeerAddress: fmt.Sprint("peer-", idx),
		},
		clk: skewed{
			base:   time.Now(),
			offset: time.Duration(wld.number(fmt.Sprint("offset", idx), 80_000)-40_000) * time.Millisecond,
			rate:   1 + float64(wld.number(fmt.Sprint("rate", idx), 200)-100)/10_000,
		},
	}
	tab, _ := oper.NewTable(oper.TableConfig{
		Self:  nod.vm,
		Clock: nod.clk,
	})
	lnk := link{
		wld:  wld,
		from: nod,
	}
	var err error
	nod.svc, nod.cleanup, err = oper.New(oper.Config{
		Table:      tab,
		Membership: lnk,
		Peers:      lnk,
		Clock:      nod.clk,
		Execute:    wld.execute(nod),
	})
	if err != nil {
		panic(err)
	}
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.nodes[idx] = nod
	wld.all = append(wld.all, nod)
	wld.members[idx] = cardamompass.Member{
		VM: nod.vm,
	}
	return nod
}
