package member

import (
	"math"
	"slices"
	"time"

	"cardamompass"
)

// merge stores a record if it supersedes the known one. If gossip is set, the record is queued for sending. Revived
// reports that a member that was declared dead serves again.
func (mch *Machine) merge(upd Update, now time.Time, gossip bool) (revived bool) {
	mbr := upd.Member
	if mbr.VM.ID == mch.cfg.Self.ID {
		mch.refute(mbr)
		return false
	}
	since := now
	if ended(mbr) {
		since = now.Add(-time.Duration(upd.AgeSeconds) * time.Second)
	}
	rec := mch.records[mbr.VM.ID]
	if rec == nil {
		if ended(mbr) && now.Sub(since) >= mch.cfg.Retention || mbr.VM.ID == "" {
			return false
		}
		rec = &record{}
		mch.records[mbr.VM.ID] = rec
		mch.setRecord(rec, mbr, now, since, gossip)
		return false
	}
	if !Supersedes(mbr, rec.mbr) {
		return false
	}
	revived = rec.mbr.State == cardamompass.StateDead && mbr.Serving()
	mch.setRecord(rec, mbr, now, since, gossip)
	return revived
}

// setRecord replaces the record of another member.
func (mch *Machine) setRecord(rec *record, mbr cardamompass.Member, now, since time.Time, gossip bool) {
	vid := mbr.VM.ID
	known := rec.mbr.VM.ID != ""
	was := known && rec.mbr.Serving()
	if known {
		mch.digest ^= viewHash(rec.mbr)
	}
	if rec.mbr.VM.Incarnation != mbr.VM.Incarnation {
		rec.probing = false
	}
	rec.mbr = mbr
	rec.since = since
	rec.deadline = time.Time{}
	delete(mch.suspects, vid)
	if mbr.State == cardamompass.StateSuspect {
		rec.deadline = now.Add(mch.cfg.SuspicionTimeout)
		mch.suspects[vid] = rec
	}
	mch.digest ^= viewHash(mbr)
	switch serves := mbr.Serving(); {
	case serves && !was:
		mch.serving++
		mch.insertRandom(vid)
	case !serves && was:
		mch.serving--
	}
	if gossip {
		mch.enqueue(vid)
	}
	mch.emit(Changed{
		Member: mbr,
	})
}

// refute handles a received record about this VM. It refutes a record that supersedes this VM's own one.
func (mch *Machine) refute(mbr cardamompass.Member) {
	if mbr.VM.Incarnation > mch.self.VM.Incarnation {
		mch.emit(Superseded{
			By: mbr,
		})
		return
	}
	if !Supersedes(mbr, mch.self) || mbr.State == cardamompass.StateLeft {
		return
	}
	next := mch.self
	next.Refutation = mbr.Refutation + 1
	mch.setSelf(next)
}

func (mch *Machine) setSelf(mbr cardamompass.Member) {
	mch.digest ^= viewHash(mch.self) ^ viewHash(mbr)
	mch.self = mbr
	mch.enqueue(mbr.VM.ID)
	mch.emit(Changed{
		Member: mbr,
	})
}

// recordContact is called when a member has sent a probe or replied to one. It ends the suspicion of a leaving member.
func (mch *Machine) recordContact(vid cardamompass.VMID) {
	rec := mch.records[vid]
	if rec != nil && rec.mbr.State == cardamompass.StateLeaving && !rec.deadline.IsZero() {
		rec.deadline = time.Time{}
		delete(mch.suspects, vid)
	}
}

// insertRandom inserts a member at a random position among those not yet probed in this round.
func (mch *Machine) insertRandom(vid cardamompass.VMID) {
	mch.probeOrder = append(mch.probeOrder, vid)
	last := len(mch.probeOrder) - 1
	pos := mch.probePos + mch.rng.Intn(last-mch.probePos+1)
	mch.probeOrder[pos], mch.probeOrder[last] = mch.probeOrder[last], mch.probeOrder[pos]
}

// enqueue queues the record of a member for sending. If it is already queued, its transmission count restarts at 0.
func (mch *Machine) enqueue(vid cardamompass.VMID) {
	for num := range mch.queue {
		if mch.queue[num].vid == vid {
			mch.queue = slices.Delete(mch.queue, num, num+1)
			break
		}
	}
	// The queue is ordered by the number of transmissions, so a new record goes to the front.
	mch.queue = slices.Insert(mch.queue, 0, queuedUpdate{
		vid: vid,
	})
}

// transmissions returns the number of times that a record is sent.
func (mch *Machine) transmissions() int {
	return int(math.Ceil(transmitFactor * math.Log(float64(mch.serving+2))))
}

// takeUpdates appends the queued records for one message to upds.
func (mch *Machine) takeUpdates(upds []Update, now time.Time) []Update {
	cnt := min(maxUpdates, len(mch.queue))
	limit := mch.transmissions()
	taken := slices.Clone(mch.queue[:cnt])
	mch.queue = mch.queue[cnt:]
	for _, que := range taken {
		if upd, ok := mch.updateOf(que.vid, now); ok {
			upds = append(upds, upd)
		}
		que.sent++
		if que.sent >= limit {
			continue
		}
		pos, _ := slices.BinarySearchFunc(mch.queue, que.sent, func(item queuedUpdate, sent int) int {
			if item.sent <= sent {
				return -1
			}
			return 1
		})
		mch.queue = slices.Insert(mch.queue, pos, que)
	}
	return upds
}

func (mch *Machine) updateOf(vid cardamompass.VMID, now time.Time) (upd Update, ok bool) {
	if vid == mch.cfg.Self.ID {
		return Update{
			Member: mch.self,
		}, true
	}
	rec := mch.records[vid]
	if rec == nil {
		return Update{}, false
	}
	upd.Member = rec.mbr
	if ended(rec.mbr) {
		upd.AgeSeconds = ageSeconds(rec.since, now)
	}
	return upd, true
}

// newMessage returns a message to member vid, which is empty while the receiver is unknown.
func (mch *Machine) newMessage(vid cardamompass.VMID, full bool, now time.Time) (msg Message) {
	msg = Message{
		From:    mch.self,
		Full:    full,
		Digest:  mch.digest,
		Settled: len(mch.queue) == 0,
	}
	if full {
		for _, other := range mch.sortedIDs(mch.records) {
			upd, _ := mch.updateOf(other, now)
			msg.Updates = append(msg.Updates, upd)
		}
		return msg
	}
	// The receiver can refute this VM's record of it only after receiving the record.
	if rec := mch.records[vid]; rec != nil && rec.mbr.State != cardamompass.StateAlive {
		upd, _ := mch.updateOf(vid, now)
		msg.Updates = append(msg.Updates, upd)
	}
	msg.Updates = mch.takeUpdates(msg.Updates, now)
	return msg
}
