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
	scores, err := rounds.Read(cmd.Journal)
	if err != nil {
		return err
	}
	for _, scr := range scores {
		if _, err = fmt.Fprintf(env.Out, "at=%s site=%s days=%d worth=%.3f mark=%.3f why=%q\n",
			scr.At.Format("2006-01-02T15:04:05"), scr.Site, scr.Days, scr.Worth, scr.FullScore, scr.Reason); err != nil {
			return err
		}
	}
	if cmd.Plot == "" {
		return nil
	}
	return rounds.WritePlot(scores, cmd.Plot)
}
