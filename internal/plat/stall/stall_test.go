package stall_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"

	"cardamompass/internal/plat/stall"
)

// pace is the time between two parts of a response in a test.
const pace = 20 * time.Millisecond

// parts is a response that arrives in parts.
type parts struct {
	ctx  context.Context //nolint:containedctx // ends a Read like the context of an HTTP request
	left int
	size int // bytes of a part
}

// Read implements io.Reader.
func (prt *parts) Read(buf []byte) (num int, err error) {
	if prt.left == 0 {
		return 0, io.EOF
	}
	select {
	case <-prt.ctx.Done():
		return 0, context.Cause(prt.ctx)
	case <-time.After(pace):
		prt.left--
		return min(len(buf), prt.size), nil
	}
}

// filler is a response of which each Read fills its buffer, at some bytes a second, as that of a chunked HTTP response does.
type filler struct {
	parts
}

// Read implements io.Reader.
func (flr *filler) Read(buf []byte) (num int, err error) {
	for num < len(buf) && err == nil {
		part := 0
		part, err = flr.parts.Read(buf[num:min(len(buf), num+2<<10)])
		num += part
	}
	return num, err
}

// Guards against a response that is given up because one read of it takes long.
func TestReadsThatFillTheirBuffer(t *testing.T) {
	ctx, wdg, stop := stall.New(t.Context(), stall.Config{
		First: time.Minute,
		Gap:   30 * pace,
	})
	defer stop()
	rdr := wdg.Reader(&filler{
		parts: parts{
			ctx:  ctx,
			left: 60,
			size: 2 << 10,
		},
	})
	if num, err := io.ReadFull(rdr, make([]byte, 120<<10)); err != nil {
		t.Fatalf("%d bytes, error %v", num, err)
	}
}

// Guards against a response that is given up although it makes progress, and against one that stalls and is waited for.
func TestWatchdog(t *testing.T) {
	const never, soon = time.Minute, pace / 2
	tests := []struct {
		name    string
		cfg     stall.Config
		begins  bool
		stalled bool
	}{
		{"longer than both limits", stall.Config{First: 50 * pace, Gap: 50 * pace}, true, false},
		{"does not begin", stall.Config{First: soon, Gap: never}, false, true},
		{"does not go on", stall.Config{First: never, Gap: soon}, true, true},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			ctx, wdg, stop := stall.New(t.Context(), tst.cfg)
			defer stop()
			var err error
			if tst.begins {
				_, err = io.ReadAll(wdg.Reader(&parts{
					ctx:  ctx,
					left: 80,
					size: 4,
				}))
			} else {
				<-ctx.Done()
				err = context.Cause(ctx)
			}
			if errors.Is(err, stall.ErrStalled) != tst.stalled || (err != nil) != tst.stalled {
				t.Fatalf("error %v, want a stall: %v", err, tst.stalled)
			}
			stop()
			if ctx.Err() == nil {
				t.Fatal("the context goes on after the call")
			}
		})
	}
}
