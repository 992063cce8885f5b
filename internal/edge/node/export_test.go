package node

import "cardamompass"

// NewReporter returns the functions that report and withdraw a crash and the one that is called when the store has come back from a copy,
// and the clean-up function.
func NewReporter(cfg Config) (
	crashed, withdrawn func(crs cardamompass.Crash), restored func(ended string, lost []cardamompass.Crash), cleanup func(),
) {
	rpt, cleanup := newReporter(cfg)
	return rpt.crashed, rpt.withdrawn, rpt.restored, cleanup
}
