package main

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/node"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/obs/logkv"
	"cardamompass/internal/obs/metric"
	"cardamompass/platform"
)

const (
	// linesPerSecond is the rate limit of log lines with the same message. Failed and refused requests have messages of
	// their own, so that the lines of successful requests never displace theirs.
	linesPerSecond = 200
	// storeUserTimeout is the TCP user timeout of connections to the store, the longest time that sent data may stay
	// unacknowledged.
	storeUserTimeout = time.Second
	// settingsInterval is the interval at which the settings file is checked for a change, since it may change without a signal.
	settingsInterval = time.Second
	// memoryFraction is the fraction of the memory limit that is set as the soft memory limit of the Go runtime, near which
	// the garbage collector runs more often.
	memoryFraction = 0.6
)

// ServeCmd runs an entry VM.
type ServeCmd struct {
	Settings string `help:"Settings file; by default the one named in the environment."`
	LogLevel string `help:"Lowest level of log lines." default:"info" enum:"debug,info,warn,error"`
}

// Run serves until SIGTERM or SIGINT requests a planned stop, and returns when the stop is complete.
func (cmd *ServeCmd) Run() (err error) {
	path := settingsPath(cmd.Settings, platform.SettingsVariable)
	set, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(memoryLimit(set.MemoryBytes))
	out, flush := logkv.NewAsync(os.Stdout)
	defer flush()
	log, sync, err := logkv.New(logkv.Config{
		Writer:           out,
		Level:            cmd.LogLevel,
		RepeatsPerSecond: linesPerSecond,
		Process:          string(set.ID),
	})
	if err != nil {
		return err
	}
	defer sync()
	mtr, stopMetrics := metric.New(metric.Config{})
	defer stopMetrics()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	nod, cleanup, err := newNode(set, log, mtr, func() int64 { return log.Dropped() + out.Dropped() })
	if err != nil {
		return err
	}
	defer cleanup()
	log.Info("started", zap.String("failure-domain", string(set.FailureDomain)), zap.String("store", set.StoreAddress))
	(&reloader{
		path:  path,
		log:   log.Logger,
		apply: nod.SetBounds,
	}).run(signals)
	nod.Stop()
	log.Info("stopped", zap.Int64("lines-dropped", log.Dropped()+out.Dropped()))
	return nil
}

func memoryLimit(limit int64) (size int64) {
	if limit <= 0 {
		return math.MaxInt64
	}
	return int64(memoryFraction * float64(limit))
}

func newNode(
	set cardamompass.VMSettings, log *logkv.Logger, mtr *metric.Metrics, dropped func() int64,
) (nod *node.Node, cleanup func(), err error) {
	calls := mtr.Scope()
	reg, closeRegistry := platform.NewRegistry(platform.RegistryConfig{
		Address:           set.StoreAddress,
		Regions:           set.Regions,
		Dial:              send.Dialer(storeUserTimeout),
		LinkBitsPerSecond: set.LinkBitsPerSecond,
		OnCall: func(call, result string) {
			calls.Tagged(map[string]string{
				"call":   call,
				"result": result,
			}).Counter("store-calls").Inc(1)
		},
	})
	nod, stop, err := node.New(node.Config{
		Settings:     set,
		Protocol:     platform.Protocol{},
		Registry:     reg,
		Tables:       reg,
		Clock:        cardamompass.SystemClock{},
		Log:          log.Logger,
		Metrics:      mtr,
		LinesDropped: dropped,
		Incarnation:  cardamompass.Incarnation(time.Now().UnixNano()),
	})
	if err != nil {
		closeRegistry()
		return nil, nil, err
	}
	return nod, func() {
		stop()
		closeRegistry()
	}, nil
}

// reloader checks the settings file again on SIGHUP and when its content changes.
type reloader struct {
	path  string
	log   *zap.Logger
	apply func(set cardamompass.VMSettings)
	last  []byte
}

// run returns when a signal requests a planned stop.
func (rld *reloader) run(signals <-chan os.Signal) {
	rld.last, _ = os.ReadFile(rld.path) // Run has just loaded it; if this read fails, the next check sees a change
	tck := time.NewTicker(settingsInterval)
	defer tck.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				rld.log.Info("signal", zap.String("signal", sig.String()))
				return
			}
			rld.reload(true)
		case <-tck.C:
			rld.reload(false)
		}
	}
}

// reload validates the file if it has changed or if requested is set, and applies it. The process keeps its settings if the file is not
// valid.
func (rld *reloader) reload(requested bool) {
	data, err := os.ReadFile(rld.path)
	if err != nil {
		rld.log.Warn("settings kept", zap.Error(err))
		return
	}
	if bytes.Equal(data, rld.last) && !requested {
		return
	}
	rld.last = data
	set, err := platform.ParseSettings(data)
	if err != nil {
		rld.log.Warn("settings kept", zap.Error(err))
		return
	}
	rld.apply(set)
	rld.log.Info("settings checked", zap.Bool("asked", requested))
}

// Run prints that the file is valid, or returns the error.
func (cmd *CheckCmd) Run() (err error) {
	set, err := platform.LoadSettings(cmd.File)
	if err != nil {
		return err
	}
	_, err = fmt.Printf("%s: valid; vm=%s region=%s failure-domain=%s\n", cmd.File, set.ID, set.Region, set.FailureDomain)
	return err
}
