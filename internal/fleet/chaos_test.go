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

// agree returns a complaint unless all nodes that run see exactly each other as alive.
func (sml *sim) agree() string {
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

// rumour gives one node a false record of another one, as a former verdict that still travels.
func (sml *sim) rumour() {
	teller := sml.nodes[sml.rng.Intn(len(sml.nodes))]
	hearer := sml.nodes[sml.rng.Intn(len(sml.nodes))]
	victim := sml.nodes[sml.rng.Intn(len(sml.nodes))]
	mbr := victim.mch.Self().WithState(cardamompass.StateSuspect)
	if sml.rng.Intn(2) == 0 {
		mbr = mbr.WithState(cardamompass.StateDead)
	}
	if teller.down || hearer.down || victim.down || teller == hearer {
		return
	}
	hearer.member(member.PingReceived{
		Now: sml.now,
		Message: member.Message{
			From: teller.mch.Self(),
			Updates: []member.Update{
				{
					Member: mbr,
				},
			},
		},
	})
}

// Guards against a live, answering member that stays dead in some view, and a dead one that stays alive, after any
// sequence of losses, delays, false verdicts and deaths.
func TestLiveMembersReturn(t *testing.T) {
	num := seed(t)
	pms := gopter.DefaultTestParametersWithSeed(num)
	pms.MinSuccessfulTests = 100
	pps := gopter.NewProperties(pms)
	pps.Property("views agree once messages arrive", prop.ForAll(func(num int64, size int, loss float64, rumours int) string {
		sml := newSim(num, size)
		sml.latency = 60 * time.Millisecond
		sml.begin()
		sml.run(10 * time.Second)
		sml.loss = loss
		for range rumours {
			sml.run(time.Duration(sml.rng.Intn(1000)) * time.Millisecond)
			sml.rumour()
		}
		sml.nodes[size-1].down = sml.rng.Intn(2) == 0
		sml.run(20 * time.Second)
		sml.loss = 0
		sml.run(40 * time.Second)
		return sml.agree()
	}, gen.Int64(), gen.IntRange(3, 9), gen.Float64Range(0, 0.9), gen.IntRange(0, 40)))
	pps.TestingRun(t)
}
