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
	// crashLimit is the number of crashes after which requests with the same content are refused. One or two crashes can
	// be coincidence, because other requests are in flight at an instance that crashes.
	crashLimit = 3
	// crashCheckDelay is the time between the break of a connection and the check whether the target still listens.
	crashCheckDelay = 20 * time.Millisecond
	// crashCheckTimeout bounds the connection attempt of that check.
	crashCheckTimeout = 300 * time.Millisecond
	// maxHarmless bounds the number of fingerprints in Front.harmless.
	maxHarmless = 10000
)

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

// blocked reports whether requests with this content are refused: instances crashed on them at least crashLimit times and no target
// has answered one since.
func (frt *Front) blocked(vew *view.View, content string) (ok bool) {
	if vew.Crashes(content) < crashLimit {
		return false
	}
	frt.mu.Lock()
	defer frt.mu.Unlock()
	return !frt.harmless[content]
}

// markHarmless records that a target answered a request whose content is known to have crashed instances.
func (frt *Front) markHarmless(vew *view.View, content string) {
	if vew.Crashes(content) == 0 {
		return
	}
	frt.mu.Lock()
	defer frt.mu.Unlock()
	if len(frt.harmless) >= maxHarmless {
		clear(frt.harmless)
	}
	frt.harmless[content] = true
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
			frt.cfg.OnCrash(cardamompass.Crash{
				Fingerprint: content,
				Instance:    ins.ID,
				StartMillis: ins.StartMillis,
			})
		}
	})
}
