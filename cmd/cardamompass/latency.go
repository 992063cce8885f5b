package main

import (
	"fmt"
	"time"

	"cardamompass/internal/load/rounds"
)

// LatencyCmd shows the latency by kind of request for days of the users' bench.
type LatencyCmd struct {
	Reports []string                 `arg:"" help:"Reports of days, as written by the bench with --report." type:"existingfile"`
	Aim     map[string]time.Duration `help:"Latency objective of a kind, for example kind=500ms; may be repeated." mapsep:","`
	Plot    string                   `help:"Write the latencies to this PNG file." type:"path"`
}

// Run prints a line for each day and kind, in the order of the reports.
func (cmd *LatencyCmd) Run(env Env) (err error) {
	var days []rounds.Day
	for _, path := range cmd.Reports {
		day, err := rounds.ReadDay(path)
		if err != nil {
			return err
		}
		days = append(days, day)
		for _, knd := range day.Kinds {
			if _, err = fmt.Fprintf(env.Out, "day=%s kind=%s requests=%d in-aim=%.3f p50=%v p99=%v\n", day.Name, knd.Name, knd.Requests,
				float64(knd.InAim)/float64(max(1, knd.Requests)), knd.Median.Round(time.Millisecond), knd.P99.Round(time.Millisecond)); err != nil {
				return err
			}
		}
	}
	if cmd.Plot == "" {
		return nil
	}
	return rounds.WriteLatency(days, cmd.Aim, cmd.Plot)
}
