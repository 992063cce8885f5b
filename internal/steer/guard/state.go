package guard

import (
	"bytes"
	"slices"
	"time"

	"cardamompass"
)

// state decides from events and the times that come with them. It takes no lock.
type state struct {
	cfg  Config
	seq  uint64
	recs map[Key]*record
	// runs holds the runs in flight, and for a short time those that ended without an answer.
	runs map[cardamompass.TargetID][]run
	// copies counts the runs in flight of each content.
	copies map[Key]int
}

// record is a suspect or a blocked content.
type record struct {
	marks   []SuspicionID
	blocked bool
	until   time.Time
}

// run is one request on one target.
type run struct {
	key   Key
	begun time.Time
	// suspect is set when the content was a suspect at its admission, so that a crash is its second one.
	suspect bool
	// ended is the end of a run without an answer; zero while it is in flight.
	ended time.Time
}

func newState(cfg Config) (sta state) {
	return state{
		cfg:    cfg,
		recs:   make(map[Key]*record),
		runs:   make(map[cardamompass.TargetID][]run),
		copies: make(map[Key]int),
	}
}

// live returns the record of the content unless it has expired.
func (sta *state) live(key Key, now time.Time) (rec *record) {
	rec = sta.recs[key]
	if rec == nil || now.Before(rec.until) {
		return rec
	}
	delete(sta.recs, key)
	return nil
}

func (sta *state) admit(key Key, tid cardamompass.TargetID, now time.Time) (ver Verdict) {
	rec := sta.live(key, now)
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
	case sta.suspectOn(tid, now):
		return Verdict{
			Action: WaitOtherSuspect,
			Reason: "content is suspected of crashing its target and another suspect runs on the target",
		}
	}
	sta.copies[key]++
	sta.runs[tid] = append(sta.runs[tid], run{
		key:     key,
		begun:   now,
		suspect: rec != nil,
	})
	return Verdict{
		Action:  Run,
		Suspect: rec != nil,
	}
}

// suspectOn reports whether a suspect is in flight on the target, including contents that became suspects during their
// run.
func (sta *state) suspectOn(tid cardamompass.TargetID, now time.Time) (yes bool) {
	return slices.ContainsFunc(sta.runs[tid], func(one run) bool {
		return one.ended.IsZero() && (one.suspect || sta.live(one.key, now) != nil)
	})
}

// find returns the position of the oldest run in flight of the content on the target, or -1.
func (sta *state) find(key Key, tid cardamompass.TargetID) (pos int) {
	return slices.IndexFunc(sta.runs[tid], func(one run) bool { return one.key == key && one.ended.IsZero() })
}

func (sta *state) succeeded(key Key, tid cardamompass.TargetID, now time.Time) (rep Report) {
	pos := sta.find(key, tid)
	if pos < 0 {
		// A crash has already taken the run. The answer came before it, but the crash may still be its effect.
		return Report{}
	}
	sta.release(key)
	sta.setRuns(tid, slices.Delete(sta.runs[tid], pos, pos+1))
	rec := sta.live(key, now)
	if rec == nil || rec.blocked {
		return Report{}
	}
	delete(sta.recs, key)
	return Report{
		Clears: []Clear{{
			Key:   key,
			Marks: rec.marks,
		}},
	}
}

func (sta *state) ended(key Key, tid cardamompass.TargetID, now time.Time) {
	pos := sta.find(key, tid)
	if pos < 0 {
		return
	}
	sta.release(key)
	sta.runs[tid][pos].ended = now
	sta.setRuns(tid, slices.DeleteFunc(sta.runs[tid], func(one run) bool {
		return !one.ended.IsZero() && now.Sub(one.ended) > linger
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
	sta.release(key)
	sta.setRuns(tid, slices.Delete(sta.runs[tid], pos, pos+1))
}

func (sta *state) release(key Key) {
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
		if one.begun.After(broke) {
			left = append(left, one)
			continue
		}
		if one.ended.IsZero() {
			sta.release(one.key)
		} else if broke.Sub(one.ended) > linger {
			continue
		}
		sta.accuse(one, tid, now, &rep)
	}
	sta.setRuns(tid, left)
	return rep
}

// accuse blocks a content that ran as a suspect, and makes any other content a suspect.
func (sta *state) accuse(one run, tid cardamompass.TargetID, now time.Time, rep *Report) {
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
	sta.suspect(one.key, mrk, now.Add(sta.cfg.TTL), now)
	rep.Suspicions = append(rep.Suspicions, Suspicion{
		Key:    one.key,
		Mark:   mrk,
		Target: tid,
		Left:   sta.cfg.TTL,
	})
}

func (sta *state) suspect(key Key, mrk SuspicionID, until, now time.Time) {
	rec := sta.ensure(key, now)
	if rec.blocked || slices.Contains(rec.marks, mrk) {
		return
	}
	if len(rec.marks) == maxMarks {
		rec.marks = slices.Delete(rec.marks, 0, 1)
	}
	// The slice may be in a report already.
	rec.marks = append(slices.Clip(rec.marks), mrk)
	rec.until = latest(rec.until, until)
}

func (sta *state) block(key Key, until, now time.Time) {
	rec := sta.ensure(key, now)
	if !rec.blocked {
		rec.blocked, rec.until = true, until
		return
	}
	rec.until = latest(rec.until, until)
}

// ensure returns the record of the content, and makes room for it if it is new.
func (sta *state) ensure(key Key, now time.Time) (rec *record) {
	if rec = sta.live(key, now); rec != nil {
		return rec
	}
	if len(sta.recs) >= sta.cfg.MaxRecords {
		sta.evict(now)
	}
	rec = &record{}
	sta.recs[key] = rec
	return rec
}

// evict removes all expired records, or else one: the suspect that ends first, or the block that ends first.
func (sta *state) evict(now time.Time) {
	var worst Key
	var found *record
	expired := false
	for key, rec := range sta.recs {
		if !now.Before(rec.until) {
			delete(sta.recs, key)
			expired = true
			continue
		}
		if found == nil || before(rec, found) {
			worst, found = key, rec
		}
	}
	if !expired {
		delete(sta.recs, worst)
	}
}

// before reports whether one is given up sooner than two.
func before(one, two *record) (yes bool) {
	if one.blocked != two.blocked {
		return two.blocked
	}
	return one.until.Before(two.until)
}

func (sta *state) merge(rep Report, now time.Time) {
	for _, sus := range rep.Suspicions {
		sta.suspect(sus.Key, sus.Mark, now.Add(min(sus.Left, sta.cfg.TTL)), now)
	}
	for _, blk := range rep.Blocks {
		sta.block(blk.Key, now.Add(min(blk.Left, sta.cfg.TTL)), now)
	}
	for _, clr := range rep.Clears {
		sta.clear(clr, now)
	}
}

// clear ends the suspicions that the clearing VM knew. A later crash keeps the content a suspect.
func (sta *state) clear(clr Clear, now time.Time) {
	rec := sta.live(clr.Key, now)
	if rec == nil || rec.blocked {
		return
	}
	marks := make([]SuspicionID, 0, len(rec.marks))
	for _, mrk := range rec.marks {
		if !slices.Contains(clr.Marks, mrk) {
			marks = append(marks, mrk)
		}
	}
	rec.marks = marks
	if len(marks) == 0 {
		delete(sta.recs, clr.Key)
	}
}

func (sta *state) entries(now time.Time) (ents []Entry) {
	for key, rec := range sta.recs {
		if !now.Before(rec.until) {
			continue
		}
		ents = append(ents, Entry{
			Key:        key,
			Blocked:    rec.blocked,
			Until:      rec.until,
			Suspicions: len(rec.marks),
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
