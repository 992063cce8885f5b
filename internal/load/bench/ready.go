package bench

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// steadyTime bounds the wait for the division of the slots after the start of a site.
	steadyTime = 20 * time.Second
	pollTime   = 10 * time.Millisecond
	// slotsPrefix begins the names of resources that are slots.
	slotsPrefix = "slots/"
)

// awaitSteady waits until every entry VM owns at least half of an equal part of each kind of slots, so that a load measures
// the steering and not the first division of the ledger. The naive baseline has no shares and needs no wait.
func (sit *Site) awaitSteady() (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), steadyTime)
	defer cancel()
	if !await(ctx, func() bool { return sit.uneven() == "" }) {
		return errors.Errorf("slots are not divided after %v: %s", steadyTime, sit.uneven())
	}
	return nil
}

// uneven names an entry VM and a resource of which it owns less than half of an equal part.
func (sit *Site) uneven() string {
	for _, prc := range sit.VMs {
		sta := prc.State()
		for _, res := range sta.Shares.Resources {
			part := res.Capacity / int64(len(sit.VMs))
			if strings.HasPrefix(res.Name, slotsPrefix) && res.Owned < max(1, part/2) {
				return strings.Join([]string{string(sta.VM.ID), res.Name}, " ")
			}
		}
	}
	return ""
}

// await polls until ready returns true and reports false when ctx ended first.
func await(ctx context.Context, ready func() bool) bool {
	for !ready() {
		if !sleepUntil(ctx, time.Now().Add(pollTime)) {
			return false
		}
	}
	return true
}
