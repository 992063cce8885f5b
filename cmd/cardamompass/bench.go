package main

import (
	"context"
	"os"
	"time"

	"cardamompass/internal/load/bench"
)

// BenchCmd measures the current steering and the naive baseline under load.
type BenchCmd struct {
	Scenario string        `arg:"" help:"Scenario: stragglers, blocking, storm, cost or times."`
	Seed     uint64        `help:"Seed of arrivals, service times and faults." default:"1"`
	Repeats  int           `help:"Number of runs; the table shows the median and the range." default:"3"`
	Duration time.Duration `help:"Duration of each load." default:"4s"`
	Tries    int           `help:"Number of measurements of each time in the scenario times." default:"5"`
	JSON     bool          `help:"Print the report as JSON." name:"json"`
	State    string        `help:"File for entry VM state and recent slow decisions after each load with current steering." type:"path"`
	Plot     string        `help:"Write the latency curves to this PNG file." type:"path"`
}

// Run runs one scenario and prints its report.
func (cmd *BenchCmd) Run(ctx context.Context, env Env) (err error) {
	scn, err := bench.Find(cmd.Scenario)
	if err != nil {
		return err
	}
	cfg := bench.Config{
		Seed:     cmd.Seed,
		Repeats:  max(1, cmd.Repeats),
		Duration: cmd.Duration,
		Tries:    max(1, cmd.Tries),
	}
	if cmd.State != "" {
		fil, err := os.Create(cmd.State)
		if err != nil {
			return err
		}
		defer func() { _ = fil.Close() }()
		cfg.State = fil
	}
	rep, err := scn.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if cmd.Plot != "" {
		if err := rep.WritePlot(cmd.Plot); err != nil {
			return err
		}
	}
	if cmd.JSON {
		return rep.WriteJSON(env.Out)
	}
	return rep.WriteTable(env.Out)
}
