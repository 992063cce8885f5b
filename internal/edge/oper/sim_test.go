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

// skewedClock is a clock with an offset and a rate error.
type skewedClock struct {
	cardamompass.SystemClock
	base   time.Time
	offset time.Duration
	rate   float64
}

func (skw skewedClock) Now() time.Time {
	return skw.base.Add(skw.offset + time.Duration(float64(time.Since(skw.base))*skw.rate))
}

// node is one incarnation of an entry VM.
type node struct {
	vm          cardamompass.VM
	clk         skewedClock
	svc         *oper.Service
	cleanup     func()
	pausedUntil time.Time // no call is handled before this time
	dead        bool
}

// simulation holds three VMs, their network and the targets. Everything happens in the fake time of testing/synctest.
type simulation struct {
	mu           sync.Mutex
	seed         int64
	naive        bool
	current      []*node // current incarnation of each VM
	all          []*node // all incarnations
	members      []cardamompass.Member
	blockedLinks map[string]bool
	executions   map[string][]time.Time // execution times at targets by request
	attempts     map[string][]time.Time // times of the caller's attempts
	notRun       map[string][]time.Time // times at which the caller got a not-run outcome
}

func (sim *simulation) randomBool(key string, percent int) bool {
	return sim.randomInt(key, 100) < percent
}

// randomInt draws from a hash of the seed, the fake time and key, so that a draw does not depend on the order in which
// goroutines that are runnable at the same instant are scheduled.
func (sim *simulation) randomInt(key string, limit int) int {
	text := fmt.Sprint(sim.seed, time.Now().UnixNano(), key, limit)
	return int(xxhash.Sum64String(text) % uint64(limit))
}

// randomDelay sleeps for a random time, rarely for a long one, so that messages overtake each other.
func (sim *simulation) randomDelay(key string) {
	span := time.Duration(sim.randomInt(key, 40_000)+1) * time.Microsecond
	if sim.randomBool(key, 15) {
		span *= 60
	}
	time.Sleep(span)
}

// waitWhilePaused waits while nod is paused. It reports false when nod is dead.
func (sim *simulation) waitWhilePaused(nod *node) bool {
	for {
		sim.mu.Lock()
		wait, dead := time.Until(nod.pausedUntil), nod.dead
		sim.mu.Unlock()
		if dead {
			return false
		}
		if wait <= 0 {
			return true
		}
		time.Sleep(wait)
	}
}

// executeAtTarget returns the Execute function of a node. It records the execution at the target, which may happen after
// the attempt has failed.
func (sim *simulation) executeAtTarget(nod *node) oper.Execute {
	return func(ctx context.Context, req cardamompass.Request) (cardamompass.Response, error) {
		key := fmt.Sprint("target", req.ID, nod.vm.ID)
		if !sim.waitWhilePaused(nod) {
			return cardamompass.Response{}, errLost
		}
		switch sim.randomInt(key, 6) {
		case 0:
			sim.randomDelay(key)
			return cardamompass.Response{}, &cardamompass.NotRunError{
				Reason: "shed",
			}
		case 1:
			return cardamompass.Response{}, &cardamompass.UnknownOutcomeError{
				Reason: "cut",
			}
		}
		sim.randomDelay(key)
		sim.mu.Lock()
		sim.executions[string(req.ID)] = append(sim.executions[string(req.ID)], time.Now())
		sim.mu.Unlock()
		sim.randomDelay(key)
		if sim.randomBool(key, 20) || ctx.Err() != nil || !sim.waitWhilePaused(nod) {
			return cardamompass.Response{}, errLost
		}
		return cardamompass.Response{
			Status: 200,
			Body:   io.NopCloser(strings.NewReader(string(req.ID))),
		}, nil
	}
}

// peerNetwork is the network as one VM sees it: a membership and a peer caller.
type peerNetwork struct {
	sim  *simulation
	self *node
}

func (ntw peerNetwork) Self() cardamompass.Member { return ntw.Members()[0] }

func (ntw peerNetwork) Members() []cardamompass.Member {
	ntw.sim.mu.Lock()
	defer ntw.sim.mu.Unlock()
	return append([]cardamompass.Member(nil), ntw.sim.members...)
}

func (ntw peerNetwork) Call(ctx context.Context, address, method string, args, reply any) (err error) {
	sim := ntw.sim
	key := fmt.Sprint(ntw.self.vm.ID, address, method)
	if fwd, ok := args.(*oper.ForwardArgs); ok {
		key += string(fwd.Request.ID)
	}
	sim.mu.Lock()
	var peer *node
	for _, nod := range sim.current {
		if nod.vm.PeerAddress == address {
			peer = nod
		}
	}
	requestBlocked, replyBlocked := sim.blockedLinks[ntw.self.vm.PeerAddress+address], sim.blockedLinks[address+ntw.self.vm.PeerAddress]
	dead := peer.dead
	sim.mu.Unlock()
	if dead || ctx.Err() != nil || sim.randomBool(key+"dial", 5) {
		return &cardamompass.PeerUnsentError{
			Address: address,
			Err:     errLost,
		}
	}
	done := make(chan error, 1)
	var deliver func()
	go func() {
		sim.randomDelay(key)
		if requestBlocked || !sim.waitWhilePaused(peer) {
			return
		}
		var err error
		deliver, err = dispatch(peer.svc, args, reply)
		done <- err
	}()
	if sim.randomBool(key+"cut", 10) {
		return errLost
	}
	select {
	case err = <-done:
		if replyBlocked || !sim.waitWhilePaused(peer) {
			<-ctx.Done()
			return ctx.Err()
		}
		sim.randomDelay(key)
		deliver()
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dispatch calls the RPC method for the type of args. deliver copies the reply to the caller.
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

// start starts a new incarnation of VM idx.
func (sim *simulation) start(idx int) (nod *node) {
	nod = &node{
		vm: cardamompass.VM{
			ID:          cardamompass.VMID(fmt.Sprint("vm-", idx)),
			Incarnation: cardamompass.Incarnation(time.Now().UnixNano()),
			PeerAddress: fmt.Sprint("peer-", idx),
		},
		clk: skewedClock{
			base:   time.Now(),
			offset: time.Duration(sim.randomInt(fmt.Sprint("offset", idx), 80_000)-40_000) * time.Millisecond,
			rate:   1 + float64(sim.randomInt(fmt.Sprint("rate", idx), 200)-100)/10_000,
		},
	}
	tab, _ := oper.NewTable(oper.TableConfig{
		Self:  nod.vm,
		Clock: nod.clk,
	})
	ntw := peerNetwork{
		sim:  sim,
		self: nod,
	}
	var err error
	nod.svc, nod.cleanup, err = oper.New(oper.Config{
		Table:      tab,
		Membership: ntw,
		Peers:      ntw,
		Clock:      nod.clk,
		Execute:    sim.executeAtTarget(nod),
	})
	if err != nil {
		panic(err)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.current[idx] = nod
	sim.all = append(sim.all, nod)
	sim.members[idx] = cardamompass.Member{
		VM: nod.vm,
	}
	return nod
}
