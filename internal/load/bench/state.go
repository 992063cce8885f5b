package bench

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"cardamompass/internal/edge/dump"
	"cardamompass/internal/edge/entry"
)

// slowestDecisions is the number of decisions of each entry VM in the written state.
const slowestDecisions = 20

// writeState writes the state dump and the slowest recent decisions of each entry VM, nothing to a nil writer.
func (sit *Site) writeState(out io.Writer) (err error) {
	if out == nil {
		return nil
	}
	type state struct {
		State     entry.State     `json:"state"`
		Decisions []dump.Decision `json:"slowest-decisions"`
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	for _, prc := range sit.VMs {
		decs := prc.Decisions("")
		slices.SortFunc(decs, func(one, two dump.Decision) int { return cmp.Compare(length(two), length(one)) })
		err := enc.Encode(state{
			State:     prc.State(),
			Decisions: decs[:min(len(decs), slowestDecisions)],
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func length(dec dump.Decision) time.Duration {
	dur, _ := time.ParseDuration(dec.Duration)
	return dur
}
