package logkv_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass/internal/obs/logkv"
)

// Guards against a burst of equal events that fills the log, and against a wrong count of dropped lines.
func TestRepeatedLinesAreLimited(t *testing.T) {
	var buf bytes.Buffer
	lgr, cleanup, err := logkv.New(logkv.Config{
		Writer:           &buf,
		RepeatsPerSecond: 2,
		Process:          "vm-1",
	})
	if err != nil {
		t.Fatal(err)
	}
	const events = 1000
	for range events {
		lgr.Warn("probe failed", zap.String("target", "t-1"))
	}
	cleanup()
	lines := strings.Count(buf.String(), "\n")
	if int64(lines)+lgr.Dropped() != events {
		t.Fatalf("%d lines written and %d counted as dropped, want %d together", lines, lgr.Dropped(), events)
	}
	if lgr.Dropped() == 0 {
		t.Fatal("no line was dropped")
	}
	first, _, _ := strings.Cut(buf.String(), "\n")
	for _, want := range []string{"level=warn", `event="probe failed"`, "target=t-1", "process=vm-1"} {
		if !strings.Contains(first, want) {
			t.Errorf("line %q lacks %q", first, want)
		}
	}
}

// Guards against a misspelt level that is accepted and logs nothing or everything.
func TestUnknownLevelIsRefused(t *testing.T) {
	if _, _, err := logkv.New(logkv.Config{Writer: &bytes.Buffer{}, Level: "loud"}); err == nil {
		t.Fatal("level was accepted")
	}
}

// Guards against stack traces, which contain paths of the build machine, in log lines with an error.
func TestErrorsHaveNoStack(t *testing.T) {
	var buf bytes.Buffer
	lgr, cleanup, err := logkv.New(logkv.Config{
		Writer: &buf,
	})
	if err != nil {
		t.Fatal(err)
	}
	lgr.With(zap.Error(errors.New("first"))).Warn("store call failed", zap.Error(errors.Wrap(errors.New("second"), "read")))
	cleanup()
	line := buf.String()
	if strings.Contains(line, "Verbose") || strings.Contains(line, ".go:") || !strings.Contains(line, `error="read: second"`) {
		t.Fatalf("line %q", line)
	}
}
