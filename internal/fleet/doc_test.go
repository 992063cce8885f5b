package fleet_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/fleet/spread"
)

// doc is a document for tests: entries with versions. The version of the document is the highest of them.
type doc struct{ entries map[string]int64 }

var _ spread.Doc[doc] = doc{}

func (dcm doc) with(name string, version int64) doc {
	next := maps.Clone(dcm.entries)
	if next == nil {
		next = map[string]int64{}
	}
	next[name] = version
	return doc{
		entries: next,
	}
}

func (dcm doc) Merge(other doc) doc {
	next := maps.Clone(dcm.entries)
	for name, version := range other.entries {
		next[name] = max(next[name], version)
	}
	return doc{
		entries: next,
	}
}

func (dcm doc) Digest() (sum uint64) {
	for name, version := range dcm.entries {
		sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(name), uint64(version)))
	}
	return sum
}

func (dcm doc) Version() (version int64) {
	for _, ver := range dcm.entries {
		version = max(version, ver)
	}
	return version
}

func (dcm doc) Delta(since int64) doc {
	next := maps.Clone(dcm.entries)
	maps.DeleteFunc(next, func(_ string, version int64) bool { return version <= since })
	return doc{
		entries: next,
	}
}

// entryContent is the content of each entry. Its size is realistic, for the benchmarks.
var entryContent = bytes.Repeat([]byte{'x'}, 250)

type entry struct {
	Name    string
	Version int64
	Content []byte
}

var codec = spread.Codec[doc]{
	Encode: func(dcm doc) (data []byte, err error) {
		var ents []entry
		for _, name := range slices.Sorted(maps.Keys(dcm.entries)) {
			ents = append(ents, entry{
				Name:    name,
				Version: dcm.entries[name],
				Content: entryContent,
			})
		}
		var buf bytes.Buffer
		err = gob.NewEncoder(&buf).Encode(ents)
		return buf.Bytes(), err
	},
	Decode: func(data []byte) (dcm doc, err error) {
		var ents []entry
		if err = gob.NewDecoder(bytes.NewReader(data)).Decode(&ents); err != nil {
			return doc{}, err
		}
		dcm.entries = map[string]int64{}
		for _, ent := range ents {
			dcm.entries[ent.Name] = ent.Version
		}
		return dcm, nil
	},
}

// memStore is a store in memory that can fail and can be restored to an older state.
type memStore struct {
	cardamompass.Store // panics for calls that are not expected

	mut     sync.Mutex
	val     cardamompass.Value
	changed chan struct{}
	down    bool
	delay   time.Duration
	reads   int
	watches int
	writes  int
}

func newMemStore() *memStore {
	return &memStore{
		changed: make(chan struct{}),
	}
}

func (sto *memStore) read() (val cardamompass.Value, changed chan struct{}, err error) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	switch {
	case sto.down:
		err = errors.New("store is down")
	case sto.val.Revision == 0:
		err = &cardamompass.NotFoundError{
			Key: "catalogue",
		}
	}
	return sto.val, sto.changed, err
}

func (sto *memStore) Get(context.Context, string) (val cardamompass.Value, err error) {
	sto.mut.Lock()
	sto.reads++
	sto.mut.Unlock()
	val, _, err = sto.read()
	return val, err
}

func (sto *memStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (val cardamompass.Value, err error) {
	sto.mut.Lock()
	sto.watches++
	sto.mut.Unlock()
	tmr := time.NewTimer(wait)
	defer tmr.Stop()
	for {
		val, changed, err := sto.read()
		if err != nil {
			return val, err
		}
		if val.Revision > after {
			sto.mut.Lock()
			delay := sto.delay
			sto.mut.Unlock()
			time.Sleep(delay)
			return val, nil
		}
		select {
		case <-changed:
		case <-tmr.C:
			return val, nil
		case <-ctx.Done():
			return val, ctx.Err()
		}
	}
}

func (sto *memStore) Put(_ context.Context, _ string, data []byte, revision int64) (val cardamompass.Value, err error) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.writes++
	if sto.down {
		return val, errors.New("store is down")
	}
	if sto.val.Revision != revision {
		return val, &cardamompass.ConflictError{
			Key:  "catalogue",
			Want: revision,
			Have: sto.val.Revision,
		}
	}
	sto.set(data, revision+1)
	return sto.val, nil
}

func (sto *memStore) set(data []byte, revision int64) {
	sto.val = cardamompass.Value{
		Key:      "catalogue",
		Data:     data,
		Revision: revision,
	}
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// overwrite sets the content regardless of the revision, like an edit or the restoration of a backup.
func (sto *memStore) overwrite(dcm doc, revision int64) {
	data, err := codec.Encode(dcm)
	if err != nil {
		panic(err)
	}
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.set(data, revision)
}

func (sto *memStore) setDown(down bool) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.down = down
}

func (sto *memStore) calls() (reads, watches, writes int) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return sto.reads, sto.watches, sto.writes
}

// content returns the document in the store and its revision.
func (sto *memStore) content() (dcm doc, revision int64) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	dcm, err := codec.Decode(sto.val.Data)
	if err != nil {
		panic(err)
	}
	return dcm, sto.val.Revision
}
