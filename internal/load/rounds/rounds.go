// Package rounds reads and plots the output of the users' bench: its journal, for the worth of the standard days from score to score,
// and its reports of single days, for the latency by kind of request.
//
// The journal holds one JSON file per run. Only runs of the score command are read, and of these only the standard days: days that are
// generated anew for each score are excluded, since their figures are not comparable.
package rounds

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// generatedDayPrefix starts the names of days that are generated anew for each score.
const generatedDayPrefix = "fresh-"

// Score is the result of one score run over the standard days of a site.
type Score struct {
	At   time.Time
	Site string
	// Reason is the reason that was given for the run.
	Reason string
	// Worth is the mean over the standard days of the credit earned minus the prices paid, FullScore the mean of the worth that the
	// site requires for a full score.
	Worth, FullScore float64
	// Days is the number of standard days.
	Days int
}

// entry is a journal file, reduced to the fields that are used.
type entry struct {
	At   []string `json:"at"` // start and end; the end is empty or missing for a run that did not finish
	Cmd  string   `json:"cmd"`
	Why  string   `json:"why"`
	Site string   `json:"site"`
	Days []struct {
		Name string  `json:"name"`
		G    float64 `json:"G"`   // worth
		Top  float64 `json:"top"` // worth required for a full score
	} `json:"days"`
}

// Read returns the scores in the journal at dir, oldest first. If a file can't be read, the error names it.
func Read(dir string) (scores []Score, err error) {
	defer func() { err = errors.Wrap(err, "journal") }()
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		scr, ok, err := readEntry(path)
		if err != nil {
			return nil, err
		}
		if ok {
			scores = append(scores, scr)
		}
	}
	slices.SortStableFunc(scores, func(lhs, rhs Score) int { return lhs.At.Compare(rhs.At) })
	return scores, nil
}

// readEntry returns the score in a journal file; ok is false if the file holds none. Errors name the file.
func readEntry(path string) (scr Score, ok bool, err error) {
	defer func() { err = errors.Wrap(err, filepath.Base(path)) }()
	var ent entry
	if err = readJSON(path, &ent); err != nil {
		return scr, false, err
	}
	if ent.Cmd != "score" || len(ent.Days) == 0 {
		return scr, false, nil
	}
	scr = Score{
		Site:   ent.Site,
		Reason: ent.Why,
	}
	if scr.At, err = ent.startTime(); err != nil {
		return scr, false, err
	}
	for _, day := range ent.Days {
		if strings.HasPrefix(day.Name, generatedDayPrefix) {
			continue
		}
		scr.Days++
		scr.Worth += day.G
		scr.FullScore += day.Top
	}
	if scr.Days == 0 {
		return scr, false, nil
	}
	scr.Worth /= float64(scr.Days)
	scr.FullScore /= float64(scr.Days)
	return scr, true, nil
}

// startTime returns the time at which the run started.
func (ent *entry) startTime() (at time.Time, err error) {
	if len(ent.At) == 0 {
		return at, errors.New("the entry has no start time")
	}
	return time.Parse(time.RFC3339, ent.At[0])
}

// readJSON decodes a JSON file into value.
func readJSON(path string, value any) (err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, value)
}

// completeScores returns the scores of a site that have the most days, since a score can cover only some of the standard days.
func completeScores(scores []Score, site string) (out []Score) {
	most := 0
	for _, scr := range scores {
		if scr.Site == site {
			most = max(most, scr.Days)
		}
	}
	for _, scr := range scores {
		if scr.Site == site && scr.Days == most {
			out = append(out, scr)
		}
	}
	return out
}

// Sites returns the distinct names of the sites in alphabetical order.
func Sites(scores []Score) (sites []string) {
	for _, scr := range scores {
		sites = append(sites, scr.Site)
	}
	slices.Sort(sites)
	return slices.Compact(sites)
}
