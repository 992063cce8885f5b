package front_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/front"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/obs/logkv"
	"cardamompass/internal/obs/metric"
	"cardamompass/internal/steer/place"
	"cardamompass/platform"
)

// BenchmarkRequest measures a request including its caller and its target, which run in the same process, with and without logging.
func BenchmarkRequest(b *testing.B) {
	quiet := zap.NewNop()
	loud, _, err := logkv.New(logkv.Config{
		Writer:           io.Discard,
		RepeatsPerSecond: 1 << 30,
	})
	if err != nil {
		b.Fatal(err)
	}
	for name, log := range map[string]*zap.Logger{"quiet": quiet, "logged": loud.Logger} {
		b.Run(name, func(b *testing.B) { benchmarkRequest(b, log) })
	}
}

func benchmarkRequest(b *testing.B, log *zap.Logger) {
	target := httptest.NewServer(http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		wrt.Header().Set("Request-Id", req.Header.Get("Request-Id"))
		wrt.Header().Set("Response-Seal", "s")
		wrt.Header().Set("Server-Load", "1,0,6,100")
		_, _ = wrt.Write(bytes.Repeat([]byte("x"), 5000))
	}))
	defer target.Close()
	vew := view.Empty().WithChanges([]cardamompass.Change{
		{Table: routes()},
		{Instance: &cardamompass.Instance{
			ID:      "i-1",
			Service: service,
			Region:  "r",
			Address: target.Listener.Addr().String(),
			Slots:   1000,
		}},
	}, 1, view.Outage{}, time.Now())
	blc := place.New(place.Config{Self: "vm-1", Region: "r"})
	blc.Sync(vew, time.Now())
	snd, stop := send.New(send.Config{
		Protocol: platform.Protocol{},
		Clock:    cardamompass.SystemClock{},
		Dial:     send.Dialer(time.Second),
	})
	defer stop()
	mtr, stopMetrics := metric.New(metric.Config{})
	defer stopMetrics()
	frt, stopFront := front.New(front.Config{
		Settings: func() cardamompass.VMSettings {
			return cardamompass.VMSettings{RetryBudgetPercent: 20, RetryBudgetSlack: 56, RetryBudgetWindow: 10 * time.Second}
		},
		Protocol: platform.Protocol{},
		Clock:    cardamompass.SystemClock{},
		Log:      log,
		Scope:    mtr.Scope(),
		Balancer: blc,
		Sender:   snd,
		View:     func() *view.View { return vew },
		StoreAge: func() time.Duration { return 0 },
		OnLoad:   func(cardamompass.InstanceID, cardamompass.Load) {},
		OnCrash:  func(cardamompass.Crash) {},
		Dial:     send.Dialer(time.Second),
	})
	defer stopFront()
	srv := httptest.NewServer(frt)
	defer srv.Close()
	for num := range b.N {
		req, err := http.NewRequest(http.MethodGet, srv.URL+"/read/a", nil)
		if err != nil {
			b.Fatal(err)
		}
		req.Host = "h.example"
		req.Header.Set("Request-Id", fmt.Sprint(num))
		rsp, err := http.DefaultClient.Do(req)
		if err != nil || rsp.StatusCode != http.StatusOK {
			b.Fatal(err, rsp)
		}
		_, _ = io.Copy(io.Discard, rsp.Body)
		rsp.Body.Close()
	}
}
