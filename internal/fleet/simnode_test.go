package fleet_test

import (
	"time"

	"cardamompass"
	"cardamompass/internal/fleet/member"
	"cardamompass/internal/fleet/spread"
)

func summaryPayload(sum spread.Summary) []member.Payload {
	return []member.Payload{
		{
			Name: "s",
			Data: sum.Bytes(),
		},
	}
}

// member applies one event to the membership and executes its effects.
func (nod *node) member(evt member.Event) (reply member.Message, relayed []member.Ping) {
	begin := time.Now()
	effects := nod.mch.Apply(evt)
	nod.cpu += time.Since(begin)
	for _, eff := range effects {
		switch eff := eff.(type) {
		case member.Reply:
			reply = nod.withPayload(eff.Message)
		case member.Ping:
			if eff.Relay {
				relayed = append(relayed, eff)
			} else {
				nod.ping(eff, func(bool, cardamompass.Member) {})
			}
		case member.PingReq:
			nod.pingReq(eff)
		case member.Changed:
			nod.sim.changed = true
			nod.peersChanged()
		}
	}
	nod.schedule()
	return reply, relayed
}

// peersChanged schedules a report of the peers to the dissemination. Changes in quick succession cause one report.
func (nod *node) peersChanged() {
	if nod.peersPending {
		return
	}
	nod.peersPending = true
	nod.sim.after(100*time.Millisecond, func() {
		nod.peersPending = false
		evt := spread.PeersChanged{
			Now: nod.sim.now,
		}
		for _, mbr := range nod.mch.Members() {
			if mbr.VM.ID != nod.vm.ID && mbr.Serving() {
				evt.Serving = append(evt.Serving, mbr.VM.ID)
			}
		}
		nod.spread(evt)
	})
}

// withPayload returns a message with the payload of the dissemination attached.
func (nod *node) withPayload(msg member.Message) member.Message {
	if nod.sim.attachSummaries {
		msg.Payloads = summaryPayload(nod.cor.Summary())
	}
	return msg
}

func (nod *node) payloadSize() int {
	if nod.sim.attachSummaries {
		return nod.sim.wire.summarySize
	}
	return 0
}

// handlePayload passes the payload of a message to the dissemination.
func (nod *node) handlePayload(msg member.Message) {
	for _, pld := range msg.Payloads {
		if sum, ok := spread.ParseSummary(pld.Data); ok {
			nod.spread(spread.SummaryReceived{
				Now:     nod.sim.now,
				From:    msg.From.VM.ID,
				Summary: sum,
			})
		}
	}
}

func (nod *node) ping(png member.Ping, done func(ok bool, from cardamompass.Member)) {
	sml := nod.sim
	to := sml.byAddress[png.Address]
	msg := nod.withPayload(png.Message)
	nod.calls++
	if to != nil {
		nod.countMember(to, msg, nod.payloadSize())
	}
	var reply member.Message
	nod.call(to, png.Timeout, func() {
		to.calls++
		reply, _ = to.member(member.PingReceived{
			Now:     sml.now,
			Message: msg,
		})
		to.handlePayload(msg)
		to.countMember(nod, reply, nod.payloadSize())
	}, func() {
		nod.member(member.ProbeAnswered{
			Now:     sml.now,
			Probe:   png.Probe,
			Message: reply,
		})
		nod.handlePayload(reply)
		done(true, reply.From)
	}, func() {
		nod.member(member.ProbeFailed{
			Now:   sml.now,
			Probe: png.Probe,
		})
		done(false, cardamompass.Member{})
	})
}

func (nod *node) pingReq(req member.PingReq) {
	sml := nod.sim
	to := sml.byAddress[req.Address]
	args := req.Request
	args.Message = nod.withPayload(args.Message)
	nod.countMember(to, args, nod.payloadSize())
	settled := false
	finish := func(evt member.Event) {
		if !settled && !nod.down {
			settled = true
			nod.member(evt)
		}
	}
	// The reply is sent after the relay's own probe, so it is simulated as a second call.
	nod.call(to, req.Timeout, func() {
		reply, pings := to.member(member.RelayReceived{
			Now:     sml.now,
			Request: args,
		})
		for _, png := range pings {
			to.ping(png, func(ok bool, from cardamompass.Member) {
				to.countMember(nod, reply, nod.payloadSize())
				if !ok || from.VM.ID != args.Target.VM.ID || sml.rng.Float64() < sml.loss {
					return
				}
				reply.Updates = append(reply.Updates, member.Update{
					Member: from,
				})
				sml.after(sml.delay(), func() {
					finish(member.ProbeAnswered{
						Now:     sml.now,
						Probe:   req.Probe,
						Message: reply,
					})
				})
			})
		}
	}, func() {}, func() {})
	sml.after(req.Timeout, func() {
		finish(member.ProbeFailed{
			Now:   sml.now,
			Probe: req.Probe,
		})
	})
}

// spread applies one event to the dissemination and executes its effects.
func (nod *node) spread(evt spread.Event) (push spread.PushReply, pull spread.PullReply) {
	for _, eff := range nod.cor.Apply(evt) {
		switch eff := eff.(type) {
		case spread.Changed:
			nod.sim.changed = true
		case spread.PushAnswer:
			push = eff.Reply
		case spread.PullAnswer:
			pull = eff.Reply
		case spread.Push:
			nod.push(eff)
		case spread.Pull:
			nod.pull(eff)
		case spread.Watch:
			nod.sim.store.watch(nod, eff)
		case spread.Get:
			nod.sim.store.get(nod, eff)
		}
	}
	nod.schedule()
	return push, pull
}

func (sml *sim) byID(vid cardamompass.VMID) *node {
	for _, nod := range sml.nodes {
		if nod.vm.ID == vid {
			return nod
		}
	}
	return nil
}

// countSpread adds the size of a message of the dissemination to the counters of both ends.
func (nod *node) countSpread(to *node, val any) {
	size := nod.sim.wire.messageSize(val)
	nod.spreadBytes += size
	to.spreadBytes += size
}

func (nod *node) push(eff spread.Push) {
	sml := nod.sim
	to := sml.byID(eff.To)
	nod.countSpread(to, eff.Request)
	var reply spread.PushReply
	nod.call(to, 2*time.Second, func() {
		reply, _ = to.spread(spread.PushReceived{
			Now:     sml.now,
			Request: eff.Request,
		})
		to.countSpread(nod, reply)
	}, func() {
		nod.spread(spread.SummaryReceived{
			Now:     sml.now,
			From:    eff.To,
			Summary: reply.Summary,
		})
	}, func() {})
}

func (nod *node) pull(eff spread.Pull) {
	sml := nod.sim
	to := sml.byID(eff.To)
	nod.countSpread(to, eff.Request)
	var reply spread.PullReply
	evt := spread.PullDone{
		From: eff.To,
		Full: eff.Request.Full,
	}
	nod.call(to, 5*time.Second, func() {
		_, reply = to.spread(spread.PullReceived{
			Now:     sml.now,
			Request: eff.Request,
		})
		to.countSpread(nod, reply)
	}, func() {
		evt.Now, evt.Reply = sml.now, &reply
		nod.spread(evt)
	}, func() {
		evt.Now = sml.now
		nod.spread(evt)
	})
}

// simStore is the store of a simulation.
type simStore struct {
	val     cardamompass.Value
	calls   int
	waiters []func()
}

// watch replies when the revision is greater than the known one or the wait is over.
func (sst *simStore) watch(nod *node, eff spread.Watch) {
	sst.calls++
	done := false
	answer := func() {
		if done {
			return
		}
		done = true
		nod.sim.after(nod.sim.delay(), func() { sst.answer(nod, eff.Call) })
	}
	if sst.val.Revision > eff.After {
		answer()
		return
	}
	sst.waiters = append(sst.waiters, answer)
	nod.sim.after(eff.Wait, answer)
}

func (sst *simStore) get(nod *node, eff spread.Get) {
	sst.calls++
	nod.sim.after(2*nod.sim.delay(), func() { sst.answer(nod, eff.Call) })
}

func (sst *simStore) answer(nod *node, call uint64) {
	nod.spread(spread.ReadDone{
		Now:     nod.sim.now,
		Call:    call,
		Value:   sst.val,
		Missing: sst.val.Revision == 0,
	})
}

// edit writes a new document.
func (sst *simStore) edit(dcm doc) {
	data, err := codec.Encode(dcm)
	if err != nil {
		panic(err)
	}
	sst.val = cardamompass.Value{
		Key:      "catalogue",
		Data:     data,
		Revision: sst.val.Revision + 1,
	}
	waiters := sst.waiters
	sst.waiters = nil
	for _, answer := range waiters {
		answer()
	}
}
