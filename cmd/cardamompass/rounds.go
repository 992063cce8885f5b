package main

import (
	"fmt"

	"cardamompass/internal/load/rounds"
)

// RoundsCmd shows how the scores of the users' standard days changed over time.
type RoundsCmd struct {
	Journal string `arg:"" help:"Folder with the journal of the users' bench." type:"existingdir"`
	Plot    string `help:"Write the mean worth by score to this PNG file." type:"path"`
}

// Run prints the scores in the journal, oldest first.
func (cmd *RoundsCmd) Run(env Env) (err error) {
	rds, err := rounds.Read(cmd.Journal)
	if err != nil {
		return err
	}
	for _, rnd := range rds {
		if _, err = fmt.Fprintf(env.Out, "at=%s site=%s days=%d worth=%.3f mark=%.3f why=%q\n",
			rnd.At.Format("2006-01-02T15:04:05"), rnd.Site, rnd.Days, rnd.Worth, rnd.Mark, rnd.Why); err != nil {
			return err
		}
	}
	if cmd.Plot == "" {
		return nil
	}
	return rounds.WritePlot(rds, cmd.Plot)
}
