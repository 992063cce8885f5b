package share_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/fleet/share"
)

const (
	leaseTTL   = time.Minute
	loanTTL    = 2 * time.Second
	maxRunTime = 5 * time.Second
)

var errUnreachable = errors.New("unreachable")

// sim is a fleet in simulated time: a store with faults, a network with partitions, VMs that crash, pause and restart.
type sim struct {
	rnd           *rand.Rand
	mtx           sync.Mutex
	now           time.Time
	values        map[string]cardamompass.Value
	leases        map[cardamompass.LeaseID]time.Time
	delayedWrites []func()
	down          bool
	nextID        int64
	vms           []*vm
	capacity      map[string]int64
	// putFault overrides the random choice of the fault of a write, see store.Put.
	putFault func() int
}

// vm is one entry VM. Its clock runs up to 1% fast or slow.
type vm struct {
	sml      *sim
	id       cardamompass.VMID
	inc      cardamompass.Incarnation
	skew     float64
	paused   bool
	crashed  bool
	cut      map[cardamompass.VMID]bool
	storeCut bool
	pol      *share.Pool
	running  []work
}

// work occupies a slot until it is done.
type work struct {
	release func()
	done    time.Time
}

type clock struct{ vms *vm }

func (clk clock) Now() time.Time {
	base := time.Unix(0, 0)
	past := clk.vms.sml.now.Sub(base)
	return base.Add(time.Duration(float64(past) * clk.vms.skew))
}

func (clock) NewTimer(d time.Duration) cardamompass.Timer {
	return cardamompass.SystemClock{}.NewTimer(d)
}

func newSim(seed int64, count int) *sim {
	sml := &sim{
		rnd:    rand.New(rand.NewSource(seed)),
		now:    time.Unix(1000, 0),
		values: map[string]cardamompass.Value{},
		leases: map[cardamompass.LeaseID]time.Time{},
		capacity: map[string]int64{
			"link/gulf/delta":        100_000,
			"slots/kiosk-core/delta": 120,
		},
	}
	for num := range count {
		sml.vms = append(sml.vms, &vm{
			sml: sml,
			id:  cardamompass.VMID("vm-" + strconv.Itoa(num)),
			cut: map[cardamompass.VMID]bool{},
		})
	}
	for _, one := range sml.vms {
		one.start()
	}
	return sml
}

func (one *vm) start() {
	one.inc++
	one.crashed, one.paused, one.running = false, false, nil
	one.skew = 0.995 + one.sml.rnd.Float64()/100
	one.pol = share.New(share.Config{
		Owner: share.Owner{
			VM:          one.id,
			Incarnation: one.inc,
			Boot:        "boot-" + string(one.id),
		},
		Store:    store{vms: one},
		Peers:    peers{vms: one},
		Members:  members{vms: one},
		Clock:    clock{vms: one},
		Log:      zap.NewNop(),
		LeaseTTL: leaseTTL,
		LoanTTL:  loanTTL,
		Random:   one.sml.rnd.Int63n,
	})
	one.setResources(1)
}

func (one *vm) setResources(version int64) {
	one.pol.SetResources([]share.Resource{
		{
			Name:        "link/gulf/delta",
			Kind:        share.KindRate,
			Capacity:    one.sml.capacity["link/gulf/delta"],
			LongPercent: 80,
		},
		{
			Name:       "slots/kiosk-core/delta",
			Kind:       share.KindSlots,
			Capacity:   one.sml.capacity["slots/kiosk-core/delta"],
			MaxRunTime: maxRunTime,
		},
	}, version)
}

// store is one VM's access to the store.
type store struct{ vms *vm }

func (sto store) reachable() error {
	if sto.vms.sml.down || sto.vms.storeCut {
		return errUnreachable
	}
	return nil
}

func (sto store) Get(_ context.Context, key string) (cardamompass.Value, error) {
	if err := sto.reachable(); err != nil {
		return cardamompass.Value{}, err
	}
	val, ok := sto.vms.sml.values[key]
	if !ok {
		return val, &cardamompass.NotFoundError{Key: key}
	}
	return val, nil
}

// Put loses some replies. Of these writes, some take effect at once, some later if their revision still matches, some never.
func (sto store) Put(_ context.Context, key string, data []byte, revision int64) (val cardamompass.Value, err error) {
	sml := sto.vms.sml
	if err := sto.reachable(); err != nil {
		return val, err
	}
	write := func() error {
		if have := sml.values[key].Revision; have != revision {
			return &cardamompass.ConflictError{Key: key, Want: revision, Have: have}
		}
		sml.nextID++
		sml.values[key] = cardamompass.Value{Key: key, Data: data, Revision: sml.nextID}
		return nil
	}
	kind := sml.rnd.Intn(12)
	if sml.putFault != nil {
		kind = sml.putFault()
	}
	switch kind {
	case 0:
		_ = write()
		return val, &cardamompass.WriteUnknownError{Key: key, Err: errUnreachable}
	case 1:
		sml.delayedWrites = append(sml.delayedWrites, func() { _ = write() })
		return val, &cardamompass.WriteUnknownError{Key: key, Err: errUnreachable}
	case 2:
		return val, &cardamompass.WriteUnknownError{Key: key, Err: errUnreachable}
	}
	err = write()
	return sml.values[key], err
}

func (sto store) Watch(ctx context.Context, key string, _ int64, _ time.Duration) (cardamompass.Value, error) {
	return sto.Get(ctx, key)
}

func (sto store) Grant(_ context.Context, ttl time.Duration) (lse cardamompass.Lease, err error) {
	if err := sto.reachable(); err != nil {
		return lse, err
	}
	sml := sto.vms.sml
	sml.nextID++
	lse.ID = cardamompass.LeaseID(strconv.FormatInt(sml.nextID, 10))
	sml.leases[lse.ID] = sml.now.Add(ttl)
	return lse, nil
}

func (sto store) Renew(ctx context.Context, id cardamompass.LeaseID) (lse cardamompass.Lease, err error) {
	if lse, err = sto.Inspect(ctx, id); err == nil {
		sto.vms.sml.leases[id] = sto.vms.sml.now.Add(leaseTTL)
	}
	return lse, err
}

func (sto store) Inspect(_ context.Context, id cardamompass.LeaseID) (lse cardamompass.Lease, err error) {
	if err := sto.reachable(); err != nil {
		return lse, err
	}
	if !sto.vms.sml.now.Before(sto.vms.sml.leases[id]) {
		return lse, &cardamompass.NotFoundError{Key: string(id)}
	}
	return cardamompass.Lease{ID: id}, nil
}

func (sto store) Revoke(_ context.Context, id cardamompass.LeaseID) error {
	delete(sto.vms.sml.leases, id)
	return nil
}

// peers is one VM's access to the other VMs. Some replies are lost after the call took effect.
type peers struct{ vms *vm }

func (prs peers) Call(_ context.Context, address, method string, args, reply any) error {
	prs.vms.sml.mtx.Lock()
	defer prs.vms.sml.mtx.Unlock()
	for _, oth := range prs.vms.sml.vms {
		if string(oth.id) != address {
			continue
		}
		// One call in twenty is lost before it takes effect, one in ten of the others after it.
		if oth.crashed || oth.paused || prs.vms.cut[oth.id] || prs.vms.sml.rnd.Intn(20) == 0 {
			return errUnreachable
		}
		var err error
		switch method {
		case "Share.Borrow":
			err = oth.pol.Service().Borrow(args.(*share.BorrowArgs), reply.(*share.BorrowReply))
		case "Share.Uneven":
			err = oth.pol.Service().Uneven(args.(*share.UnevenArgs), reply.(*share.UnevenReply))
		case "Share.Return":
			err = oth.pol.Service().Return(args.(*share.ReturnArgs), reply.(*share.ReturnReply))
		}
		if oth.cut[prs.vms.id] || prs.vms.sml.rnd.Intn(10) == 0 {
			return errUnreachable
		}
		return err
	}
	return errUnreachable
}

// members reports VMs that are crashed, paused or cut off as dead, and the others as alive.
type members struct{ vms *vm }

func (mbs members) Self() cardamompass.Member { return mbs.vms.member(mbs.vms) }

func (mbs members) Members() (list []cardamompass.Member) {
	for _, oth := range mbs.vms.sml.vms {
		list = append(list, mbs.vms.member(oth))
	}
	return list
}

func (one *vm) member(oth *vm) cardamompass.Member {
	state := cardamompass.StateAlive
	if oth.crashed || oth.paused || one.cut[oth.id] {
		state = cardamompass.StateDead
	}
	return cardamompass.Member{
		VM: cardamompass.VM{
			ID:          oth.id,
			Incarnation: oth.inc,
			PeerAddress: string(oth.id),
		},
		State: state,
	}
}

// fault starts or ends a random fault and returns its description.
func (sml *sim) fault(skipTime bool) string {
	one := sml.vms[sml.rnd.Intn(len(sml.vms))]
	oth := sml.vms[sml.rnd.Intn(len(sml.vms))]
	switch sml.rnd.Intn(9) {
	case 0:
		one.crashed, one.running = true, nil
		return fmt.Sprint("crash ", one.id)
	case 1:
		if one.crashed {
			one.start()
			return fmt.Sprint("restart ", one.id)
		}
	case 2:
		one.paused = !one.paused && !one.crashed
		return fmt.Sprint("pause ", one.id, one.paused)
	case 3:
		one.cut[oth.id] = !one.cut[oth.id]
		return fmt.Sprint("cut ", one.id, oth.id, one.cut[oth.id])
	case 4:
		sml.down = !sml.down
		return fmt.Sprint("store down ", sml.down)
	case 5:
		one.storeCut = !one.storeCut
		return fmt.Sprint("store cut ", one.id, one.storeCut)
	case 6:
		for _, write := range sml.delayedWrites {
			write()
		}
		sml.delayedWrites = nil
		return "delayed writes take effect"
	case 7:
		if skipTime {
			sml.now = sml.now.Add(leaseTTL / 2)
			return "half a lease passes"
		}
	}
	return ""
}
