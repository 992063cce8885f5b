package crash

import (
	"sync"
	"time"

	"cardamompass"
)

// maxAbandoned bounds the contents that an Abandoned holds.
const maxAbandoned = 10000

// Abandoned holds the contents of requests that a VM has given up while targets may still run them. If the target crashes before the request
// would have ended, the content is suspected like one in flight. It is safe for concurrent use, does no I/O and reads no clock.
type Abandoned struct {
	mu     sync.Mutex
	starts map[start]*abandonedAt
	count  int
}

// start identifies a start of an instance.
type start struct {
	id     cardamompass.InstanceID
	millis int64
}

// abandonedAt is what was abandoned at a start of an instance.
type abandonedAt struct {
	ins cardamompass.Instance
	// until holds the end of the time in which a request with the content may still run there.
	until map[string]time.Time
}

// NewAbandoned returns an Abandoned without contents.
func NewAbandoned() (abn *Abandoned) {
	return &Abandoned{
		starts: make(map[start]*abandonedAt),
	}
}

// Add adds a content that an instance may run until a time. Beyond maxAbandoned contents it does nothing.
func (abn *Abandoned) Add(ins cardamompass.Instance, content string, until time.Time) {
	abn.mu.Lock()
	defer abn.mu.Unlock()
	if abn.count >= maxAbandoned {
		return
	}
	key := startOf(ins)
	aat := abn.starts[key]
	if aat == nil {
		aat = &abandonedAt{
			ins:   ins,
			until: make(map[string]time.Time),
		}
		abn.starts[key] = aat
	}
	before, known := aat.until[content]
	if !known {
		abn.count++
	}
	if until.After(before) {
		aat.until[content] = until
	}
}

// Instances returns the instances that may still run an abandoned request, and drops those that have ended by now.
func (abn *Abandoned) Instances(now time.Time) (list []cardamompass.Instance) {
	abn.mu.Lock()
	defer abn.mu.Unlock()
	for key, aat := range abn.starts {
		for content, until := range aat.until {
			if now.After(until) {
				delete(aat.until, content)
				abn.count--
			}
		}
		if len(aat.until) == 0 {
			delete(abn.starts, key)
			continue
		}
		list = append(list, aat.ins)
	}
	return list
}

// Take removes and returns the contents of requests that a start of an instance may run at a time.
func (abn *Abandoned) Take(ins cardamompass.Instance, now time.Time) (contents []string) {
	abn.mu.Lock()
	defer abn.mu.Unlock()
	aat := abn.starts[startOf(ins)]
	if aat == nil {
		return nil
	}
	delete(abn.starts, startOf(ins))
	abn.count -= len(aat.until)
	for content, until := range aat.until {
		if !now.After(until) {
			contents = append(contents, content)
		}
	}
	return contents
}

func startOf(ins cardamompass.Instance) (key start) {
	return start{
		id:     ins.ID,
		millis: ins.StartMillis,
	}
}
