package member

import (
	"time"

	"cardamompass"
)

// mergeMessage merges the records of a message. Repair reports that a full exchange with the sender is needed.
func (mch *Machine) mergeMessage(msg Message, now time.Time, gossip bool) (repair bool) {
	from := msg.From.VM.ID
	repair = mch.merge(Update{
		Member: msg.From,
	}, now, gossip)
	mch.recordContact(from)
	for _, upd := range msg.Updates {
		mch.merge(upd, now, gossip)
	}
	if msg.Digest == mch.digest {
		mch.lastAgreement = now
		return repair
	}
	settled := msg.Settled && len(mch.queue) == 0
	return repair || settled || now.Sub(mch.lastAgreement) > maxDisagreement
}

func (mch *Machine) pingReceived(msg Message, now time.Time) {
	repair := mch.mergeMessage(msg, now, true)
	reply := mch.newMessage(msg.From.VM.ID, msg.Full, now)
	if rec := mch.records[msg.From.VM.ID]; rec != nil && rec.mbr.VM.Incarnation > msg.From.VM.Incarnation {
		// An earlier incarnation of the VM is still running. The record informs it that it is superseded.
		upd, _ := mch.updateOf(msg.From.VM.ID, now)
		reply.Updates = append(reply.Updates, upd)
	}
	mch.emit(Reply{
		Message: reply,
	})
	if repair && !msg.Full {
		mch.sync(msg.From, now)
	}
}

func (mch *Machine) relayReceived(req RelayRequest, now time.Time) {
	mch.mergeMessage(req.Message, now, true)
	mch.merge(Update{
		Member: req.Target,
	}, now, true)
	mch.emit(Reply{
		Message: mch.newMessage(req.Message.From.VM.ID, false, now),
	})
	mch.ping(probe{
		target: req.Target.VM.ID,
		inc:    req.Target.VM.Incarnation,
	}, Ping{
		Address: req.Target.VM.PeerAddress,
		Relay:   true,
		Message: mch.newMessage(req.Target.VM.ID, false, now),
	})
}

// ping emits a probe and registers it as running.
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
	mch.nextSync = now.Add(minSyncInterval)
	mch.ping(probe{
		target: mbr.VM.ID,
		inc:    mbr.VM.Incarnation,
	}, Ping{
		Address: mbr.VM.PeerAddress,
		Message: mch.newMessage(mbr.VM.ID, true, now),
	})
}

func (mch *Machine) probeAnswered(evt ProbeAnswered, now time.Time) {
	prb := mch.probes[evt.Probe]
	if prb == nil {
		return
	}
	if !prb.indirect && prb.target != "" && prb.target != evt.Message.From.VM.ID {
		// The address now belongs to another VM.
		mch.mergeMessage(evt.Message, now, true)
		mch.probeFailed(evt.Probe, now)
		return
	}
	prb.pending--
	if !prb.indirect || prb.pending <= 0 {
		delete(mch.probes, evt.Probe)
	}
	// Other indirect probes of the target may still fail; these failures must not lead to suspicion.
	prb.suspects = false
	if rec := mch.records[prb.target]; rec != nil && rec.mbr.VM.Incarnation == prb.inc {
		rec.probing = false
	}
	mch.recordContact(prb.target)
	before := mch.self
	// Members received on joining are already known to the other VMs, so their records are not queued.
	repair := mch.mergeMessage(evt.Message, now, !prb.join)
	switch {
	case mch.self != before:
		// The refutation must reach the sender before its suspicion timeout ends.
		mch.ping(probe{
			target: evt.Message.From.VM.ID,
			inc:    evt.Message.From.VM.Incarnation,
		}, Ping{
			Address: evt.Message.From.VM.PeerAddress,
			Message: mch.newMessage(evt.Message.From.VM.ID, false, now),
		})
	case repair && !evt.Message.Full:
		mch.sync(evt.Message.From, now)
	}
}

func (mch *Machine) probeFailed(pid uint64, now time.Time) {
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
	if rec == nil || rec.mbr.VM.Incarnation != prb.inc || !prb.suspects {
		return
	}
	if !prb.indirect && rec.mbr.Serving() && mch.probeIndirectly(pid, prb, rec, now) {
		return
	}
	rec.probing = false
	switch rec.mbr.State {
	case cardamompass.StateAlive:
		mch.setRecord(rec, rec.mbr.WithState(cardamompass.StateSuspect), now, now, true)
	case cardamompass.StateLeaving:
		if rec.deadline.IsZero() {
			rec.deadline = now.Add(mch.cfg.SuspicionTimeout)
			mch.suspects[prb.target] = rec
		}
	default:
		// The member is already suspected, is dead or has left.
	}
}

// probeIndirectly requests other members to probe a member that did not respond.
func (mch *Machine) probeIndirectly(pid uint64, prb *probe, rec *record, now time.Time) (sent bool) {
	vids := mch.pickAlive(relayCount, prb.target)
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
				Message: mch.newMessage(vid, false, now),
				Target:  rec.mbr,
			},
		})
	}
	return true
}

// pickAlive returns up to cnt random alive or leaving members other than except.
func (mch *Machine) pickAlive(cnt int, except cardamompass.VMID) (vids []cardamompass.VMID) {
	all := mch.sortedIDs(mch.records)
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
		for mch.probePos < len(mch.probeOrder) {
			vid := mch.probeOrder[mch.probePos]
			mch.probePos++
			rec := mch.records[vid]
			if rec == nil || !rec.mbr.Serving() || rec.probing {
				continue
			}
			rec.probing = true
			mch.ping(probe{
				target:   vid,
				inc:      rec.mbr.VM.Incarnation,
				suspects: true,
			}, Ping{
				Address: rec.mbr.VM.PeerAddress,
				Message: mch.newMessage(vid, false, now),
			})
			return
		}
		mch.reshuffle()
	}
}

func (mch *Machine) reshuffle() {
	mch.probeOrder = mch.probeOrder[:0]
	mch.probePos = 0
	for _, vid := range mch.sortedIDs(mch.records) {
		if mch.records[vid].mbr.Serving() {
			mch.probeOrder = append(mch.probeOrder, vid)
		}
	}
	mch.rng.Shuffle(len(mch.probeOrder), func(one, two int) {
		mch.probeOrder[one], mch.probeOrder[two] = mch.probeOrder[two], mch.probeOrder[one]
	})
}

// probeDead probes a random dead member every deadProbeInterval, so that the sides of a healed partition rejoin.
func (mch *Machine) probeDead(now time.Time) {
	if now.Before(mch.nextDeadProbe) {
		return
	}
	mch.nextDeadProbe = now.Add(deadProbeInterval)
	var dead []cardamompass.VMID
	for _, vid := range mch.sortedIDs(mch.records) {
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
		Message: mch.newMessage(vid, false, now),
	})
}

// probeAddress probes an address for which no member is known.
func (mch *Machine) probeAddress(address string, join bool, now time.Time) {
	mch.ping(probe{
		join: join,
	}, Ping{
		Address: address,
		Message: mch.newMessage("", true, now),
	})
}

// join probes all seeds while no other member serves, with exponential back-off and without a limit on the attempts.
func (mch *Machine) join(now time.Time) {
	wait := mch.joinDelay/2 + time.Duration(mch.rng.Int63n(int64(mch.joinDelay)))
	mch.nextProbe = now.Add(wait)
	mch.joinDelay = min(2*mch.joinDelay, maxJoinDelay)
	for _, address := range mch.cfg.Seeds {
		if address != mch.cfg.Self.PeerAddress {
			mch.probeAddress(address, true, now)
		}
	}
	mch.probeDead(now)
}

// probeSeed probes the next seed that no serving member uses. The seeds take turns, so that each is probed within a bounded time.
func (mch *Machine) probeSeed(now time.Time) {
	if now.Before(mch.nextSeedProbe) {
		return
	}
	mch.nextSeedProbe = now.Add(seedProbeInterval)
	used := map[string]bool{
		mch.cfg.Self.PeerAddress: true,
	}
	for _, rec := range mch.records {
		if rec.mbr.Serving() {
			used[rec.mbr.VM.PeerAddress] = true
		}
	}
	for range mch.cfg.Seeds {
		address := mch.cfg.Seeds[mch.seedPos%len(mch.cfg.Seeds)]
		mch.seedPos++
		if !used[address] {
			mch.probeAddress(address, false, now)
			return
		}
	}
}

// vmsListed probes listed VMs that are not known to be serving.
func (mch *Machine) vmsListed(vms []cardamompass.ListedVM, now time.Time) {
	if mch.self.State == cardamompass.StateLeft {
		return
	}
	sent := 0
	for _, num := range mch.rng.Perm(len(vms)) {
		vm := vms[num]
		rec := mch.records[cardamompass.VMID(vm.Name)]
		known := vm.Name == string(mch.cfg.Self.ID) || rec != nil && rec.mbr.Serving()
		last, tried := mch.listProbes[vm.Name]
		if known || tried && now.Sub(last) < minSyncInterval || sent == maxListProbes {
			continue
		}
		sent++
		mch.listProbes[vm.Name] = now
		mch.probeAddress(vm.Address, mch.serving == 0, now)
	}
}

func (mch *Machine) leaveRequested(evt LeaveRequested, now time.Time) {
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
	// A record with another successor but the same state reliably supersedes the former one only with a higher counter.
	if next.State == mch.self.State {
		next.Refutation++
	}
	mch.setSelf(next)
	if !evt.Final {
		mch.nextProbe = now
		return
	}
	vids := mch.pickAlive(leaveProbeCount, evt.Successor)
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
			Message: mch.newMessage(vid, false, now),
		})
	}
}
