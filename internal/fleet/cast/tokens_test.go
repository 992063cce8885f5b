package cast_test

import (
	"bytes"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/fleet/cast"
	"cardamompass/internal/steer/quota"
)

// tokenNode is a VM of a test and the asks and grants that it received.
type tokenNode struct {
	*cast.Exchanger
	self cardamompass.VM

	mu     sync.Mutex
	from   []cardamompass.VMID
	asks   []quota.Asks
	grants []quota.Grants
}

func (nod *tokenNode) received() (from []cardamompass.VMID, asks []quota.Asks, grants []quota.Grants) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	return slices.Clone(nod.from), slices.Clone(nod.asks), slices.Clone(nod.grants)
}

// newTokenNodes returns two VMs.
func newTokenNodes(t *testing.T) (nodes []*tokenNode) {
	t.Helper()
	var vms []cardamompass.VM
	for _, name := range []cardamompass.VMID{"vm-1", "vm-2"} {
		lsn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		vms = append(vms, cardamompass.VM{ID: name, Incarnation: 1_765_000_000_123_456_789, PeerAddress: lsn.LocalAddr().String()})
		lsn.Close()
	}
	for _, vmc := range vms {
		nod := &tokenNode{self: vmc}
		exc, stop, err := cast.New(cast.Config{
			Self:      vmc,
			ListedVMs: func() []cardamompass.VM { return vms },
			OnReports: func([]cast.Report) {},
			OnAsks: func(from cardamompass.VMID, asks quota.Asks) {
				nod.mu.Lock()
				defer nod.mu.Unlock()
				nod.from, nod.asks = append(nod.from, from), append(nod.asks, asks)
			},
			OnGrants: func(grs quota.Grants) {
				nod.mu.Lock()
				defer nod.mu.Unlock()
				nod.grants = append(nod.grants, grs)
			},
			Clock: cardamompass.SystemClock{},
			Log:   zap.NewNop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		nod.Exchanger = exc
		nodes = append(nodes, nod)
	}
	return nodes
}

// Guards against asks and grants that arrive changed: more tokens than were subtracted, or a longer life, would break the quota.
func TestAsksAndGrantsReachAVM(t *testing.T) {
	nodes := newTokenNodes(t)
	ask := quota.Ask{Team: quota.IDOf("team"), Want: 12.5, Have: 0.25, Urgent: true, Life: 700 * time.Millisecond}
	grt := quota.Grant{Team: quota.IDOf("team"), Tokens: 3.9999, Life: 690 * time.Millisecond}
	waitFor(t, "asks", func() bool {
		nodes[0].SendAsks("vm-2", quota.Asks{Round: 77, Asks: []quota.Ask{ask}})
		_, asks, _ := nodes[1].received()
		return len(asks) > 0
	})
	waitFor(t, "grants", func() bool {
		nodes[1].SendGrants("vm-1", quota.Grants{Round: 77, Number: 5, Grants: []quota.Grant{grt}})
		_, _, grants := nodes[0].received()
		return len(grants) > 0
	})
	from, asks, _ := nodes[1].received()
	if got := asks[0]; from[0] != "vm-1" || got.Round != 77 || len(got.Asks) != 1 || got.Asks[0] != ask {
		t.Fatalf("asks %+v", got)
	}
	_, _, grants := nodes[0].received()
	got := grants[0]
	if got.From != "vm-2" || got.Incarnation != nodes[1].self.Incarnation || got.Round != 77 || got.Number != 5 || len(got.Grants) != 1 {
		t.Fatalf("grants %+v", got)
	}
	if rcv := got.Grants[0]; rcv.Team != grt.Team || rcv.Tokens > grt.Tokens || rcv.Tokens < grt.Tokens-0.01 || rcv.Life != 600*time.Millisecond {
		t.Fatalf("grant %+v", rcv)
	}
}

// Guards against datagrams of all kinds that together exceed the bandwidth for control traffic, and against asks that a VM of an earlier
// version takes for a load report: it accepts arrays of 9 fields.
func TestTokensLeaveTheBandwidthBound(t *testing.T) {
	nodes := newTokenNodes(t)
	lsn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lsn.Close()
	con, err := net.Dial("udp4", nodes[0].self.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	data, err := msgpack.Marshal([]any{"vm-3", 1, "", "d", "127.0.0.1:1", lsn.LocalAddr().String(), false, []any{}, 100})
	if err != nil {
		t.Fatal(err)
	}
	if _, err = con.Write(data); err != nil { // from now on, vm-3 receives datagrams
		t.Fatal(err)
	}
	waitFor(t, "the third VM", func() bool { return len(nodes[0].Running()) == 2 })
	asks := quota.Asks{Round: 1, Asks: make([]quota.Ask, 20)}
	const length = 3 * time.Second
	begin, total, tokens := time.Now(), 0, 0
	buf := make([]byte, 4096)
	for time.Since(begin) < length {
		for range 20 {
			nodes[0].SendAsks("vm-3", asks)
			nodes[0].SendGrants("vm-3", quota.Grants{Round: 1, Grants: make([]quota.Grant, 20)})
		}
		nodes[0].RecordLoad("i-1", cardamompass.Load{Slots: 6, Slowness: 1})
		if err = lsn.SetReadDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		for {
			num, _, err := lsn.ReadFrom(buf)
			if err != nil {
				break
			}
			total += num
			fields, err := msgpack.NewDecoder(bytes.NewReader(buf[:num])).DecodeArrayLen()
			if err != nil || (fields != 9 && fields != 6) {
				t.Fatalf("%d fields, %v", fields, err)
			}
			if fields == 6 {
				tokens += num
			}
		}
	}
	limit := 10_000 * (time.Since(begin).Seconds() + 1)
	if tokens == 0 || float64(total) > limit {
		t.Fatalf("%d bytes in %v, of which %d in asks and grants", total, time.Since(begin), tokens)
	}
	if nodes[0].MaySendGrants("vm-3", 200) || nodes[0].MaySendGrants("unknown", 1) {
		t.Fatal("grants are promised that can't be sent")
	}
}

// Guards against a VM that has a token and more, and appears to others as one that lacks a part of one: they give it their parts of tokens.
func TestAskOfAVMWithTokens(t *testing.T) {
	nodes := newTokenNodes(t)
	for _, tst := range []struct{ have, most, least float64 }{
		{0.25, 0.25, 0.25},
		{0.999, 0.9989, 0.99}, // not a whole one
		{1, 1, 1},
		{7, 7, 1},
	} {
		round := uint64(tst.have * 1000)
		waitFor(t, "asks", func() bool {
			nodes[0].SendAsks("vm-2", quota.Asks{Round: round, Asks: []quota.Ask{{Want: 1, Have: tst.have}}})
			_, asks, _ := nodes[1].received()
			return len(asks) > 0 && asks[len(asks)-1].Round == round
		})
		_, asks, _ := nodes[1].received()
		if have := asks[len(asks)-1].Asks[0].Have; have > tst.most || have < tst.least {
			t.Errorf("a VM with %v tokens seems to have %v", tst.have, have)
		}
	}
}
