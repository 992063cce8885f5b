package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"cardamompass"
	"cardamompass/internal/fleet/member"
)

// disagreement returns the first difference between the views of the running nodes and the set of running nodes, empty if there
// is none.
func (sml *sim) disagreement() string {
	for _, one := range sml.nodes {
		seen := map[cardamompass.VMID]cardamompass.MemberState{}
		for _, mbr := range one.mch.Members() {
			seen[mbr.VM.ID] = mbr.State
		}
		for _, two := range sml.nodes {
			state, known := seen[two.vm.ID]
			if alive := known && state == cardamompass.StateAlive; !one.down && alive == two.down {
				return fmt.Sprintf("%s sees %s as %s (known=%v), down=%v", one.vm.ID, two.vm.ID, state, known, two.down)
			}
		}
	}
	return ""
}

// injectFalseRecord sends a false suspect or dead record of one node to another one, as if an outdated record still circulated.
func (sml *sim) injectFalseRecord() {
	sender := sml.nodes[sml.rng.Intn(len(sml.nodes))]
	receiver := sml.nodes[sml.rng.Intn(len(sml.nodes))]
	subject := sml.nodes[sml.rng.Intn(len(sml.nodes))]
	mbr := subject.mch.Self().WithState(cardamompass.StateSuspect)
	if sml.rng.Intn(2) == 0 {
		mbr = mbr.WithState(cardamompass.StateDead)
	}
	if sender.down || receiver.down || subject.down || sender == receiver {
		return
	}
	receiver.member(member.PingReceived{
		Now: sml.now,
		Message: member.Message{
			From: sender.mch.Self(),
			Updates: []member.Update{
				{
					Member: mbr,
				},
			},
		},
	})
}

// Guards against a live, reachable member that stays dead in some view, and a dead one that stays alive, after any sequence of
// losses, delays, false records and crashes.
func TestLiveMembersReturn(t *testing.T) {
	num := seed(t)
	pms := gopter.DefaultTestParametersWithSeed(num)
	pms.MinSuccessfulTests = 100
	pps := gopter.NewProperties(pms)
	pps.Property("views converge once messages arrive", prop.ForAll(func(num int64, size int, loss float64, records int) string {
		sml := newSim(num, size)
		sml.latency = 60 * time.Millisecond
		sml.start()
		sml.run(10 * time.Second)
		sml.loss = loss
		for range records {
			sml.run(time.Duration(sml.rng.Intn(1000)) * time.Millisecond)
			sml.injectFalseRecord()
		}
		sml.nodes[size-1].down = sml.rng.Intn(2) == 0
		sml.run(20 * time.Second)
		sml.loss = 0
		sml.run(40 * time.Second)
		return sml.disagreement()
	}, gen.Int64(), gen.IntRange(3, 9), gen.Float64Range(0, 0.9), gen.IntRange(0, 40)))
	pps.TestingRun(t)
}
