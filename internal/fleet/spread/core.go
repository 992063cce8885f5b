package spread

import (
	"math/rand"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"cardamompass"
)

// Defaults of CoreConfig.
const (
	// DefaultWatchers keeps a watcher in each of three failure domains most of the time, at three waiting calls.
	DefaultWatchers = 3
	// DefaultFanout is the number of peers to which a VM pushes a change. With 4 the share of VMs that a push misses is
	// about 2%; the exchange of summaries reaches them.
	DefaultFanout = 4
	// DefaultWatchWait bounds one watch. It also bounds the time until a restoration of the store to an older revision
	// is noticed, because a watch for a later revision does not end before.
	DefaultWatchWait = 30 * time.Second
	// DefaultStartDelay is the time for which a VM that starts waits for peers before its first call of the store.
	DefaultStartDelay = time.Second
	// DefaultGetDelay is the time for which a VM that does not watch waits for a peer with the document.
	DefaultGetDelay = 3 * time.Second
	// DefaultWriteDelay is the time between noticing that the store holds less and writing back. Each later watcher
	// waits that much longer, so that usually one writes.
	DefaultWriteDelay = 3 * time.Second
	// DefaultWriteInterval is the least time between two writes of one VM.
	DefaultWriteInterval = 10 * time.Second
)

const (
	// retryDelay is the first delay after a failed call of the store.
	retryDelay = 500 * time.Millisecond
	// maxWatchDelay bounds the delay of the few watchers, so that edits are seen soon after an outage.
	maxWatchDelay = 5 * time.Second
	// maxGetDelay bounds the delay of all other VMs, which together must stay far below the store's rate of reads.
	maxGetDelay = 30 * time.Second
	// missingDelay is the time between two watches of a key that does not exist.
	missingDelay = time.Second
	// watchGap is the least time between two watches, so that a store that answers watches at once is not flooded.
	watchGap = 200 * time.Millisecond
	// pullPatience is the time after which a pull may be started beside one that has not ended.
	pullPatience = time.Second
	// maxPushBytes bounds a change that is sent unasked. VMs receive several copies of a push, but pull only once.
	maxPushBytes = 64 << 10
)

// CoreConfig configures a Core. Zero values take the defaults of this package, but Self and Codec are required.
type CoreConfig[D Doc[D]] struct {
	// Self is this VM.
	Self cardamompass.VMID
	// Key is the document's key in the store.
	Key string
	// Codec converts documents.
	Codec Codec[D]
	// RandomSeed determines all random choices.
	RandomSeed int64
	// Start is the time at which the core starts.
	Start time.Time
	// Watchers is the number of VMs that watch the store.
	Watchers int
	// Fanout is the number of peers to which a change is pushed; negative for none.
	Fanout int
	// WatchWait bounds one watch.
	WatchWait time.Duration
	// StartDelay, GetDelay, WriteDelay and WriteInterval are explained at their defaults.
	StartDelay    time.Duration
	GetDelay      time.Duration
	WriteDelay    time.Duration
	WriteInterval time.Duration
}

func (cfg CoreConfig[D]) withDefaults() CoreConfig[D] {
	for ptr, def := range map[*time.Duration]time.Duration{
		&cfg.WatchWait:     DefaultWatchWait,
		&cfg.StartDelay:    DefaultStartDelay,
		&cfg.GetDelay:      DefaultGetDelay,
		&cfg.WriteDelay:    DefaultWriteDelay,
		&cfg.WriteInterval: DefaultWriteInterval,
	} {
		if *ptr == 0 {
			*ptr = def
		}
	}
	if cfg.Watchers == 0 {
		cfg.Watchers = DefaultWatchers
	}
	if cfg.Fanout == 0 {
		cfg.Fanout = DefaultFanout
	}
	return cfg
}

// Core is the state machine of the dissemination. It is not safe for concurrent use.
type Core[D Doc[D]] struct {
	cfg   CoreConfig[D]
	rng   *rand.Rand
	doc   D
	sum   Summary // of doc; zero while there is none
	peers []cardamompass.VMID
	rank  int // place among the watchers, -1 for none
	// pulling is the start of the running pull, zero without one.
	pulling time.Time
	encoded []byte // of doc, nil if not yet needed
	src     source
	effects []Effect
}

// NewCore returns the core of a VM without a document.
func NewCore[D Doc[D]](cfg CoreConfig[D]) *Core[D] {
	cfg = cfg.withDefaults()
	cor := &Core[D]{
		cfg:  cfg,
		rng:  rand.New(rand.NewSource(cfg.RandomSeed)),
		rank: -1,
	}
	cor.src.watchAt = cfg.Start.Add(cor.jitter(cfg.StartDelay))
	cor.src.getAt = cfg.Start.Add(cor.jitter(cfg.GetDelay))
	cor.rerank(nil, false)
	return cor
}

// Current returns the document in force; ok is false while there is none.
func (cor *Core[D]) Current() (doc D, ok bool) { return cor.doc, cor.sum.Version > 0 }

// Summary returns the summary of the document in force.
func (cor *Core[D]) Summary() Summary { return cor.sum }

// Apply changes the state by one event and returns what the driver has to do.
func (cor *Core[D]) Apply(evt Event) (effects []Effect) {
	now := evt.at()
	cor.effects = nil
	switch evt := evt.(type) {
	case Tick:
		cor.tick(now)
	case PeersChanged:
		cor.peersChanged(evt)
	case Offered[D]:
		cor.learn(evt.Doc)
	case PushReceived:
		cor.pushed(evt, now)
	case PullReceived:
		cor.emit(PullAnswer{
			Reply: cor.answer(evt.Request),
		})
	case SummaryReceived:
		cor.compare(evt.From, evt.Summary, now)
	case PullDone:
		cor.pulled(evt, now)
	case ReadDone:
		cor.read(evt, now)
	case WriteDone:
		cor.written(evt, now)
	}
	effects, cor.effects = cor.effects, nil
	return effects
}

func (cor *Core[D]) emit(eff Effect) { cor.effects = append(cor.effects, eff) }

// jitter returns a random time between half of dur and one and a half times dur.
func (cor *Core[D]) jitter(dur time.Duration) time.Duration {
	return dur/2 + time.Duration(cor.rng.Int63n(int64(dur)+1))
}

// learn merges a document into the one in force and pushes what is new.
func (cor *Core[D]) learn(doc D) (changed bool) {
	had := cor.sum
	merged := doc
	if had.Version > 0 {
		merged = cor.doc.Merge(doc)
	}
	sum := Summary{
		Version: merged.Version(),
		Digest:  merged.Digest(),
	}
	if sum == had {
		return false
	}
	cor.doc, cor.sum, cor.encoded = merged, sum, nil
	cor.emit(Changed{})
	// The first document a VM gets is usually known to its peers; those without it ask for it.
	if had.Version > 0 {
		cor.push(had.Version)
	}
	return true
}

func (cor *Core[D]) push(base int64) {
	if cor.cfg.Fanout < 0 || len(cor.peers) == 0 {
		return
	}
	req := PushRequest{
		From:    cor.cfg.Self,
		Base:    base,
		Summary: cor.sum,
	}
	data, err := cor.cfg.Codec.Encode(cor.doc.Delta(base))
	if err != nil {
		cor.emit(Rejected{
			Source: "delta",
			Err:    err,
		})
	}
	if err == nil && len(data) <= maxPushBytes {
		req.Data = data
	}
	for _, num := range cor.rng.Perm(len(cor.peers))[:min(cor.cfg.Fanout, len(cor.peers))] {
		cor.emit(Push{
			To:      cor.peers[num],
			Request: req,
		})
	}
}

func (cor *Core[D]) pushed(evt PushReceived, now time.Time) {
	req := evt.Request
	if len(req.Data) > 0 && cor.sum.Version > 0 && cor.sum.Version >= req.Base && cor.sum != req.Summary {
		cor.decode("push", req.Data)
	}
	cor.compare(req.From, req.Summary, now)
	cor.emit(PushAnswer{
		Reply: PushReply{
			Summary: cor.sum,
		},
	})
}

// decode merges received data.
func (cor *Core[D]) decode(source string, data []byte) (ok bool) {
	doc, err := cor.cfg.Codec.Decode(data)
	if err != nil {
		cor.emit(Rejected{
			Source: source,
			Err:    err,
		})
		return false
	}
	cor.learn(doc)
	return true
}

// compare pulls from a peer that may have more. A peer with a lower version pulls from this VM first; if it has
// something of its own, the merge gives it a version that makes this VM pull in turn.
func (cor *Core[D]) compare(from cardamompass.VMID, sum Summary, now time.Time) {
	if sum.Version == 0 || sum.Digest == cor.sum.Digest || sum.Version < cor.sum.Version {
		return
	}
	cor.pull(from, false, now)
}

func (cor *Core[D]) pull(from cardamompass.VMID, full bool, now time.Time) {
	if !cor.pulling.IsZero() && now.Sub(cor.pulling) < pullPatience {
		return
	}
	cor.pulling = now
	cor.emit(Pull{
		To: from,
		Request: PullRequest{
			Summary: cor.sum,
			Full:    full,
		},
	})
}

func (cor *Core[D]) answer(req PullRequest) (rep PullReply) {
	rep.Summary = cor.sum
	if cor.sum.Version == 0 || cor.sum.Digest == req.Summary.Digest {
		return rep
	}
	var err error
	if !req.Full && req.Summary.Version > 0 {
		rep.Data, err = cor.cfg.Codec.Encode(cor.doc.Delta(req.Summary.Version))
	} else {
		rep.Whole = true
		rep.Data, err = cor.whole()
	}
	if err != nil {
		cor.emit(Rejected{
			Source: "document",
			Err:    err,
		})
	}
	return rep
}

// whole returns the encoded document in force.
func (cor *Core[D]) whole() (data []byte, err error) {
	if cor.encoded == nil {
		cor.encoded, err = cor.cfg.Codec.Encode(cor.doc)
	}
	return cor.encoded, err
}

func (cor *Core[D]) pulled(evt PullDone, now time.Time) {
	cor.pulling = time.Time{}
	rep := evt.Reply
	if rep == nil || len(rep.Data) == 0 {
		return
	}
	if !rep.Whole && cor.sum.Version == 0 {
		return
	}
	if !cor.decode("pull", rep.Data) {
		return
	}
	// Documents whose versions were edited apart need the whole to become equal.
	if cor.sum.Digest != rep.Summary.Digest && !rep.Whole {
		cor.pull(evt.From, true, now)
	}
}

func (cor *Core[D]) peersChanged(evt PeersChanged) {
	cor.peers = slices.Clone(evt.Serving)
	slices.Sort(cor.peers)
	cor.rerank(cor.peers, evt.Leaving)
}

// rerank finds this VM's place among the watchers.
func (cor *Core[D]) rerank(peers []cardamompass.VMID, leaving bool) {
	before := cor.rank
	cor.rank = -1
	if !leaving {
		names := []string{string(cor.cfg.Self)}
		for _, vid := range peers {
			names = append(names, string(vid))
		}
		cor.rank = slices.Index(TopRanked(cor.cfg.Key, names, cor.cfg.Watchers), string(cor.cfg.Self))
	}
	if before >= 0 && cor.rank < 0 {
		cor.src.stop()
		cor.emit(StopWatch{})
	}
}

// TopRanked returns the first cnt names in the rendezvous order of key.
func TopRanked(key string, names []string, cnt int) (first []string) {
	rest := slices.Clone(names)
	for range min(cnt, len(names)) {
		// A new table each time, because the library's Remove panics for the last name of its table.
		name := rendezvous.New(rest, xxhash.Sum64String).Lookup(key)
		first = append(first, name)
		num := slices.Index(rest, name)
		rest = slices.Delete(rest, num, num+1)
	}
	return first
}
