package main

import "go.uber.org/zap"

// Commands defines the command line.
type Commands = commands

// Settable is what the files are applied to.
type Settable = settable

// WatchFiles returns the function that is called every second, and with requested set on SIGHUP.
func WatchFiles(settings, steering string, nod Settable, log *zap.Logger) (check func(requested bool)) {
	files := watchedFiles(settings, steering, nod, log)
	return func(requested bool) {
		for _, rld := range files {
			rld.reload(requested)
		}
	}
}
