package node

import "cardamompass"

// NewReporter returns the functions that report and withdraw a crash, and the clean-up function.
func NewReporter(cfg Config) (crashed, withdrawn func(crs cardamompass.Crash), cleanup func()) {
	rpt, cleanup := newReporter(cfg)
	return rpt.crashed, rpt.withdrawn, cleanup
}
