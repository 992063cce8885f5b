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
	"cardamompass/internal/fleet/view"
)

const (
	// crashLimit is the number of crashed instances after which a content is refused. One or two crashes can be chance: other requests
	// are in flight at an instance that crashes.
	crashLimit = 3
	// crashCheckDelay is the time after which a target whose connection broke is asked whether it still listens.
	crashCheckDelay = 20 * time.Millisecond
	// crashCheckLimit bounds that question.
	crashCheckLimit = 300 * time.Millisecond
	// maxCleared bounds the contents that are known to be harmless.
	maxCleared = 10000
)

// fingerprint identifies the content of a request: a caller that sends it again uses another request id.
func fingerprint(req *http.Request, inc cardamompass.RequestInfo, body []byte) (text string) {
	dgs := xxhash.New()
	for _, part := range []string{req.Method, req.Host, req.RequestURI, inc.AffinityKey} {
		_, _ = dgs.WriteString(part + "\x00") // a digest does not fail
	}
	_, _ = dgs.Write(body)
	return hex.EncodeToString(dgs.Sum(nil))
}

// crashing reports whether requests with a content are refused, because it crashed several instances and was never answered since.
func (frt *Front) crashing(vew *view.View, content string) (ok bool) {
	if vew.Crashes(content) < crashLimit {
		return false
	}
	frt.mu.Lock()
	defer frt.mu.Unlock()
	return !frt.cleared[content]
}

// clear notes that a content was answered and is harmless.
func (frt *Front) clear(vew *view.View, content string) {
	if vew.Crashes(content) == 0 {
		return
	}
	frt.mu.Lock()
	defer frt.mu.Unlock()
	if len(frt.cleared) >= maxCleared {
		clear(frt.cleared)
	}
	frt.cleared[content] = true
}

// checkCrash finds out whether an instance crashed: nothing listens at its address after the connection broke.
func (frt *Front) checkCrash(ins cardamompass.Instance, content string) {
	frt.checks.Go(func() {
		tmr := frt.cfg.Clock.NewTimer(crashCheckDelay)
		<-tmr.C()
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckLimit)
		defer cancel()
		con, err := frt.cfg.Dial(ctx, "tcp", ins.Address)
		if err == nil {
			_ = con.Close() // only opened to see that the target listens
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			frt.cfg.Crashed(cardamompass.Crash{
				Fingerprint: content,
				Instance:    ins.ID,
			})
		}
	})
}
