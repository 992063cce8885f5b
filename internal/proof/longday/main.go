// Command longday writes a day file for the users' bench: many overlapping changes of the configuration and of the targets, restarts and
// SIGHUPs over a minute and a half. It is planned work only unless faults are asked for. The same seed and counts give the same day.
//
//	go run ./internal/proof/longday --seed 1 > /tmp/day.toml
package main

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"

	"github.com/alecthomas/kong"
)

// margin is the time in seconds without changes at the begin and at the end of a day.
const margin = 2.0

type options struct {
	Seed     uint64  `default:"1"   help:"Seed of the day."`
	Length   float64 `default:"92"  help:"Length of the day in seconds."`
	Configs  int     `default:"120" help:"Number of changes of the configuration."`
	Targets  int     `default:"24"  help:"Number of changes of the targets: releases, targets that join or leave, addresses that are used again."`
	Restarts int     `default:"5"   help:"Number of rolling restarts, each of a part of the VMs."`
	Hups     int     `default:"20"  help:"Number of SIGHUPs, each to a part of the VMs."`
	Routes   int     `default:"0"   help:"Number of changes that add many routes."`
	Loads    int     `default:"0"   help:"Number of bursts of requests and of callers that leave early."`
	Faults   int     `default:"0"   help:"Number of faults of targets, links and the store."`
}

// entry is one entry of a day's plan.
type entry struct {
	at   float64
	text string
}

func main() {
	var opt options
	kong.Parse(&opt)
	if err := opt.write(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (opt options) write(out io.Writer) (err error) {
	rnd := rand.New(rand.NewPCG(opt.Seed, 0))
	var plan, faults []entry
	add := func(list *[]entry, count int, texts ...func() string) {
		for range count {
			*list = append(*list, entry{
				at:   margin + rnd.Float64()*(opt.Length-2*margin),
				text: texts[rnd.IntN(len(texts))](),
			})
		}
	}
	between := func(low, high float64) float64 { return low + rnd.Float64()*(high-low) }
	configChange := func() string {
		hows := []string{"route", "route", "weights", "timeout", "idle"}
		return fmt.Sprintf("kind = \"config_change\", how = %q", hows[rnd.IntN(len(hows))])
	}
	add(&plan, opt.Configs, configChange)
	add(&plan, opt.Targets,
		func() string {
			return fmt.Sprintf("kind = \"release\", share = %.2f, x = 4, gap_s = %.2f", between(0.1, 0.4), between(0.1, 0.5))
		},
		func() string { return fmt.Sprintf("kind = \"scale_out\", share = %.2f", between(0.05, 0.2)) },
		func() string { return fmt.Sprintf("kind = \"scale_in\", share = %.2f", between(0.03, 0.1)) },
		func() string {
			return fmt.Sprintf("kind = \"replace_with_reuse\", share = %.2f, how = \"drain\"", between(0.03, 0.1))
		},
	)
	add(&plan, opt.Restarts, func() string {
		return fmt.Sprintf("kind = \"roll_term\", share = %.2f, x = %d, gap_s = %.2f, how = \"busy\"", between(0.3, 1), 1+rnd.IntN(4), between(0.3, 1))
	})
	add(&plan, opt.Hups, func() string {
		return fmt.Sprintf("kind = \"hup\", share = %.2f, gap_s = %.2f", between(0.2, 1), between(0.1, 2))
	})
	add(&plan, opt.Routes, func() string { return fmt.Sprintf("kind = \"big_config\", count = %d", 20+rnd.IntN(200)) })
	add(&faults, opt.Loads,
		func() string {
			return fmt.Sprintf("kind = \"burst\", x = %.1f, for_s = %.1f", between(1.2, 2.5), between(1, 6))
		},
		func() string {
			return fmt.Sprintf("kind = \"give_up\", share = %.2f, for_s = %.1f", between(0.1, 0.4), between(1, 6))
		},
	)
	add(&faults, opt.Faults, func() string {
		kinds := []string{"srv_slow", "srv_grey", "answer_lost", "garble", "idle_race", "reset_conns", "lossy", "platform_slow", "platform_lost"}
		return fmt.Sprintf("kind = %q, for_s = %.1f", kinds[rnd.IntN(len(kinds))], between(1, 5))
	})
	if _, err = fmt.Fprintf(out, "[[day]]\nname = \"long-%d\"\nslot = \"trouble\"\nlength_s = %.1f\n", opt.Seed, opt.Length); err != nil {
		return err
	}
	if err = writeEntries(out, "faults", faults); err != nil {
		return err
	}
	return writeEntries(out, "plan", plan)
}

func writeEntries(out io.Writer, name string, list []entry) (err error) {
	slices.SortFunc(list, func(one, two entry) int { return cmp.Compare(one.at, two.at) })
	if _, err = fmt.Fprintf(out, "%s = [\n", name); err != nil {
		return err
	}
	for _, ent := range list {
		if _, err = fmt.Fprintf(out, "  { at = %.2f, %s },\n", ent.at, ent.text); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(out, "]")
	return err
}
