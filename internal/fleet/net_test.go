// Package fleet_test tests the packages below together: whole fleets in one process, on a network in memory and in the virtual
// time of testing/synctest, so that no result depends on the speed of the machine.
package fleet_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"flag"
	"fmt"
	"math/rand"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/fleet/member"
	"cardamompass/internal/fleet/spread"
)

var seedFlag = flag.Int64("seed", 0, "seed of the random choices; 0 takes a new one")

// seed returns the seed of a test and logs it.
func seed(t testing.TB) (num int64) {
	num = *seedFlag
	if num == 0 {
		num = time.Now().UnixNano()
	}
	t.Logf("seed %d (repeat with -seed)", num)
	return num
}

// network carries calls between the VMs of a test.
type network struct {
	mut   sync.Mutex
	rng   *rand.Rand
	hosts map[string]*host
	// cut holds the directions, as from and to, in which all messages are lost.
	cut   map[[2]string]bool
	loss  float64
	delay time.Duration
}

// host is one VM of a test.
type host struct {
	net  *network
	vm   cardamompass.VM
	mbr  *member.Agent
	spr  *spread.Agent[doc]
	stop func()
}

func newNetwork(num int64) *network {
	return &network{
		rng:   rand.New(rand.NewSource(num)),
		hosts: map[string]*host{},
		cut:   map[[2]string]bool{},
		delay: time.Millisecond,
	}
}

// deliver waits for the delay of one message and returns its recipient; ok is false if the message is lost.
func (ntw *network) deliver(from, to string) (hst *host, ok bool) {
	ntw.mut.Lock()
	delay := time.Duration(float64(ntw.delay) * (0.5 + ntw.rng.Float64()))
	ok = !ntw.cut[[2]string{from, to}] && ntw.rng.Float64() >= ntw.loss
	ntw.mut.Unlock()
	time.Sleep(delay)
	ntw.mut.Lock()
	defer ntw.mut.Unlock()
	hst = ntw.hosts[to]
	return hst, ok && hst != nil
}

func (ntw *network) setCut(from, to string, cut bool) {
	ntw.mut.Lock()
	defer ntw.mut.Unlock()
	ntw.cut[[2]string{from, to}] = cut
}

// Call implements cardamompass.PeerCaller.
func (hst *host) Call(ctx context.Context, address, method string, args, reply any) (err error) {
	other, ok := hst.net.deliver(hst.vm.PeerAddress, address)
	if ok {
		err = other.serve(ctx, method, args, reply)
		_, ok = hst.net.deliver(address, hst.vm.PeerAddress)
	}
	if !ok {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (hst *host) serve(ctx context.Context, method string, args, reply any) (err error) {
	switch method {
	case "Member.Ping":
		return exchange(args, reply, hst.mbr.Service().Ping)
	case "Member.PingReq":
		return exchange(args, reply, func(arg member.RelayRequest, rep *member.RelayReply) error {
			return hst.mbr.Service().PingReq(ctx, arg, rep)
		})
	case "Spread.Push":
		return exchange(args, reply, hst.spr.Service().Push)
	case "Spread.Pull":
		return exchange(args, reply, hst.spr.Service().Pull)
	}
	return errors.Errorf("no method %s", method)
}

// exchange runs a method on a copy of the arguments, so that the VMs of a test share no memory.
func exchange[A, R any](args, reply any, fun func(A, *R) error) (err error) {
	var (
		arg A
		rep R
	)
	if err = copyValue(args, &arg); err != nil {
		return err
	}
	if err = fun(arg, &rep); err != nil {
		return err
	}
	return copyValue(rep, reply)
}

// gobCopier copies values of one type through gob. Its encoder is reused because creating one costs much more than a message.
type gobCopier struct {
	mut sync.Mutex
	buf bytes.Buffer
	enc *gob.Encoder
	dec *gob.Decoder
}

var gobCopiers sync.Map

func copyValue(from, to any) (err error) {
	fresh := &gobCopier{}
	fresh.enc, fresh.dec = gob.NewEncoder(&fresh.buf), gob.NewDecoder(&fresh.buf)
	val, _ := gobCopiers.LoadOrStore(reflect.TypeOf(to), fresh)
	gcp := val.(*gobCopier)
	gcp.mut.Lock()
	defer gcp.mut.Unlock()
	if err = gcp.enc.Encode(from); err != nil {
		return err
	}
	return gcp.dec.Decode(to)
}

// fleet is a set of VMs with one store.
type fleet struct {
	t          *testing.T
	net        *network
	store      *memStore
	randomSeed int64
	size       int
}

func address(num int) string { return fmt.Sprintf("10.0.0.%d:7000", num) }

func vmID(num int) cardamompass.VMID { return cardamompass.VMID(fmt.Sprintf("vm-%d", num)) }

func newFleet(t *testing.T, num int64, size int) (flt *fleet) {
	flt = &fleet{
		t:          t,
		net:        newNetwork(num),
		store:      newMemStore(),
		randomSeed: num,
		size:       size,
	}
	for vm := 1; vm <= size; vm++ {
		flt.start(vm, 1)
	}
	return flt
}

// start starts a VM. All VMs have the first two as seeds.
func (flt *fleet) start(num int, inc cardamompass.Incarnation) {
	hst := &host{
		net: flt.net,
		vm: cardamompass.VM{
			ID:          vmID(num),
			Incarnation: inc,
			PeerAddress: address(num),
		},
	}
	flt.randomSeed++
	mbr, stopMember, err := member.New(member.Config{
		Machine: member.MachineConfig{
			Self:       hst.vm,
			Seeds:      []string{address(1), address(2)},
			RandomSeed: flt.randomSeed,
		},
		Caller: hst,
	})
	if err != nil {
		flt.t.Fatal(err)
	}
	spr, stopSpread, err := spread.New(spread.Config[doc]{
		Core: spread.CoreConfig[doc]{
			Key:        "catalogue",
			Codec:      codec,
			RandomSeed: flt.randomSeed,
		},
		Store:   flt.store,
		Caller:  hst,
		Members: mbr,
	})
	if err != nil {
		flt.t.Fatal(err)
	}
	mbr.Attach(spr.PayloadHandler())
	hst.mbr, hst.spr = mbr, spr
	hst.stop = func() {
		flt.net.mut.Lock()
		if flt.net.hosts[hst.vm.PeerAddress] == hst {
			delete(flt.net.hosts, hst.vm.PeerAddress)
		}
		flt.net.mut.Unlock()
		stopSpread()
		stopMember()
	}
	flt.net.mut.Lock()
	flt.net.hosts[hst.vm.PeerAddress] = hst
	flt.net.mut.Unlock()
	mbr.Start()
	spr.Start()
}

func (flt *fleet) host(num int) *host {
	flt.net.mut.Lock()
	defer flt.net.mut.Unlock()
	return flt.net.hosts[address(num)]
}

// advance lets virtual time pass.
func (flt *fleet) advance(dur time.Duration) {
	time.Sleep(dur)
	synctest.Wait()
}

// stopAll stops all VMs; no goroutine may remain in a bubble of synctest.
func (flt *fleet) stopAll() {
	for num := 1; num <= flt.size; num++ {
		if hst := flt.host(num); hst != nil {
			hst.stop()
		}
	}
}

// expect checks the state of one VM in the views of the observers.
func (flt *fleet) expect(when string, num int, want cardamompass.MemberState, observers ...int) {
	flt.t.Helper()
	for _, obs := range observers {
		got := cardamompass.MemberState(-1)
		for _, mbr := range flt.host(obs).mbr.Members() {
			if mbr.VM.ID == vmID(num) {
				got = mbr.State
			}
		}
		if got != want {
			flt.t.Errorf("%s: %s sees %s as %s, want %s", when, vmID(obs), vmID(num), got, want)
		}
	}
}

// expectAll checks that the given VMs see each other as alive.
func (flt *fleet) expectAll(when string, nums ...int) {
	flt.t.Helper()
	for _, num := range nums {
		flt.expect(when, num, cardamompass.StateAlive, nums...)
	}
}
