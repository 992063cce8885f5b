package front

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompass"
	"cardamompass/internal/steer/crash"
)

const (
	// crashCheckDelay is the time between the break of a connection and the check whether the target still listens.
	crashCheckDelay = 20 * time.Millisecond
	// crashCheckTimeout bounds the connection attempt of that check.
	crashCheckTimeout = 300 * time.Millisecond
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

// checkCrash reports a crash if nothing listens any more at the address of an instance whose connection broke. It does not block.
func (frt *Front) checkCrash(ins cardamompass.Instance, content string) {
	frt.crashChecks.Go(func() {
		tmr := frt.cfg.Clock.NewTimer(crashCheckDelay)
		<-tmr.C()
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		con, err := frt.cfg.Dial(ctx, "tcp", ins.Address)
		if err == nil {
			_ = con.Close() // only opened to check that the target listens
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			crs := cardamompass.Crash{
				Fingerprint: content,
				Instance:    ins.ID,
				StartMillis: ins.StartMillis,
			}
			frt.crashes.Crashed(crs, frt.cfg.Clock.Now())
			frt.cfg.OnCrash(crs)
		}
	})
}
