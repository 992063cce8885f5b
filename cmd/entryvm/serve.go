package main

import (
	"math"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/conf/steer"
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
	// memoryFraction is the fraction of the memory limit that is set as the soft memory limit of the Go runtime, near which
	// the garbage collector runs more often.
	memoryFraction = 0.6
)

// ServeCmd runs an entry VM.
type ServeCmd struct {
	Settings string `help:"Settings file; by default the one named in the environment."`
	Steering string `help:"Steering file, JSON with comments; by default none, and all of its settings have their defaults." type:"path" xor:"steering"`
	// HedgeLimitPercent is for VMs that have no file system to put a steering file on.
	HedgeLimitPercent int    `help:"The setting hedge-limit-percent where there is no steering file, 0 to 20." xor:"steering"`
	LogLevel          string `help:"Lowest level of log lines." default:"info" enum:"debug,info,warn,error"`
}

// Run serves until SIGTERM or SIGINT requests a planned stop, and returns when the stop is complete.
func (cmd *ServeCmd) Run() (err error) {
	path := settingsPath(cmd.Settings, platform.SettingsVariable)
	set, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	steering, err := cmd.steering()
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
	nod, cleanup, err := newNode(set, steering, log, mtr, func() int64 { return log.Dropped() + out.Dropped() })
	if err != nil {
		return err
	}
	defer cleanup()
	log.Info("started", zap.String("failure-domain", string(set.FailureDomain)), zap.String("store", set.StoreAddress))
	waitForStop(signals, log.Logger, watchedFiles(path, cmd.Steering, nod, log.Logger))
	nod.Stop()
	log.Info("stopped", zap.Int64("lines-dropped", log.Dropped()+out.Dropped()))
	return nil
}

// steering returns the settings of the steering file or of the flags in its place.
func (cmd *ServeCmd) steering() (set steer.Settings, err error) {
	if cmd.Steering != "" {
		return steer.Load(cmd.Steering)
	}
	return steer.Settings{
		HedgeLimitPercent: cmd.HedgeLimitPercent,
	}.Checked()
}

func memoryLimit(limit int64) (size int64) {
	if limit <= 0 {
		return math.MaxInt64
	}
	return int64(memoryFraction * float64(limit))
}

func newNode(
	set cardamompass.VMSettings, steering steer.Settings, log *logkv.Logger, mtr *metric.Metrics, dropped func() int64,
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
		Steering:     steering,
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
