package spread

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"cardamompass"
)

// storeState is a Core's state of the calls to the store and of the document in it.
type storeState struct {
	lastCall     uint64
	watch        uint64 // number of the running watch, 0 if none
	get          uint64 // number of the running get, 0 if none
	watchAt      time.Time
	getAt        time.Time
	watchStart   time.Time // start of the running watch
	watchBackOff time.Duration
	getBackOff   time.Duration
	answered     bool // a read of the store has succeeded

	known    bool // revision and digest are those of the value in the store
	revision int64
	dataHash uint64
	digest   uint64 // digest of the document in the store, 0 if the key does not exist

	writing   bool
	writeAt   time.Time // zero while no write is scheduled
	lastWrite time.Time
}

func (sst *storeState) nextCall() (num uint64) {
	sst.lastCall++
	return sst.lastCall
}

// reset discards the running watch, its result and a scheduled write.
func (sst *storeState) reset() {
	sst.watch = 0
	sst.known = false
	sst.writeAt = time.Time{}
}

// Next returns the time at which the next Tick is due, the zero time if none is.
func (cor *Core[D]) Next() (due time.Time) {
	earliest := func(tim time.Time) {
		if !tim.IsZero() && (due.IsZero() || tim.Before(due)) {
			due = tim
		}
	}
	sst := &cor.store
	if cor.watcherRank >= 0 && sst.watch == 0 {
		earliest(sst.watchAt)
	}
	if cor.needsGet() {
		earliest(sst.getAt)
	}
	if cor.watcherRank >= 0 && !sst.writing {
		earliest(sst.writeAt)
	}
	return due
}

// needsGet reports whether this VM, if it is not a watcher, has to read the store because it has no document yet. It reads
// the store at most once successfully.
func (cor *Core[D]) needsGet() bool {
	return cor.watcherRank < 0 && cor.sum.Version == 0 && !cor.store.answered && cor.store.get == 0
}

func (cor *Core[D]) tick(now time.Time) {
	sst := &cor.store
	if cor.watcherRank >= 0 && sst.watch == 0 && !sst.watchAt.After(now) {
		sst.watch = sst.nextCall()
		sst.watchStart = now
		eff := Watch{
			Call: sst.watch,
			Wait: cor.cfg.WatchWait,
		}
		if sst.known {
			eff.After = sst.revision
		}
		cor.emit(eff)
	}
	if cor.needsGet() && !sst.getAt.After(now) {
		sst.get = sst.nextCall()
		cor.emit(Get{
			Call: sst.get,
		})
	}
	if cor.watcherRank >= 0 && !sst.writing && !sst.writeAt.IsZero() && !sst.writeAt.After(now) {
		sst.writeAt = time.Time{}
		cor.writeBack(now)
	}
}

// readDone handles the end of a watch or get. The value is merged even if the call has been cancelled in the meantime,
// because a merge never reverts the document; the revision is used only for the running watch.
func (cor *Core[D]) readDone(evt ReadDone, now time.Time) {
	sst := &cor.store
	watch := evt.Call == sst.watch
	switch {
	case watch:
		sst.watch = 0
	case evt.Call == sst.get:
		sst.get = 0
	}
	if evt.Failed {
		if watch {
			sst.watchAt = now.Add(cor.backOff(&sst.watchBackOff, maxWatchDelay))
		} else {
			sst.getAt = now.Add(cor.backOff(&sst.getBackOff, maxGetDelay))
		}
		return
	}
	sst.answered = true
	fresh := evt.Value.Revision != sst.revision || !sst.known
	usable := evt.Missing || cor.mergeValue(evt.Value)
	if !watch {
		return
	}
	switch {
	case evt.Missing:
		sst.known, sst.revision, sst.digest, sst.dataHash = true, 0, 0, 0
		sst.watchAt = now.Add(cor.jitter(missingKeyDelay))
	case !usable, !fresh && now.Sub(sst.watchStart) < cor.cfg.WatchWait/2:
		sst.known, sst.revision = true, evt.Value.Revision
		sst.watchAt = now.Add(cor.backOff(&sst.watchBackOff, maxWatchDelay))
	default:
		sst.known, sst.revision = true, evt.Value.Revision
		sst.watchBackOff = 0
		sst.watchAt = now.Add(minWatchGap)
	}
	if usable {
		cor.scheduleWrite(now)
	}
}

// mergeValue merges a value read from the store.
func (cor *Core[D]) mergeValue(val cardamompass.Value) (ok bool) {
	hash := xxhash.Sum64(val.Data)
	if cor.store.dataHash == hash && cor.store.digest != 0 {
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
	cor.store.dataHash, cor.store.digest = hash, doc.Digest()
	if rbs, ok := any(cor.doc).(Rebaser[D]); ok && cor.sum.Version > 0 {
		doc = rbs.Rebase(doc)
	}
	cor.mergeDoc(doc)
	return true
}

// backOff returns the delay before the next call after a failure.
func (cor *Core[D]) backOff(delay *time.Duration, longest time.Duration) time.Duration {
	*delay = min(max(2**delay, retryDelay), longest)
	return cor.jitter(*delay)
}

// scheduleWrite schedules a write if the document in the store differs from the active document.
func (cor *Core[D]) scheduleWrite(now time.Time) {
	sst := &cor.store
	if cor.sum.Version == 0 || !sst.known || sst.digest == cor.sum.Digest {
		sst.writeAt = time.Time{}
		return
	}
	if !sst.writeAt.IsZero() || cor.watcherRank < 0 {
		return
	}
	sst.writeAt = now.Add(time.Duration(cor.watcherRank)*cor.cfg.WriteDelay + cor.jitter(cor.cfg.WriteDelay)/2)
	if sst.lastWrite.IsZero() {
		return
	}
	if least := sst.lastWrite.Add(cor.jitter(cor.cfg.WriteInterval) + cor.cfg.WriteInterval/2); least.After(sst.writeAt) {
		sst.writeAt = least
	}
}

func (cor *Core[D]) writeBack(now time.Time) {
	sst := &cor.store
	if !sst.known || sst.digest == cor.sum.Digest {
		return
	}
	data, err := cor.encodedDoc()
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
	sst.writing = true
	sst.lastWrite = now
	cor.emit(Put{
		Data:     data,
		Digest:   cor.sum.Digest,
		Revision: sst.revision,
	})
}

// writeDone handles the end of a write. After a failure, the result of the next watch determines whether the write is
// still needed.
func (cor *Core[D]) writeDone(evt WriteDone, now time.Time) {
	sst := &cor.store
	sst.writing = false
	if sst.known && evt.Revision > sst.revision {
		sst.revision, sst.digest, sst.dataHash = evt.Revision, evt.Digest, 0
	}
	if evt.Revision > 0 || !sst.known {
		return
	}
	cor.scheduleWrite(now)
}
