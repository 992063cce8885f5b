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
	// linesPerSecond bounds the log lines with the same message in a second. Lines of failed and refused requests have messages of their
	// own, so that lines of good requests never displace them.
	linesPerSecond = 200
	// storeSilence ends a connection to the store that does not confirm what was sent.
	storeSilence = time.Second
	// settingsInterval is the time between two looks at the settings file, which may change without a signal.
	settingsInterval = time.Second
	// memoryPart is the part of the memory limit at which the garbage collector works harder.
	memoryPart = 0.6
)

// ServeCmd runs an entry VM.
type ServeCmd struct {
	Settings string `help:"Settings file; by default the one named in the environment."`
	LogLevel string `help:"Lowest level of log lines." default:"info" enum:"debug,info,warn,error"`
}

// Run serves until SIGTERM or SIGINT asks for a planned stop, and returns when that is done.
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
		path: path,
		log:  log.Logger,
	}).run(signals)
	nod.Stop()
	log.Info("stopped", zap.Int64("lines-dropped", log.Dropped()+out.Dropped()))
	return nil
}

func memoryLimit(limit int64) (size int64) {
	if limit <= 0 {
		return math.MaxInt64
	}
	return int64(memoryPart * float64(limit))
}

func newNode(
	set cardamompass.VMSettings, log *logkv.Logger, mtr *metric.Metrics, dropped func() int64,
) (nod *node.Node, cleanup func(), err error) {
	calls := mtr.Scope()
	reg, closeRegistry := platform.NewRegistry(platform.RegistryConfig{
		Address: set.StoreAddress,
		Regions: set.Regions,
		Dial:    send.Dialer(storeSilence),
		Called: func(call, result string) {
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

// reloader looks at the settings file again at SIGHUP and when it changes.
type reloader struct {
	path string
	log  *zap.Logger
	last []byte
}

// run returns when a signal asks for a planned stop.
func (rld *reloader) run(signals <-chan os.Signal) {
	rld.last, _ = os.ReadFile(rld.path) // it was read a moment ago; a failure shows as a change
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

// reload checks a changed file. Addresses and names hold until the process starts again; a file with a fault changes nothing.
func (rld *reloader) reload(asked bool) {
	data, err := os.ReadFile(rld.path)
	if err != nil {
		rld.log.Warn("settings kept", zap.Error(err))
		return
	}
	if bytes.Equal(data, rld.last) && !asked {
		return
	}
	rld.last = data
	if _, err = platform.ParseSettings(data); err != nil {
		rld.log.Warn("settings kept", zap.Error(err))
		return
	}
	rld.log.Info("settings checked", zap.Bool("asked", asked))
}

// Run reports that the file is valid, or what is wrong.
func (cmd *CheckCmd) Run() (err error) {
	set, err := platform.LoadSettings(cmd.File)
	if err != nil {
		return err
	}
	_, err = fmt.Printf("%s: valid; vm=%s region=%s failure-domain=%s\n", cmd.File, set.ID, set.Region, set.FailureDomain)
	return err
}
