package member_test

import (
	"flag"
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"cardamompass"
	"cardamompass/internal/fleet/member"
)

var seedFlag = flag.Int64("seed", 0, "seed of the properties; 0 takes a new one")

func properties(t *testing.T) *gopter.Properties {
	num := *seedFlag
	if num == 0 {
		num = time.Now().UnixNano()
	}
	t.Logf("seed %d (repeat with -seed)", num)
	pms := gopter.DefaultTestParametersWithSeed(num)
	pms.MinSuccessfulTests = 300
	return gopter.NewProperties(pms)
}

var start = time.Unix(1_000_000, 0)

// genMember generates records of few VMs with few values, so that records meet.
func genMember() gopter.Gen {
	return gen.Struct(reflect.TypeFor[cardamompass.Member](), map[string]gopter.Gen{
		"VM": gen.Struct(reflect.TypeFor[cardamompass.VM](), map[string]gopter.Gen{
			"ID":          gen.OneConstOf(cardamompass.VMID("a"), cardamompass.VMID("b"), cardamompass.VMID("c")),
			"Incarnation": gen.UInt64Range(1, 2).Map(func(num uint64) cardamompass.Incarnation { return cardamompass.Incarnation(num) }),
		}),
		"State": gen.IntRange(int(cardamompass.StateAlive), int(cardamompass.StateLeft)).
			Map(func(num int) cardamompass.MemberState { return cardamompass.MemberState(num) }),
		"Refutation": gen.UInt64Range(0, 2),
		"Successor":  gen.OneConstOf(cardamompass.VMID(""), cardamompass.VMID("b")),
	})
}

func newMachine(num int64) *member.Machine {
	return member.NewMachine(member.MachineConfig{
		Self: cardamompass.VM{
			ID:          "self",
			Incarnation: 1,
			PeerAddress: "self",
		},
		RandomSeed: num,
		Start:      start,
	})
}

func news(mbrs ...cardamompass.Member) member.Message {
	msg := member.Message{
		From: cardamompass.Member{
			VM: cardamompass.VM{
				ID:          "other",
				Incarnation: 1,
				PeerAddress: "other",
			},
		},
	}
	for _, mbr := range mbrs {
		msg.Updates = append(msg.Updates, member.Update{
			Member: mbr,
		})
	}
	return msg
}

// Guards against views that differ because the same records arrived in another order or in other messages.
func TestMergeCommutes(t *testing.T) {
	pps := properties(t)
	pps.Property("the order of arrival does not matter", prop.ForAll(func(mbrs []cardamompass.Member, num int64) bool {
		one, two := newMachine(1), newMachine(2)
		one.Apply(member.PingReceived{
			Now:     start,
			Message: news(mbrs...),
		})
		for _, idx := range rand.New(rand.NewSource(num)).Perm(len(mbrs)) {
			two.Apply(member.PingReceived{
				Now:     start,
				Message: news(mbrs[idx], mbrs[idx]),
			})
		}
		two.Apply(member.PingReceived{
			Now:     start,
			Message: news(),
		})
		return reflect.DeepEqual(one.Members(), two.Members())
	}, gen.SliceOf(genMember()), gen.Int64()))
	pps.Property("one of two different records is the later", prop.ForAll(func(one, two cardamompass.Member) bool {
		two.VM.ID = one.VM.ID
		return one == two || member.Supersedes(one, two) != member.Supersedes(two, one)
	}, genMember(), genMember()))
	pps.TestingRun(t)
}

// Guards against a member that comes back from suspicion, death or departure without having refuted it, whatever the
// order of messages, lost probes and time.
func TestStatesDoNotGoBack(t *testing.T) {
	pps := properties(t)
	pps.Property("only a refutation leads back", prop.ForAll(func(mbrs []cardamompass.Member, num int64) string {
		rng := rand.New(rand.NewSource(num))
		mch := newMachine(num)
		now := start
		var probes []uint64
		before := map[cardamompass.VMID]cardamompass.Member{}
		for _, mbr := range mbrs {
			now = now.Add(time.Duration(rng.Intn(1500)) * time.Millisecond)
			evts := []member.Event{
				member.PingReceived{
					Now:     now,
					Message: news(mbr),
				},
				member.Tick{
					Now: now,
				},
			}
			if len(probes) > 0 {
				pid := probes[rng.Intn(len(probes))]
				evts = append(evts, member.ProbeFailed{
					Now:   now,
					Probe: pid,
				}, member.ProbeAnswered{
					Now:     now,
					Probe:   pid,
					Message: news(mbr),
				})
			}
			for _, eff := range mch.Apply(evts[rng.Intn(len(evts))]) {
				if png, ok := eff.(member.Ping); ok {
					probes = append(probes, png.Probe)
				}
			}
			for _, cur := range mch.Members() {
				old, known := before[cur.VM.ID]
				if known && old != cur && !member.Supersedes(cur, old) {
					return fmt.Sprintf("%+v after %+v", cur, old)
				}
				before[cur.VM.ID] = cur
			}
		}
		return ""
	}, gen.SliceOfN(60, genMember()), gen.Int64()))
	pps.TestingRun(t)
}

// Guards against a suspicion of this VM that it does not answer at once.
func TestRefutation(t *testing.T) {
	pps := properties(t)
	pps.Property("the answer carries the refutation", prop.ForAll(func(mbr cardamompass.Member, count uint64) bool {
		mch := newMachine(1)
		mbr.VM.ID, mbr.VM.Incarnation, mbr.Refutation = "self", 1, count
		if mbr.State == cardamompass.StateLeft {
			return true
		}
		for _, eff := range mch.Apply(member.PingReceived{
			Now:     start,
			Message: news(mbr),
		}) {
			if rep, ok := eff.(member.Reply); ok {
				return rep.Message.From == mbr || !member.Supersedes(mbr, rep.Message.From) &&
					rep.Message.From.State == cardamompass.StateAlive
			}
		}
		return false
	}, genMember(), gen.UInt64Range(0, 1000)))
	pps.TestingRun(t)
}

// Guards against messages that grow with the fleet and against news that are passed on without end.
func TestBoundedNews(t *testing.T) {
	mch := newMachine(1)
	var mbrs []cardamompass.Member
	for num := range 430 {
		mbrs = append(mbrs, cardamompass.Member{
			VM: cardamompass.VM{
				ID:          cardamompass.VMID(fmt.Sprintf("vm-%d", num)),
				Incarnation: 1,
				PeerAddress: "x",
			},
		})
	}
	sent := 0
	for range 10_000 {
		for _, eff := range mch.Apply(member.PingReceived{
			Now:     start,
			Message: news(mbrs...),
		}) {
			if rep, ok := eff.(member.Reply); ok {
				sent += len(rep.Message.Updates)
				if len(rep.Message.Updates) > 9 {
					t.Fatalf("%d records on one message", len(rep.Message.Updates))
				}
			}
		}
	}
	// 3 ln(433) is 18.2.
	if want := 432 * 19; sent != want {
		t.Fatalf("%d records sent, want %d", sent, want)
	}
}
