package member

import (
	"time"

	"cardamompass"
)

// receive takes over the records of a message. Repair reports that a full exchange with the sender is worthwhile.
func (mch *Machine) receive(msg Message, now time.Time, gossip bool) (repair bool) {
	from := msg.From.VM.ID
	repair = mch.merge(Update{
		Member: msg.From,
	}, now, gossip)
	mch.contact(from)
	for _, upd := range msg.Updates {
		mch.merge(upd, now, gossip)
	}
	if msg.Digest == mch.digest {
		mch.agreed = now
		return repair
	}
	settled := msg.Settled && len(mch.queue) == 0
	return repair || settled || now.Sub(mch.agreed) > disagreement
}

func (mch *Machine) arrived(msg Message, now time.Time) {
	repair := mch.receive(msg, now, true)
	reply := mch.compose(msg.From.VM.ID, msg.Full, now)
	if rec := mch.records[msg.From.VM.ID]; rec != nil && rec.mbr.VM.Incarnation > msg.From.VM.Incarnation {
		// An older process of the VM still runs and has to learn of its successor.
		upd, _ := mch.update(msg.From.VM.ID, now)
		reply.Updates = append(reply.Updates, upd)
	}
	mch.emit(Reply{
		Message: reply,
	})
	if repair && !msg.Full {
		mch.sync(msg.From, now)
	}
}

func (mch *Machine) relay(req RelayRequest, now time.Time) {
	mch.receive(req.Message, now, true)
	mch.merge(Update{
		Member: req.Target,
	}, now, true)
	mch.emit(Reply{
		Message: mch.compose(req.Message.From.VM.ID, false, now),
	})
	mch.ping(probe{
		target: req.Target.VM.ID,
		inc:    req.Target.VM.Incarnation,
	}, Ping{
		Address: req.Target.VM.PeerAddress,
		Relay:   true,
		Message: mch.compose(req.Target.VM.ID, false, now),
	})
}

// ping starts a probe.
func (mch *Machine) ping(prb probe, eff Ping) {
	mch.lastID++
	prb.pending = 1
	mch.probes[mch.lastID] = &prb
	eff.Probe = mch.lastID
	eff.Timeout = mch.cfg.PingTimeout
	mch.emit(eff)
}

// sync starts a full exchange unless one was started recently.
func (mch *Machine) sync(mbr cardamompass.Member, now time.Time) {
	if now.Before(mch.nextSync) || mch.self.State == cardamompass.StateLeft {
		return
	}
	mch.nextSync = now.Add(syncInterval)
	mch.ping(probe{
		target: mbr.VM.ID,
		inc:    mbr.VM.Incarnation,
	}, Ping{
		Address: mbr.VM.PeerAddress,
		Message: mch.compose(mbr.VM.ID, true, now),
	})
}

func (mch *Machine) answered(evt ProbeAnswered, now time.Time) {
	prb := mch.probes[evt.Probe]
	if prb == nil {
		return
	}
	if !prb.indirect && prb.target != "" && prb.target != evt.Message.From.VM.ID {
		// Another VM has taken over the address.
		mch.receive(evt.Message, now, true)
		mch.missed(evt.Probe, now)
		return
	}
	prb.pending--
	if !prb.indirect || prb.pending <= 0 {
		delete(mch.probes, evt.Probe)
	}
	// The others of several indirect probes may still fail; they must not lead to suspicion any more.
	prb.check = false
	if rec := mch.records[prb.target]; rec != nil && rec.mbr.VM.Incarnation == prb.inc {
		rec.probing = false
	}
	mch.contact(prb.target)
	before := mch.self
	// Members learnt on joining are known to the others, so they are not passed on.
	repair := mch.receive(evt.Message, now, !prb.join)
	switch {
	case mch.self != before:
		// The sender has to learn the refutation before its suspicion ends.
		mch.ping(probe{
			target: evt.Message.From.VM.ID,
			inc:    evt.Message.From.VM.Incarnation,
		}, Ping{
			Address: evt.Message.From.VM.PeerAddress,
			Message: mch.compose(evt.Message.From.VM.ID, false, now),
		})
	case repair && !evt.Message.Full:
		mch.sync(evt.Message.From, now)
	}
}

func (mch *Machine) missed(pid uint64, now time.Time) {
	prb := mch.probes[pid]
	if prb == nil {
		return
	}
	prb.pending--
	if prb.pending > 0 {
		return
	}
	delete(mch.probes, pid)
	rec := mch.records[prb.target]
	if rec == nil || rec.mbr.VM.Incarnation != prb.inc || !prb.check {
		return
	}
	if !prb.indirect && rec.mbr.Serving() && mch.askRelays(pid, prb, rec, now) {
		return
	}
	rec.probing = false
	switch rec.mbr.State {
	case cardamompass.StateAlive:
		mch.set(rec, rec.mbr.WithState(cardamompass.StateSuspect), now, now, true)
	case cardamompass.StateLeaving:
		if rec.deadline.IsZero() {
			rec.deadline = now.Add(mch.cfg.SuspicionTimeout)
			mch.suspect[prb.target] = rec
		}
	default:
		// Suspected already or ended.
	}
}

// askRelays has other members probe a member that did not answer.
func (mch *Machine) askRelays(pid uint64, prb *probe, rec *record, now time.Time) (asked bool) {
	vids := mch.pick(relays, prb.target)
	if len(vids) == 0 {
		return false
	}
	prb.indirect = true
	prb.pending = len(vids)
	mch.probes[pid] = prb
	for _, vid := range vids {
		mch.emit(PingReq{
			Probe:   pid,
			Address: mch.records[vid].mbr.VM.PeerAddress,
			Timeout: mch.cfg.RelayTimeout,
			Request: RelayRequest{
				Message: mch.compose(vid, false, now),
				Target:  rec.mbr,
			},
		})
	}
	return true
}

// pick returns up to cnt random alive members except one.
func (mch *Machine) pick(cnt int, except cardamompass.VMID) (vids []cardamompass.VMID) {
	all := mch.sorted(mch.records)
	for _, num := range mch.rng.Perm(len(all)) {
		if len(vids) == cnt {
			break
		}
		rec := mch.records[all[num]]
		if all[num] != except && (rec.mbr.State == cardamompass.StateAlive || rec.mbr.State == cardamompass.StateLeaving) {
			vids = append(vids, all[num])
		}
	}
	return vids
}

// probeNext probes the next member of the round.
func (mch *Machine) probeNext(now time.Time) {
	for range 2 {
		for mch.ringPos < len(mch.ring) {
			vid := mch.ring[mch.ringPos]
			mch.ringPos++
			rec := mch.records[vid]
			if rec == nil || !rec.mbr.Serving() || rec.probing {
				continue
			}
			rec.probing = true
			mch.ping(probe{
				target: vid,
				inc:    rec.mbr.VM.Incarnation,
				check:  true,
			}, Ping{
				Address: rec.mbr.VM.PeerAddress,
				Message: mch.compose(vid, false, now),
			})
			return
		}
		mch.reshuffle()
	}
}

func (mch *Machine) reshuffle() {
	mch.ring = mch.ring[:0]
	mch.ringPos = 0
	for _, vid := range mch.sorted(mch.records) {
		if mch.records[vid].mbr.Serving() {
			mch.ring = append(mch.ring, vid)
		}
	}
	mch.rng.Shuffle(len(mch.ring), func(one, two int) {
		mch.ring[one], mch.ring[two] = mch.ring[two], mch.ring[one]
	})
}

// probeDead probes a random dead member now and then, so that the sides of a healed partition find each other.
func (mch *Machine) probeDead(now time.Time) {
	if now.Before(mch.nextDead) {
		return
	}
	mch.nextDead = now.Add(deadInterval)
	var dead []cardamompass.VMID
	for _, vid := range mch.sorted(mch.records) {
		if mch.records[vid].mbr.State == cardamompass.StateDead {
			dead = append(dead, vid)
		}
	}
	if len(dead) == 0 {
		return
	}
	vid := dead[mch.rng.Intn(len(dead))]
	mbr := mch.records[vid].mbr
	mch.ping(probe{
		target: vid,
		inc:    mbr.VM.Incarnation,
	}, Ping{
		Address: mbr.VM.PeerAddress,
		Message: mch.compose(vid, false, now),
	})
}

// reach probes an address whose member is unknown.
func (mch *Machine) reach(address string, join bool, now time.Time) {
	mch.ping(probe{
		join: join,
	}, Ping{
		Address: address,
		Message: mch.compose("", true, now),
	})
}

// join probes all seeds while no other member is known, with a growing delay and without end.
func (mch *Machine) join(now time.Time) {
	wait := mch.joinWait/2 + time.Duration(mch.rng.Int63n(int64(mch.joinWait)))
	mch.nextProbe = now.Add(wait)
	mch.joinWait = min(2*mch.joinWait, maxJoinDelay)
	for _, address := range mch.cfg.Seeds {
		if address != mch.cfg.Self.PeerAddress {
			mch.reach(address, true, now)
		}
	}
	mch.probeDead(now)
}

// probeSeed probes a seed that no serving member uses.
func (mch *Machine) probeSeed(now time.Time) {
	if now.Before(mch.nextSeed) {
		return
	}
	mch.nextSeed = now.Add(seedInterval)
	used := map[string]bool{
		mch.cfg.Self.PeerAddress: true,
	}
	for _, rec := range mch.records {
		if rec.mbr.Serving() {
			used[rec.mbr.VM.PeerAddress] = true
		}
	}
	var free []string
	for _, address := range mch.cfg.Seeds {
		if !used[address] {
			free = append(free, address)
		}
	}
	if len(free) > 0 {
		mch.reach(free[mch.rng.Intn(len(free))], false, now)
	}
}

// hinted probes VMs that are listed and not known to serve.
func (mch *Machine) hinted(vms []cardamompass.ListedVM, now time.Time) {
	if mch.self.State == cardamompass.StateLeft {
		return
	}
	sent := 0
	for _, num := range mch.rng.Perm(len(vms)) {
		vm := vms[num]
		rec := mch.records[cardamompass.VMID(vm.Name)]
		known := vm.Name == string(mch.cfg.Self.ID) || rec != nil && rec.mbr.Serving()
		last, tried := mch.hints[vm.Name]
		if known || tried && now.Sub(last) < syncInterval || sent == maxHints {
			continue
		}
		sent++
		mch.hints[vm.Name] = now
		mch.reach(vm.Address, mch.serving == 0, now)
	}
}

func (mch *Machine) leave(evt LeaveRequested, now time.Time) {
	if mch.self.State == cardamompass.StateLeft {
		return
	}
	next := mch.self.WithSuccessor(evt.Successor).WithState(cardamompass.StateLeaving)
	if evt.Final {
		next = next.WithState(cardamompass.StateLeft)
	}
	if next == mch.self {
		return
	}
	// A changed successor at the same state is only certain to replace the former one with a higher counter.
	if next.State == mch.self.State {
		next.Refutation++
	}
	mch.setSelf(next)
	if !evt.Final {
		mch.nextProbe = now
		return
	}
	vids := mch.pick(leaveProbes, evt.Successor)
	if rec := mch.records[evt.Successor]; rec != nil {
		vids = append(vids, evt.Successor)
	}
	for _, vid := range vids {
		mbr := mch.records[vid].mbr
		mch.ping(probe{
			target: vid,
			inc:    mbr.VM.Incarnation,
		}, Ping{
			Address: mbr.VM.PeerAddress,
			Leave:   true,
			Message: mch.compose(vid, false, now),
		})
	}
}
