package main

import (
	"bytes"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/conf/steer"
	"cardamompass/internal/edge/node"
	"cardamompass/platform"
)

// settingsInterval is the interval at which the settings files are checked for a change, since they may change without a signal.
const settingsInterval = time.Second

// reloader reads one settings file again on SIGHUP and when its content changes.
type reloader struct {
	path string
	log  *zap.Logger
	// name is the first word of the log lines about the file.
	name string
	// apply validates the content of the file and applies it, or returns an error and changes nothing.
	apply func(data []byte) (err error)
	last  []byte
}

// settable is what the files are applied to.
type settable interface {
	SetBounds(set cardamompass.VMSettings)
	SetSteering(set steer.Settings)
}

var _ settable = (*node.Node)(nil)

// watchedFiles returns the reloaders of the platform's settings file and of the steering file, whose path may be empty.
func watchedFiles(settings, steering string, nod settable, log *zap.Logger) (files []*reloader) {
	last, _ := os.ReadFile(settings) // just loaded; if this read fails, the next check sees a change
	files = []*reloader{{
		path: settings,
		last: last,
		log:  log,
		name: "settings",
		apply: func(data []byte) (err error) {
			set, err := platform.ParseSettings(data)
			if err == nil {
				nod.SetBounds(set)
			}
			return err
		},
	}}
	if steering == "" {
		return files
	}
	// Without the last content, the first check applies and logs the file, also if it has changed during the start.
	return append(files, &reloader{
		path: steering,
		log:  log,
		name: "steering",
		apply: func(data []byte) (err error) {
			set, err := steer.Parse(steering, data)
			if err == nil {
				nod.SetSteering(set)
				log.Info("steering in force", zap.Int("hedge-limit-percent", set.HedgeLimitPercent))
			}
			return err
		},
	})
}

// waitForStop keeps the files up to date and returns when a signal requests a planned stop.
func waitForStop(signals <-chan os.Signal, log *zap.Logger, files []*reloader) {
	tck := time.NewTicker(settingsInterval)
	defer tck.Stop()
	for {
		requested := false
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				log.Info("signal", zap.String("signal", sig.String()))
				return
			}
			requested = true
		case <-tck.C:
		}
		for _, rld := range files {
			rld.reload(requested)
		}
	}
}

// reload validates the file if it has changed or if requested is set, and applies it. The last valid file stays in force if this one is
// not valid.
func (rld *reloader) reload(requested bool) {
	data, err := os.ReadFile(rld.path)
	if err != nil {
		rld.log.Warn(rld.name+" kept", zap.Error(err))
		return
	}
	if bytes.Equal(data, rld.last) && !requested {
		return
	}
	rld.last = data
	if err = rld.apply(data); err != nil {
		rld.log.Warn(rld.name+" kept", zap.Error(err))
		return
	}
	rld.log.Info(rld.name+" checked", zap.Bool("asked", requested))
}
