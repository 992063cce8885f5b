package member

import (
	"math"
	"slices"
	"time"

	"cardamompass"
)

// merge takes over a record if it supersedes the known one. Gossip is set for records that are passed on.
// Revived reports that a member that was held dead serves again.
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
		mch.set(rec, mbr, now, since, gossip)
		return false
	}
	if !Supersedes(mbr, rec.mbr) {
		return false
	}
	revived = rec.mbr.State == cardamompass.StateDead && mbr.Serving()
	mch.set(rec, mbr, now, since, gossip)
	return revived
}

// set replaces the record of another member.
func (mch *Machine) set(rec *record, mbr cardamompass.Member, now, since time.Time, gossip bool) {
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
	delete(mch.suspect, vid)
	if mbr.State == cardamompass.StateSuspect {
		rec.deadline = now.Add(mch.cfg.SuspicionTimeout)
		mch.suspect[vid] = rec
	}
	mch.digest ^= viewHash(mbr)
	switch serves := mbr.Serving(); {
	case serves && !was:
		mch.serving++
		mch.insert(vid)
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

// refute answers a record about this VM that others could take for its state.
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

// contact notes that a member itself has answered or sent a probe.
func (mch *Machine) contact(vid cardamompass.VMID) {
	rec := mch.records[vid]
	if rec != nil && rec.mbr.State == cardamompass.StateLeaving && !rec.deadline.IsZero() {
		rec.deadline = time.Time{}
		delete(mch.suspect, vid)
	}
}

// insert puts a member at a random place among those that are still to be probed in this round.
func (mch *Machine) insert(vid cardamompass.VMID) {
	mch.ring = append(mch.ring, vid)
	last := len(mch.ring) - 1
	pos := mch.ringPos + mch.rng.Intn(last-mch.ringPos+1)
	mch.ring[pos], mch.ring[last] = mch.ring[last], mch.ring[pos]
}

// enqueue passes the record of a member on, from the first time again if it is queued already.
func (mch *Machine) enqueue(vid cardamompass.VMID) {
	for num := range mch.queue {
		if mch.queue[num].vid == vid {
			mch.queue = slices.Delete(mch.queue, num, num+1)
			break
		}
	}
	// The queue is ordered by the number of transmissions, so a new record goes first.
	mch.queue = slices.Insert(mch.queue, 0, queued{
		vid: vid,
	})
}

// transmissions is the number of times that a record is passed on.
func (mch *Machine) transmissions() int {
	return int(math.Ceil(transmitFactor * math.Log(float64(mch.serving+2))))
}

// next takes the records for one message from the queue.
func (mch *Machine) next(upds []Update, now time.Time) []Update {
	cnt := min(maxUpdates, len(mch.queue))
	limit := mch.transmissions()
	taken := slices.Clone(mch.queue[:cnt])
	mch.queue = mch.queue[cnt:]
	for _, que := range taken {
		if upd, ok := mch.update(que.vid, now); ok {
			upds = append(upds, upd)
		}
		que.sent++
		if que.sent >= limit {
			continue
		}
		pos, _ := slices.BinarySearchFunc(mch.queue, que.sent, func(item queued, sent int) int {
			if item.sent <= sent {
				return -1
			}
			return 1
		})
		mch.queue = slices.Insert(mch.queue, pos, que)
	}
	return upds
}

func (mch *Machine) update(vid cardamompass.VMID, now time.Time) (upd Update, ok bool) {
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

// compose makes a message for a member; vid is empty while the receiver is unknown.
func (mch *Machine) compose(vid cardamompass.VMID, full bool, now time.Time) (msg Message) {
	msg = Message{
		From:    mch.self,
		Full:    full,
		Digest:  mch.digest,
		Settled: len(mch.queue) == 0,
	}
	if full {
		for _, other := range mch.sorted(mch.records) {
			upd, _ := mch.update(other, now)
			msg.Updates = append(msg.Updates, upd)
		}
		return msg
	}
	// The receiver must learn what this VM believes of it before it can refute it.
	if rec := mch.records[vid]; rec != nil && rec.mbr.State != cardamompass.StateAlive {
		upd, _ := mch.update(vid, now)
		msg.Updates = append(msg.Updates, upd)
	}
	msg.Updates = mch.next(msg.Updates, now)
	return msg
}
