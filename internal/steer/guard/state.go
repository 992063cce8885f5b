package guard

import (
	"bytes"
	"slices"
	"time"

	"cardamompass"
)

// state is the state of a Guard. Its decisions depend only on events and their times. It takes no lock.
type state struct {
	cfg     Config
	seq     uint64
	records map[Key]*record
	// runs holds the runs in flight, and for crashGrace those that ended without a response.
	runs map[cardamompass.TargetID][]run
	// copies counts the runs in flight of each content.
	copies map[Key]int
}

// record is a suspect or a blocked content.
type record struct {
	suspicions []SuspicionID
	blocked    bool
	until      time.Time
}

// run is one request on one target.
type run struct {
	key   Key
	start time.Time
	// suspect is set when the content was a suspect at its admission, so that a crash of the target is its second one.
	suspect bool
	// ended is the end time of a run without a response; zero while it is in flight.
	ended time.Time
}

func newState(cfg Config) (sta state) {
	return state{
		cfg:     cfg,
		records: make(map[Key]*record),
		runs:    make(map[cardamompass.TargetID][]run),
		copies:  make(map[Key]int),
	}
}

// record returns the record of the content, or nil if there is none or it has expired.
func (sta *state) record(key Key, now time.Time) (rec *record) {
	rec = sta.records[key]
	if rec == nil || now.Before(rec.until) {
		return rec
	}
	delete(sta.records, key)
	return nil
}

func (sta *state) admit(key Key, tid cardamompass.TargetID, now time.Time) (ver Verdict) {
	rec := sta.record(key, now)
	switch {
	case rec == nil:
	case rec.blocked:
		return Verdict{
			Action: Refuse,
			Reason: "content crashed two targets",
			Until:  rec.until,
		}
	case sta.copies[key] > 0:
		return Verdict{
			Action: WaitCopy,
			Reason: "content is suspected of crashing its target and another copy of it runs",
		}
	case sta.hasSuspect(tid, now):
		return Verdict{
			Action: WaitOtherSuspect,
			Reason: "content is suspected of crashing its target and another suspect runs on the target",
		}
	}
	sta.copies[key]++
	sta.runs[tid] = append(sta.runs[tid], run{
		key:     key,
		start:   now,
		suspect: rec != nil,
	})
	return Verdict{
		Action:  Run,
		Suspect: rec != nil,
	}
}

// hasSuspect reports whether a suspect is in flight on the target, including contents that became suspects during their
// run.
func (sta *state) hasSuspect(tid cardamompass.TargetID, now time.Time) (yes bool) {
	return slices.ContainsFunc(sta.runs[tid], func(one run) bool {
		return one.ended.IsZero() && (one.suspect || sta.record(one.key, now) != nil)
	})
}

// oldestRun returns the position of the oldest run in flight of the content on the target, or -1.
func (sta *state) oldestRun(key Key, tid cardamompass.TargetID) (pos int) {
	return slices.IndexFunc(sta.runs[tid], func(one run) bool { return one.key == key && one.ended.IsZero() })
}

func (sta *state) succeeded(key Key, tid cardamompass.TargetID, now time.Time) (rep Report) {
	pos := sta.oldestRun(key, tid)
	if pos < 0 {
		// The run was removed when the target crashed. The response came before the crash, but the run may still be its
		// cause, so the suspicion stays.
		return Report{}
	}
	sta.removeCopy(key)
	sta.setRuns(tid, slices.Delete(sta.runs[tid], pos, pos+1))
	rec := sta.record(key, now)
	if rec == nil || rec.blocked {
		return Report{}
	}
	delete(sta.records, key)
	return Report{
		Clears: []Clear{{
			Key:   key,
			Marks: rec.suspicions,
		}},
	}
}

func (sta *state) ended(key Key, tid cardamompass.TargetID, now time.Time) {
	pos := sta.oldestRun(key, tid)
	if pos < 0 {
		return
	}
	sta.removeCopy(key)
	sta.runs[tid][pos].ended = now
	sta.setRuns(tid, slices.DeleteFunc(sta.runs[tid], func(one run) bool {
		return !one.ended.IsZero() && now.Sub(one.ended) > crashGrace
	}))
}

func (sta *state) withdrawn(key Key, tid cardamompass.TargetID) {
	pos := -1
	for num, one := range sta.runs[tid] {
		if one.key == key && one.ended.IsZero() {
			pos = num // the newest one, since the older ones may have been sent
		}
	}
	if pos < 0 {
		return
	}
	sta.removeCopy(key)
	sta.setRuns(tid, slices.Delete(sta.runs[tid], pos, pos+1))
}

func (sta *state) removeCopy(key Key) {
	if sta.copies[key]--; sta.copies[key] <= 0 {
		delete(sta.copies, key)
	}
}

func (sta *state) setRuns(tid cardamompass.TargetID, runs []run) {
	if len(runs) == 0 {
		delete(sta.runs, tid)
		return
	}
	sta.runs[tid] = runs
}

func (sta *state) crashed(tid cardamompass.TargetID, broke, now time.Time) (rep Report) {
	left := make([]run, 0, len(sta.runs[tid]))
	for _, one := range sta.runs[tid] {
		if one.start.After(broke) {
			left = append(left, one)
			continue
		}
		if one.ended.IsZero() {
			sta.removeCopy(one.key)
		} else if broke.Sub(one.ended) > crashGrace {
			continue
		}
		sta.recordCrash(one, tid, now, &rep)
	}
	sta.setRuns(tid, left)
	return rep
}

// recordCrash blocks the content of a run that was admitted as a suspect, and makes any other content a suspect.
func (sta *state) recordCrash(one run, tid cardamompass.TargetID, now time.Time, rep *Report) {
	if one.suspect {
		sta.block(one.key, now.Add(sta.cfg.TTL), now)
		rep.Blocks = append(rep.Blocks, Block{
			Key:  one.key,
			Left: sta.cfg.TTL,
		})
		return
	}
	sta.seq++
	mrk := SuspicionID{
		VM:          sta.cfg.Self,
		Incarnation: sta.cfg.Incarnation,
		Seq:         sta.seq,
	}
	sta.addSuspicion(one.key, mrk, now.Add(sta.cfg.TTL), now)
	rep.Suspicions = append(rep.Suspicions, Suspicion{
		Key:    one.key,
		Mark:   mrk,
		Target: tid,
		Left:   sta.cfg.TTL,
	})
}

func (sta *state) addSuspicion(key Key, mrk SuspicionID, until, now time.Time) {
	rec := sta.recordOrNew(key, now)
	if rec.blocked || slices.Contains(rec.suspicions, mrk) {
		return
	}
	if len(rec.suspicions) == maxSuspicions {
		rec.suspicions = slices.Delete(rec.suspicions, 0, 1)
	}
	// Clip forces a copy, because the slice may already be part of a report.
	rec.suspicions = append(slices.Clip(rec.suspicions), mrk)
	rec.until = latest(rec.until, until)
}

func (sta *state) block(key Key, until, now time.Time) {
	rec := sta.recordOrNew(key, now)
	if !rec.blocked {
		rec.blocked, rec.until = true, until
		return
	}
	rec.until = latest(rec.until, until)
}

// recordOrNew returns the record of the content. If there is none, it adds one and evicts another if necessary.
func (sta *state) recordOrNew(key Key, now time.Time) (rec *record) {
	if rec = sta.record(key, now); rec != nil {
		return rec
	}
	if len(sta.records) >= sta.cfg.MaxRecords {
		sta.evict(now)
	}
	rec = &record{}
	sta.records[key] = rec
	return rec
}

// evict removes all expired records. If there are none, it removes the suspect that ends first, or else the block that ends
// first.
func (sta *state) evict(now time.Time) {
	var victim Key
	var found *record
	expired := false
	for key, rec := range sta.records {
		if !now.Before(rec.until) {
			delete(sta.records, key)
			expired = true
			continue
		}
		if found == nil || evictedBefore(rec, found) {
			victim, found = key, rec
		}
	}
	if !expired {
		delete(sta.records, victim)
	}
}

// evictedBefore reports whether one is evicted before two.
func evictedBefore(one, two *record) (yes bool) {
	if one.blocked != two.blocked {
		return two.blocked
	}
	return one.until.Before(two.until)
}

func (sta *state) merge(rep Report, now time.Time) {
	for _, sus := range rep.Suspicions {
		sta.addSuspicion(sus.Key, sus.Mark, now.Add(min(sus.Left, sta.cfg.TTL)), now)
	}
	for _, blk := range rep.Blocks {
		sta.block(blk.Key, now.Add(min(blk.Left, sta.cfg.TTL)), now)
	}
	for _, clr := range rep.Clears {
		sta.clear(clr, now)
	}
}

// clear ends the suspicions that the report lists. The content stays a suspect if others remain, as after a later crash.
func (sta *state) clear(clr Clear, now time.Time) {
	rec := sta.record(clr.Key, now)
	if rec == nil || rec.blocked {
		return
	}
	suspicions := make([]SuspicionID, 0, len(rec.suspicions))
	for _, mrk := range rec.suspicions {
		if !slices.Contains(clr.Marks, mrk) {
			suspicions = append(suspicions, mrk)
		}
	}
	rec.suspicions = suspicions
	if len(suspicions) == 0 {
		delete(sta.records, clr.Key)
	}
}

func (sta *state) entries(now time.Time) (ents []Entry) {
	for key, rec := range sta.records {
		if !now.Before(rec.until) {
			continue
		}
		ents = append(ents, Entry{
			Key:        key,
			Blocked:    rec.blocked,
			Until:      rec.until,
			Suspicions: len(rec.suspicions),
		})
	}
	slices.SortFunc(ents, func(one, two Entry) int { return bytes.Compare(one.Key[:], two.Key[:]) })
	return ents
}

func latest(one, two time.Time) (tim time.Time) {
	if one.After(two) {
		return one
	}
	return two
}
