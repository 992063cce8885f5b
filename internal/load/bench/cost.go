package bench

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/target"
)

const (
	costMS = 20
	// costLoad is the part of the slots in use, half of them by direct requests. The service time is constant, so that the
	// medians differ only by what an entry VM adds.
	costLoad    = 0.5
	costTargets = 4
	costSlots   = 6
	// lookupTime is the length of the look-up measurement, lookupBatch the number of look-ups written at once.
	lookupTime  = time.Second
	lookupBatch = 64
)

func cost() Scenario {
	return Scenario{
		Name: "cost",
		Scale: "4 targets of 6 slots, 7 entry VMs, 50% of the slots used (600 requests/s), service time 20 ms constant, every second " +
			"request direct to a target; look-ups over HTTP with one core for the client, the entry VM and all others",
		run: runCost,
	}
}

func runCost(ctx context.Context, cfg Config, plt *plots) (pts []Point, err error) {
	current, err := costOn(ctx, cfg, false)
	if err != nil {
		return nil, err
	}
	naive, err := costOn(ctx, cfg, true)
	if err != nil {
		return nil, err
	}
	plt.add("naive", naive.through)
	plt.add("current", current.through)
	plt.add("direct", current.direct)
	added := func(percent float64) (one, two float64) {
		return naive.through.Quantile(percent) - naive.direct.Quantile(percent),
			current.through.Quantile(percent) - current.direct.Quantile(percent)
	}
	naive50, current50 := added(50)
	naive90, current90 := added(90)
	return []Point{
		only("direct p50", "ms", current.direct.Quantile(50)),
		both("added by an entry VM, p50", "ms", naive50, current50).atMost(0.3),
		both("added by an entry VM, p90", "ms", naive90, current90),
		only("look-ups on one core", "1/s", current.lookups).atLeast(36_000),
	}, nil
}

// costResult is what one version did; lookups is the number of look-ups a second.
type costResult struct {
	direct, through *Recorder
	lookups         float64
}

func costOn(ctx context.Context, cfg Config, naive bool) (res costResult, err error) {
	sit, cleanup, err := newSite(siteConfig{
		vms: places(gulf, 7),
		groups: []group{{
			service: demo.Short,
			region:  gulf,
			count:   costTargets,
			slots:   costSlots,
			bhv: target.Behaviour{
				ServiceMS: costMS,
			},
		}},
		naive: naive,
	})
	if err != nil {
		return res, err
	}
	defer cleanup()
	lod := load{
		rate:     costLoad * costTargets * costSlots * 1000 / costMS,
		duration: time.Second,
		seed:     cfg.Seed,
	}
	through := sit.sender(ask{
		service: demo.Short,
		region:  fromGulf,
		prefix:  "cost-",
		timeout: requestTimeout,
		seed:    cfg.Seed,
	})
	// A first load opens the connections.
	for _, duration := range []time.Duration{time.Second, cfg.Duration} {
		res.direct, res.through = NewRecorder(), NewRecorder()
		lod.duration = duration
		lod.send = func(ctx context.Context, num int) Outcome {
			if num%2 == 0 {
				return sit.direct(ctx, num)
			}
			return through(ctx, num)
		}
		lod.also = func(num int) *Recorder {
			return []*Recorder{res.direct, res.through}[num%2]
		}
		lod.run(ctx)
	}
	if !naive {
		res.lookups, err = sit.lookupRate(ctx)
	}
	return res, err
}

// direct sends a request to a target in turn, without an entry VM.
func (sit *Site) direct(ctx context.Context, num int) (oct Outcome) {
	tgt := sit.Targets[sit.specs[num/2%len(sit.specs)].ID]
	rqs, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+tgt.Address()+"/stock/"+strconv.Itoa(num), nil)
	if err != nil {
		return oct
	}
	rqs.Header.Set(cardamompass.HeaderRequestID, "direct-"+strconv.Itoa(num))
	res, err := sit.client.Do(rqs)
	if err != nil {
		return oct
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	oct.OK = err == nil && res.StatusCode == http.StatusOK
	return oct
}

// lookupRate returns the look-ups a second that one entry VM answers while the whole process has one core. The client writes
// many look-ups at once, so that most of the time is the entry VM's.
func (sit *Site) lookupRate(ctx context.Context) (perSecond float64, err error) {
	defer func() { err = errors.Wrap(err, "measure look-ups") }()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	dlr := net.Dialer{}
	con, err := dlr.DialContext(ctx, "tcp", sit.VMs[0].VM().CallerAddress)
	if err != nil {
		return 0, err
	}
	defer func() { _ = con.Close() }()
	batch := bytes.Repeat([]byte("GET /v1/lookup?service=kiosk-core&region=gulf HTTP/1.1\r\nHost: entry\r\n\r\n"), lookupBatch)
	rdr := bufio.NewReaderSize(con, 64<<10)
	count := 0
	began := time.Now()
	for time.Since(began) < lookupTime {
		if _, err := con.Write(batch); err != nil {
			return 0, err
		}
		for range lookupBatch {
			if err := skipAnswer(rdr); err != nil {
				return 0, err
			}
			count++
		}
	}
	return float64(count) / time.Since(began).Seconds(), nil
}

// skipAnswer reads an answer with a declared length.
func skipAnswer(rdr *bufio.Reader) (err error) {
	length := -1
	for first := true; ; first = false {
		lin, err := rdr.ReadSlice('\n')
		if err != nil {
			return err
		}
		if first && !bytes.Contains(lin, []byte(" 200 ")) {
			return errors.Errorf("answer %q", lin)
		}
		if len(lin) <= len("\r\n") {
			break
		}
		if val, ok := bytes.CutPrefix(lin, []byte("Content-Length: ")); ok {
			if length, err = strconv.Atoi(string(bytes.TrimSpace(val))); err != nil {
				return err
			}
		}
	}
	if length < 0 {
		return errors.New("answer without length")
	}
	_, err = rdr.Discard(length)
	return err
}
