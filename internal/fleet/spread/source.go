package spread

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"cardamompass"
)

// source is what a Core knows about the store.
type source struct {
	lastCall uint64
	watch    uint64 // number of the running watch, 0 for none
	get      uint64 // number of the running get, 0 for none
	watchAt  time.Time
	getAt    time.Time
	started  time.Time     // of the running watch
	retry    time.Duration // of watches
	getRetry time.Duration
	answered bool // the store has answered a read once

	known    bool // revision and digest are those of the last answer
	revision int64
	hash     uint64
	digest   uint64 // of the document in the store, 0 when the key does not exist

	writing bool
	writeAt time.Time // zero while nothing is to be written
	wrote   time.Time // the last write
}

func (src *source) call() (num uint64) {
	src.lastCall++
	return src.lastCall
}

// stop forgets the running watch and what it said.
func (src *source) stop() {
	src.watch = 0
	src.known = false
	src.writeAt = time.Time{}
}

// Next returns the time at which the next Tick is due, the zero time if none is.
func (cor *Core[D]) Next() (due time.Time) {
	earliest := func(tim time.Time) {
		if !tim.IsZero() && (due.IsZero() || tim.Before(due)) {
			due = tim
		}
	}
	src := &cor.src
	if cor.rank >= 0 && src.watch == 0 {
		earliest(src.watchAt)
	}
	if cor.wantsGet() {
		earliest(src.getAt)
	}
	if cor.rank >= 0 && !src.writing {
		earliest(src.writeAt)
	}
	return due
}

// wantsGet reports whether this VM reads the store once because no peer has given it a document.
func (cor *Core[D]) wantsGet() bool {
	return cor.rank < 0 && cor.sum.Version == 0 && !cor.src.answered && cor.src.get == 0
}

func (cor *Core[D]) tick(now time.Time) {
	src := &cor.src
	if cor.rank >= 0 && src.watch == 0 && !src.watchAt.After(now) {
		src.watch = src.call()
		src.started = now
		eff := Watch{
			Call: src.watch,
			Wait: cor.cfg.WatchWait,
		}
		if src.known {
			eff.After = src.revision
		}
		cor.emit(eff)
	}
	if cor.wantsGet() && !src.getAt.After(now) {
		src.get = src.call()
		cor.emit(Get{
			Call: src.get,
		})
	}
	if cor.rank >= 0 && !src.writing && !src.writeAt.IsZero() && !src.writeAt.After(now) {
		src.writeAt = time.Time{}
		cor.writeBack(now)
	}
}

// read takes the answer to a watch or get. The content counts even when the call has been given up meanwhile, because
// a merge never moves back; the revision counts only for the running watch.
func (cor *Core[D]) read(evt ReadDone, now time.Time) {
	src := &cor.src
	watch := evt.Call == src.watch
	switch {
	case watch:
		src.watch = 0
	case evt.Call == src.get:
		src.get = 0
	}
	if evt.Failed {
		if watch {
			src.watchAt = now.Add(cor.backOff(&src.retry, maxWatchDelay))
		} else {
			src.getAt = now.Add(cor.backOff(&src.getRetry, maxGetDelay))
		}
		return
	}
	src.answered = true
	fresh := evt.Value.Revision != src.revision || !src.known
	usable := evt.Missing || cor.takeValue(evt.Value)
	if !watch {
		return
	}
	switch {
	case evt.Missing:
		src.known, src.revision, src.digest, src.hash = true, 0, 0, 0
		src.watchAt = now.Add(cor.jitter(missingDelay))
	case !usable, !fresh && now.Sub(src.started) < cor.cfg.WatchWait/2:
		src.known, src.revision = true, evt.Value.Revision
		src.watchAt = now.Add(cor.backOff(&src.retry, maxWatchDelay))
	default:
		src.known, src.revision = true, evt.Value.Revision
		src.retry = 0
		src.watchAt = now.Add(watchGap)
	}
	if usable {
		cor.planWrite(now)
	}
}

// takeValue merges a value of the store.
func (cor *Core[D]) takeValue(val cardamompass.Value) (ok bool) {
	hash := xxhash.Sum64(val.Data)
	if cor.src.hash == hash && cor.src.digest != 0 {
		return true
	}
	doc, err := cor.cfg.Codec.Decode(val.Data)
	if err != nil {
		cor.emit(Rejected{
			Source: "store",
			Err:    err,
		})
		return false
	}
	cor.src.hash, cor.src.digest = hash, doc.Digest()
	if adp, ok := any(cor.doc).(Adopter[D]); ok && cor.sum.Version > 0 {
		doc = adp.Adopt(doc)
	}
	cor.learn(doc)
	return true
}

// backOff returns the delay before the next call after a failure.
func (cor *Core[D]) backOff(delay *time.Duration, longest time.Duration) time.Duration {
	*delay = min(max(2**delay, retryDelay), longest)
	return cor.jitter(*delay)
}

// planWrite sets the time of a write if the store holds less than the document in force.
func (cor *Core[D]) planWrite(now time.Time) {
	src := &cor.src
	if cor.sum.Version == 0 || !src.known || src.digest == cor.sum.Digest {
		src.writeAt = time.Time{}
		return
	}
	if !src.writeAt.IsZero() || cor.rank < 0 {
		return
	}
	src.writeAt = now.Add(time.Duration(cor.rank)*cor.cfg.WriteDelay + cor.jitter(cor.cfg.WriteDelay)/2)
	if src.wrote.IsZero() {
		return
	}
	if least := src.wrote.Add(cor.jitter(cor.cfg.WriteInterval) + cor.cfg.WriteInterval/2); least.After(src.writeAt) {
		src.writeAt = least
	}
}

func (cor *Core[D]) writeBack(now time.Time) {
	src := &cor.src
	if !src.known || src.digest == cor.sum.Digest {
		return
	}
	data, err := cor.whole()
	if err == nil && len(data) > cardamompass.MaxValueBytes {
		err = errors.Errorf("document of %d bytes exceeds the store's limit", len(data))
	}
	if err != nil {
		cor.emit(Rejected{
			Source: "document",
			Err:    err,
		})
		return
	}
	src.writing = true
	src.wrote = now
	cor.emit(Put{
		Data:     data,
		Digest:   cor.sum.Digest,
		Revision: src.revision,
	})
}

// written takes the end of a write. After a failure the next answer of the watch tells whether the store still holds
// less.
func (cor *Core[D]) written(evt WriteDone, now time.Time) {
	src := &cor.src
	src.writing = false
	if src.known && evt.Revision > src.revision {
		src.revision, src.digest, src.hash = evt.Revision, evt.Digest, 0
	}
	if evt.Revision > 0 || !src.known {
		return
	}
	cor.planWrite(now)
}
