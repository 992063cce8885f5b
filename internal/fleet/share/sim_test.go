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
	leaseTTL = time.Minute
	loanTTL  = 2 * time.Second
	linger   = 5 * time.Second
)

var errCut = errors.New("cut")

// world is a fleet in simulated time: a store with faults, a network with cuts, VMs that crash, pause and restart.
type world struct {
	rnd      *rand.Rand
	mtx      sync.Mutex
	now      time.Time
	values   map[string]cardamompass.Value
	leases   map[cardamompass.LeaseID]time.Time
	late     []func()
	down     bool
	nextID   int64
	vms      []*vm
	capacity map[string]int64
	// putFault overrides the random choice of what happens to a write.
	putFault func() int
}

// vm is one entry VM. Its clock runs up to 1% fast or slow.
type vm struct {
	wld     *world
	id      cardamompass.VMID
	inc     cardamompass.Incarnation
	skew    float64
	paused  bool
	crashed bool
	cut     map[cardamompass.VMID]bool
	noStore bool
	pol     *share.Pool
	held    []work
}

// work occupies a slot until it is done.
type work struct {
	release func()
	done    time.Time
}

type clock struct{ vms *vm }

func (clk clock) Now() time.Time {
	base := time.Unix(0, 0)
	past := clk.vms.wld.now.Sub(base)
	return base.Add(time.Duration(float64(past) * clk.vms.skew))
}

func (clock) NewTimer(d time.Duration) cardamompass.Timer {
	return cardamompass.SystemClock{}.NewTimer(d)
}

func newWorld(seed int64, count int) *world {
	wld := &world{
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
		wld.vms = append(wld.vms, &vm{
			wld: wld,
			id:  cardamompass.VMID("vm-" + strconv.Itoa(num)),
			cut: map[cardamompass.VMID]bool{},
		})
	}
	for _, one := range wld.vms {
		one.start()
	}
	return wld
}

func (one *vm) start() {
	one.inc++
	one.crashed, one.paused, one.held = false, false, nil
	one.skew = 0.995 + one.wld.rnd.Float64()/100
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
		Random:   one.wld.rnd.Int63n,
	})
	one.setResources(1)
}

func (one *vm) setResources(version int64) {
	one.pol.SetResources([]share.Resource{
		{
			Name:        "link/gulf/delta",
			Kind:        share.KindRate,
			Capacity:    one.wld.capacity["link/gulf/delta"],
			LongPercent: 80,
		},
		{
			Name:       "slots/kiosk-core/delta",
			Kind:       share.KindSlots,
			Capacity:   one.wld.capacity["slots/kiosk-core/delta"],
			MaxRunTime: linger,
		},
	}, version)
}

// store is the store as one VM reaches it.
type store struct{ vms *vm }

func (sto store) reach() error {
	if sto.vms.wld.down || sto.vms.noStore {
		return errCut
	}
	return nil
}

func (sto store) Get(_ context.Context, key string) (cardamompass.Value, error) {
	if err := sto.reach(); err != nil {
		return cardamompass.Value{}, err
	}
	val, ok := sto.vms.wld.values[key]
	if !ok {
		return val, &cardamompass.NotFoundError{Key: key}
	}
	return val, nil
}

// Put loses some answers; of those, some writes take effect at once, some later if their revision still holds, some never.
func (sto store) Put(_ context.Context, key string, data []byte, revision int64) (val cardamompass.Value, err error) {
	wld := sto.vms.wld
	if err := sto.reach(); err != nil {
		return val, err
	}
	write := func() error {
		if have := wld.values[key].Revision; have != revision {
			return &cardamompass.ConflictError{Key: key, Want: revision, Have: have}
		}
		wld.nextID++
		wld.values[key] = cardamompass.Value{Key: key, Data: data, Revision: wld.nextID}
		return nil
	}
	kind := wld.rnd.Intn(12)
	if wld.putFault != nil {
		kind = wld.putFault()
	}
	switch kind {
	case 0:
		_ = write()
		return val, &cardamompass.WriteUnknownError{Key: key, Err: errCut}
	case 1:
		wld.late = append(wld.late, func() { _ = write() })
		return val, &cardamompass.WriteUnknownError{Key: key, Err: errCut}
	case 2:
		return val, &cardamompass.WriteUnknownError{Key: key, Err: errCut}
	}
	err = write()
	return wld.values[key], err
}

func (sto store) Watch(ctx context.Context, key string, _ int64, _ time.Duration) (cardamompass.Value, error) {
	return sto.Get(ctx, key)
}

func (sto store) Grant(_ context.Context, ttl time.Duration) (lse cardamompass.Lease, err error) {
	if err := sto.reach(); err != nil {
		return lse, err
	}
	wld := sto.vms.wld
	wld.nextID++
	lse.ID = cardamompass.LeaseID(strconv.FormatInt(wld.nextID, 10))
	wld.leases[lse.ID] = wld.now.Add(ttl)
	return lse, nil
}

func (sto store) Renew(ctx context.Context, id cardamompass.LeaseID) (lse cardamompass.Lease, err error) {
	if lse, err = sto.Inspect(ctx, id); err == nil {
		sto.vms.wld.leases[id] = sto.vms.wld.now.Add(leaseTTL)
	}
	return lse, err
}

func (sto store) Inspect(_ context.Context, id cardamompass.LeaseID) (lse cardamompass.Lease, err error) {
	if err := sto.reach(); err != nil {
		return lse, err
	}
	if !sto.vms.wld.now.Before(sto.vms.wld.leases[id]) {
		return lse, &cardamompass.NotFoundError{Key: string(id)}
	}
	return cardamompass.Lease{ID: id}, nil
}

func (sto store) Revoke(_ context.Context, id cardamompass.LeaseID) error {
	delete(sto.vms.wld.leases, id)
	return nil
}

// peers are the other VMs as one VM reaches them. Some answers are lost after the call took effect.
type peers struct{ vms *vm }

func (prs peers) Call(_ context.Context, address, method string, args, reply any) error {
	prs.vms.wld.mtx.Lock()
	defer prs.vms.wld.mtx.Unlock()
	for _, oth := range prs.vms.wld.vms {
		if string(oth.id) != address {
			continue
		}
		// One call in twenty is lost before it takes effect, one in ten of the others after it.
		if oth.crashed || oth.paused || prs.vms.cut[oth.id] || prs.vms.wld.rnd.Intn(20) == 0 {
			return errCut
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
		if oth.cut[prs.vms.id] || prs.vms.wld.rnd.Intn(10) == 0 {
			return errCut
		}
		return err
	}
	return errCut
}

// members sees crashed and paused VMs as dead, and the others as alive.
type members struct{ vms *vm }

func (mbs members) Self() cardamompass.Member { return mbs.vms.member(mbs.vms) }

func (mbs members) Members() (list []cardamompass.Member) {
	for _, oth := range mbs.vms.wld.vms {
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

// fault makes one random failure, or ends some.
func (wld *world) fault(extra bool) string {
	one := wld.vms[wld.rnd.Intn(len(wld.vms))]
	oth := wld.vms[wld.rnd.Intn(len(wld.vms))]
	switch wld.rnd.Intn(9) {
	case 0:
		one.crashed, one.held = true, nil
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
		wld.down = !wld.down
		return fmt.Sprint("store down ", wld.down)
	case 5:
		one.noStore = !one.noStore
		return fmt.Sprint("no store ", one.id, one.noStore)
	case 6:
		for _, write := range wld.late {
			write()
		}
		wld.late = nil
		return "late writes"
	case 7:
		if extra {
			wld.now = wld.now.Add(leaseTTL / 2)
			return "half a lease passes"
		}
	}
	return ""
}
