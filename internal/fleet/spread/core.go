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
	// DefaultWatchers is enough for a watcher in each of three failure domains most of the time, at the cost of three
	// waiting calls.
	DefaultWatchers = 3
	// DefaultFanout is the number of peers to which a VM pushes a change. With a fan-out of 4, a push misses about 2% of
	// the VMs; these receive the change through the exchange of summaries.
	DefaultFanout = 4
	// DefaultWatchWait bounds one watch. It also bounds the time until a restoration of the store to an older revision
	// is detected, because a watch for a later revision does not return earlier.
	DefaultWatchWait = 30 * time.Second
	// DefaultStartDelay is the time for which a starting VM waits for peers before its first call of the store.
	DefaultStartDelay = time.Second
	// DefaultGetDelay is the time for which a VM that does not watch waits for a peer with the document.
	DefaultGetDelay = 3 * time.Second
	// DefaultWriteDelay is the time between detecting that the store lacks part of the document and writing it back. It is
	// added once more for each rank of a watcher, so that usually only one watcher writes.
	DefaultWriteDelay = 3 * time.Second
	// DefaultWriteInterval is the minimum time between two writes of one VM.
	DefaultWriteInterval = 10 * time.Second
)

const (
	// retryDelay is the initial back-off after a failed call of the store.
	retryDelay = 500 * time.Millisecond
	// maxWatchDelay bounds the back-off of the few watchers, so that edits are read soon after an outage.
	maxWatchDelay = 5 * time.Second
	// maxGetDelay bounds the back-off of all other VMs, which together must stay far below the store's limit on reads.
	maxGetDelay = 30 * time.Second
	// missingKeyDelay is the time between two watches of a key that does not exist.
	missingKeyDelay = time.Second
	// minWatchGap is the time between two watches. It limits the call rate if the store returns from watches at once.
	minWatchGap = 200 * time.Millisecond
	// pullOverlapDelay is the time after which another pull may be started while one is still running.
	pullOverlapDelay = time.Second
	// maxPushBytes bounds the data of a push. A VM receives several copies of a push but pulls only once.
	maxPushBytes = 64 << 10
)

// CoreConfig configures a Core. Zero values take the defaults of this package, but Self and Codec are required.
type CoreConfig[D Doc[D]] struct {
	// Self is this VM.
	Self cardamompass.VMID
	// Key is the document's key in the store.
	Key   string
	Codec Codec[D]
	// RandomSeed is the seed of the random number generator.
	RandomSeed int64
	// Start is the time at which the core starts.
	Start time.Time
	// Watchers is the number of VMs that watch the store.
	Watchers int
	// Fanout is the number of peers to which a change is pushed; negative for none.
	Fanout int
	// WatchWait bounds one watch.
	WatchWait time.Duration
	// StartDelay, GetDelay, WriteDelay and WriteInterval are described at their defaults.
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
	cfg         CoreConfig[D]
	rng         *rand.Rand
	doc         D
	sum         Summary // of doc; zero while there is none
	peers       []cardamompass.VMID
	watcherRank int // rank among the watchers, -1 if not a watcher
	// pullStart is the start time of the running pull, zero if there is none.
	pullStart time.Time
	encoded   []byte // encoding of doc, nil until needed
	store     storeState
	effects   []Effect
}

// NewCore returns the core of a VM without a document.
func NewCore[D Doc[D]](cfg CoreConfig[D]) *Core[D] {
	cfg = cfg.withDefaults()
	cor := &Core[D]{
		cfg:         cfg,
		rng:         rand.New(rand.NewSource(cfg.RandomSeed)),
		watcherRank: -1,
	}
	cor.store.watchAt = cfg.Start.Add(cor.jitter(cfg.StartDelay))
	cor.store.getAt = cfg.Start.Add(cor.jitter(cfg.GetDelay))
	cor.updateRank(nil, false)
	return cor
}

// Current returns the active document; ok is false while there is none.
func (cor *Core[D]) Current() (doc D, ok bool) { return cor.doc, cor.sum.Version > 0 }

// Summary returns the summary of the active document.
func (cor *Core[D]) Summary() Summary { return cor.sum }

// Apply processes one event and returns the effects that the driver has to execute.
func (cor *Core[D]) Apply(evt Event) (effects []Effect) {
	now := evt.at()
	cor.effects = nil
	switch evt := evt.(type) {
	case Tick:
		cor.tick(now)
	case PeersChanged:
		cor.peersChanged(evt)
	case Offered[D]:
		cor.mergeDoc(evt.Doc)
	case PushReceived:
		cor.pushReceived(evt, now)
	case PullReceived:
		cor.emit(PullAnswer{
			Reply: cor.pullReply(evt.Request),
		})
	case SummaryReceived:
		cor.compareSummary(evt.From, evt.Summary, now)
	case PullDone:
		cor.pullDone(evt, now)
	case ReadDone:
		cor.readDone(evt, now)
	case WriteDone:
		cor.writeDone(evt, now)
	}
	effects, cor.effects = cor.effects, nil
	return effects
}

func (cor *Core[D]) emit(eff Effect) { cor.effects = append(cor.effects, eff) }

// jitter returns a random duration between 0.5 and 1.5 times dur.
func (cor *Core[D]) jitter(dur time.Duration) time.Duration {
	return dur/2 + time.Duration(cor.rng.Int63n(int64(dur)+1))
}

// mergeDoc merges a document into the active one and pushes the change.
func (cor *Core[D]) mergeDoc(doc D) (changed bool) {
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
	// The peers usually already have the first document that a VM receives; those without it pull it.
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

func (cor *Core[D]) pushReceived(evt PushReceived, now time.Time) {
	req := evt.Request
	if len(req.Data) > 0 && cor.sum.Version > 0 && cor.sum.Version >= req.Base && cor.sum != req.Summary {
		cor.mergeData("push", req.Data)
	}
	cor.compareSummary(req.From, req.Summary, now)
	cor.emit(PushAnswer{
		Reply: PushReply{
			Summary: cor.sum,
		},
	})
}

// mergeData decodes and merges received data.
func (cor *Core[D]) mergeData(source string, data []byte) (ok bool) {
	doc, err := cor.cfg.Codec.Decode(data)
	if err != nil {
		cor.emit(Rejected{
			Source: source,
			Err:    err,
		})
		return false
	}
	cor.mergeDoc(doc)
	return true
}

// compareSummary pulls from a peer whose document may contain edits that this VM lacks. A peer with a lower version pulls
// from this VM first; if it has edits that this VM lacks, its merged document gets a version and digest for which this VM
// pulls in turn.
func (cor *Core[D]) compareSummary(from cardamompass.VMID, sum Summary, now time.Time) {
	if sum.Version == 0 || sum.Digest == cor.sum.Digest || sum.Version < cor.sum.Version {
		return
	}
	cor.pull(from, false, now)
}

func (cor *Core[D]) pull(from cardamompass.VMID, full bool, now time.Time) {
	if !cor.pullStart.IsZero() && now.Sub(cor.pullStart) < pullOverlapDelay {
		return
	}
	cor.pullStart = now
	cor.emit(Pull{
		To: from,
		Request: PullRequest{
			Summary: cor.sum,
			Full:    full,
		},
	})
}

func (cor *Core[D]) pullReply(req PullRequest) (rep PullReply) {
	rep.Summary = cor.sum
	if cor.sum.Version == 0 || cor.sum.Digest == req.Summary.Digest {
		return rep
	}
	var err error
	if !req.Full && req.Summary.Version > 0 {
		rep.Data, err = cor.cfg.Codec.Encode(cor.doc.Delta(req.Summary.Version))
	} else {
		rep.Whole = true
		rep.Data, err = cor.encodedDoc()
	}
	if err != nil {
		cor.emit(Rejected{
			Source: "document",
			Err:    err,
		})
	}
	return rep
}

// encodedDoc returns the encoded active document.
func (cor *Core[D]) encodedDoc() (data []byte, err error) {
	if cor.encoded == nil {
		cor.encoded, err = cor.cfg.Codec.Encode(cor.doc)
	}
	return cor.encoded, err
}

func (cor *Core[D]) pullDone(evt PullDone, now time.Time) {
	cor.pullStart = time.Time{}
	rep := evt.Reply
	if rep == nil || len(rep.Data) == 0 {
		return
	}
	if !rep.Whole && cor.sum.Version == 0 {
		return
	}
	if !cor.mergeData("pull", rep.Data) {
		return
	}
	// Documents that were edited independently become equal only by merging a whole document.
	if cor.sum.Digest != rep.Summary.Digest && !rep.Whole {
		cor.pull(evt.From, true, now)
	}
}

func (cor *Core[D]) peersChanged(evt PeersChanged) {
	cor.peers = slices.Clone(evt.Serving)
	slices.Sort(cor.peers)
	cor.updateRank(cor.peers, evt.Leaving)
}

// updateRank updates this VM's rank among the watchers.
func (cor *Core[D]) updateRank(peers []cardamompass.VMID, leaving bool) {
	before := cor.watcherRank
	cor.watcherRank = -1
	if !leaving {
		names := []string{string(cor.cfg.Self)}
		for _, vid := range peers {
			names = append(names, string(vid))
		}
		cor.watcherRank = slices.Index(TopRanked(cor.cfg.Key, names, cor.cfg.Watchers), string(cor.cfg.Self))
	}
	if before >= 0 && cor.watcherRank < 0 {
		cor.store.reset()
		cor.emit(StopWatch{})
	}
}

// TopRanked returns the first cnt names in the rendezvous order of key.
func TopRanked(key string, names []string, cnt int) (first []string) {
	rest := slices.Clone(names)
	for range min(cnt, len(names)) {
		// A new table is created each time, because Remove of the library panics for the last name of its table.
		name := rendezvous.New(rest, xxhash.Sum64String).Lookup(key)
		first = append(first, name)
		num := slices.Index(rest, name)
		rest = slices.Delete(rest, num, num+1)
	}
	return first
}
