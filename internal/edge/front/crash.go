package front

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompass"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/steer/crash"
)

const (
	// crashCheckDelay is the time between the break of a connection and the check whether the target still listens.
	crashCheckDelay = 20 * time.Millisecond
	// crashCheckTimeout bounds the connection attempt of that check.
	crashCheckTimeout = 300 * time.Millisecond
	// abandonedInterval is the interval at which targets are checked that may still run an abandoned request, abandonedMargin how long after
	// its deadline they may do so.
	abandonedInterval = 250 * time.Millisecond
	abandonedMargin   = 500 * time.Millisecond
)

// errCrashes refuses a request whose content crashes targets.
var errCrashes = errors.New("requests with this content crash targets")

// fingerprint identifies the content of a request. The request id is not part of it, because a caller that sends the same content
// again uses another id.
func fingerprint(req *http.Request, inf cardamompass.RequestInfo, body []byte) (text string) {
	dgs := xxhash.New()
	for _, field := range []string{req.Method, req.Host, req.RequestURI, inf.AffinityKey} {
		_, _ = dgs.WriteString(field + "\x00") // Digest.WriteString never fails
	}
	_, _ = dgs.Write(body)
	return hex.EncodeToString(dgs.Sum(nil))
}

// refusesContent reports whether requests with this content are refused, because targets crash on it.
func (frt *Front) refusesContent(content string) (ok bool) {
	tries := func() bool { return frt.cfg.TriesSuspects(content) }
	return frt.crashes.Refused(content, frt.cfg.View().CrashReports(content), tries, frt.cfg.Clock.Now())
}

// checkContentAgain repeats the check directly before a request is sent that was held up by an earlier attempt or a wait: the content may be
// known to crash targets since.
func (dsp *dispatch) checkContentAgain() (err error) {
	frt := dsp.exc.frt
	if frt.crashes.Refused(dsp.fingerprint, frt.cfg.View().CrashReports(dsp.fingerprint), nil, frt.cfg.Clock.Now()) {
		return errCrashes
	}
	return nil
}

// noteSurvived records that a target has answered a request with the status.
func (frt *Front) noteSurvived(content string, status int) {
	if !crash.Survived(status) {
		return
	}
	for _, crs := range frt.crashes.Survived(content, frt.cfg.View().CrashReports(content), frt.cfg.Clock.Now()) {
		frt.cfg.OnCrashWithdrawn(crs)
	}
}

// noteEnd looks for a crash of the target of an attempt that has ended: at once if its connection broke or carried no valid response, and for
// as long as the target may still run the request if this VM has given it up.
func (dsp *dispatch) noteEnd(atm *attempt) {
	var fai *send.Failure
	if !errors.As(atm.err, &fai) || fai.NotRun {
		return
	}
	frt := dsp.exc.frt
	switch fai.Kind {
	case send.KindBroken, send.KindInvalidResponse:
		frt.checkCrash(atm.chc.Instance, dsp.fingerprint)
	case send.KindCancelled, send.KindTimeout:
		if dsp.answered.Load() {
			return // another target has survived the request
		}
		frt.abandoned.Add(atm.chc.Instance, dsp.fingerprint, dsp.msg.Deadline.Add(abandonedMargin))
		frt.checkAbandoned(atm.chc.Instance)
	case send.KindConnect, send.KindRefused, send.KindShed, send.KindWrongInstance, send.KindWithheld:
	}
}

// goCheck runs a check in the background unless the Front is closed.
func (frt *Front) goCheck(check func()) {
	frt.mu.Lock()
	defer frt.mu.Unlock()
	if !frt.closed {
		frt.crashChecks.Go(check)
	}
}

// watchAbandoned checks the targets of abandoned requests until stop is closed.
func (frt *Front) watchAbandoned(stop <-chan struct{}) {
	tck := time.NewTicker(abandonedInterval)
	defer tck.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tck.C:
			for _, ins := range frt.abandoned.Instances(frt.cfg.Clock.Now()) {
				frt.checkAbandoned(ins)
			}
		}
	}
}

// checkAbandoned looks for a crash of an instance that may still run an abandoned request, by a connection that is kept for the next request.
// It does not block.
func (frt *Front) checkAbandoned(ins cardamompass.Instance) {
	if known, ok := frt.cfg.View().Instance(ins.ID); !ok || known.Leaving || known.StartMillis != ins.StartMillis {
		return // it may end as planned
	}
	frt.goCheck(func() {
		var fai *send.Failure
		if err := frt.cfg.Sender.Check(context.Background(), ins); !errors.As(err, &fai) {
			return
		}
		if fai.Kind == send.KindBroken || fai.Kind == send.KindRefused {
			frt.checkCrash(ins, "")
		}
	})
}

// checkCrash reports a crash if nothing listens any more at the address of an instance whose connection broke. It is that of all contents
// which the instance may have run: the given one, unless it is empty, and the abandoned ones. It does not block.
func (frt *Front) checkCrash(ins cardamompass.Instance, content string) {
	frt.goCheck(func() {
		tmr := frt.cfg.Clock.NewTimer(crashCheckDelay)
		<-tmr.C()
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		con, err := frt.cfg.Dial(ctx, "tcp", ins.Address)
		if err == nil {
			_ = con.Close() // only opened to check that the target listens
			return
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		now := frt.cfg.Clock.Now()
		contents := frt.abandoned.Take(ins, now)
		if content != "" && !slices.Contains(contents, content) {
			contents = append(contents, content)
		}
		for _, content := range contents {
			crs := cardamompass.Crash{
				Fingerprint: content,
				Instance:    ins.ID,
				StartMillis: ins.StartMillis,
			}
			frt.crashes.Crashed(crs, now)
			frt.cfg.OnCrash(crs)
		}
	})
}
