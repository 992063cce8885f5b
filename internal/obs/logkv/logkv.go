// Package logkv creates the loggers of the processes, which write one line of key=value pairs per event.
//
// Repeated lines are rate-limited: of the lines with the same level and message, the first RepeatsPerSecond of each
// second are written and the others are dropped and counted, so that a burst of failures can't fill the log.
package logkv

import (
	"io"
	"slices"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// DefaultRepeatsPerSecond is the default rate limit of lines with the same level and message.
const DefaultRepeatsPerSecond = 20

// Config configures a logger.
type Config struct {
	// Writer receives the lines. Writes are serialized.
	Writer io.Writer
	// Level is the lowest level written: "debug", "info", "warn" or "error". Empty means "info".
	Level string
	// RepeatsPerSecond is the number of lines with the same level and message that are written in a second; 0 means
	// DefaultRepeatsPerSecond.
	RepeatsPerSecond int
	// Process is the value of the key "process" in each line, for example the VM's id. If it is empty, the key is omitted.
	Process string
}

// Logger is a zap logger that counts the lines dropped by the rate limit.
type Logger struct {
	*zap.Logger
	dropped *atomic.Int64
}

// Dropped returns the number of lines dropped by the rate limit.
func (lgr *Logger) Dropped() int64 { return lgr.dropped.Load() }

// New returns a logger and a function that flushes it.
func New(cfg Config) (lgr *Logger, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "create logger") }()
	level := zapcore.InfoLevel
	if cfg.Level != "" {
		if level, err = zapcore.ParseLevel(cfg.Level); err != nil {
			return nil, nil, err
		}
	}
	repeats := cfg.RepeatsPerSecond
	if repeats == 0 {
		repeats = DefaultRepeatsPerSecond
	}
	dropped := &atomic.Int64{}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), zapcore.Lock(zapcore.AddSync(cfg.Writer)), level)
	core = plainErrors{
		Core: core,
	}
	core = zapcore.NewSamplerWithOptions(core, time.Second, repeats, 0,
		zapcore.SamplerHook(func(_ zapcore.Entry, dec zapcore.SamplingDecision) {
			if dec&zapcore.LogDropped != 0 {
				dropped.Add(1)
			}
		}))
	zlg := zap.New(core)
	if cfg.Process != "" {
		zlg = zlg.With(zap.String("process", cfg.Process))
	}
	lgr = &Logger{
		Logger:  zlg,
		dropped: dropped,
	}
	return lgr, func() { _ = zlg.Sync() }, nil
}

// plainErrors writes only the message of errors. For an error with a stack trace, zap would add the trace, which contains
// paths of the build machine.
type plainErrors struct{ zapcore.Core }

// With implements zapcore.Core.
func (pln plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{
		Core: pln.Core.With(plain(fields)),
	}
}

// Check implements zapcore.Core.
func (pln plainErrors) Check(ent zapcore.Entry, chk *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if pln.Enabled(ent.Level) {
		return chk.AddCore(ent, pln)
	}
	return chk
}

// Write implements zapcore.Core.
func (pln plainErrors) Write(ent zapcore.Entry, fields []zapcore.Field) error {
	return pln.Core.Write(ent, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
	fields = slices.Clone(fields)
	for num, fld := range fields {
		if err, ok := fld.Interface.(error); ok && fld.Type == zapcore.ErrorType {
			fields[num] = zap.String(fld.Key, err.Error())
		}
	}
	return fields
}

func encoderConfig() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		MessageKey:     "event",
		LevelKey:       "level",
		TimeKey:        "time",
		NameKey:        "area",
		LineEnding:     zapcore.DefaultLineEnding,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
}
