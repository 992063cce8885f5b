// Package rounds reads what the users' bench has written: its journal, to show how the worth of the standard days changed from score to
// score, and its reports of single days, to show the latency by kind of request.
//
// The journal holds one JSON file for each run. Only whole scores count: runs of other kinds, and days that a score draws anew, are left out,
// since their figures don't compare.
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

// drawnDay begins the names of days that a score draws anew.
const drawnDay = "fresh-"

// Round is one score of the standard days of a site.
type Round struct {
	At   time.Time
	Site string
	// Why is the reason that was given for the run.
	Why string
	// Worth is the mean over the standard days of the credit earned less prices, Mark the mean of what the site asks for a full score.
	Worth, Mark float64
	// Days is the number of standard days.
	Days int
}

// entry is a file of the journal; fields that are not used are left out.
type entry struct {
	At   []string `json:"at"` // begin and end; the end is empty for a run that did not finish
	Cmd  string   `json:"cmd"`
	Why  string   `json:"why"`
	Site string   `json:"site"`
	Days []struct {
		Name string  `json:"name"`
		G    float64 `json:"G"`   // worth
		Top  float64 `json:"top"` // worth of a full score
	} `json:"days"`
}

// Read returns the scores in the journal at dir, the oldest first. A file that can't be read is an error that names it.
func Read(dir string) (rds []Round, err error) {
	defer func() { err = errors.Wrap(err, "journal") }()
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		rnd, ok, err := readEntry(path)
		if err != nil {
			return nil, err
		}
		if ok {
			rds = append(rds, rnd)
		}
	}
	slices.SortStableFunc(rds, func(one, two Round) int { return one.At.Compare(two.At) })
	return rds, nil
}

// readEntry returns the round of a file; ok is false for a file that holds no score. Its errors name the file.
func readEntry(path string) (rnd Round, ok bool, err error) {
	defer func() { err = errors.Wrap(err, filepath.Base(path)) }()
	var ent entry
	if err = readFile(path, &ent); err != nil {
		return rnd, false, err
	}
	if ent.Cmd != "score" || len(ent.Days) == 0 {
		return rnd, false, nil
	}
	rnd = Round{
		Site: ent.Site,
		Why:  ent.Why,
	}
	if rnd.At, err = ent.begin(); err != nil {
		return rnd, false, err
	}
	for _, day := range ent.Days {
		if strings.HasPrefix(day.Name, drawnDay) {
			continue
		}
		rnd.Days++
		rnd.Worth += day.G
		rnd.Mark += day.Top
	}
	if rnd.Days == 0 {
		return rnd, false, nil
	}
	rnd.Worth /= float64(rnd.Days)
	rnd.Mark /= float64(rnd.Days)
	return rnd, true, nil
}

// begin returns the time at which the run began.
func (ent *entry) begin() (at time.Time, err error) {
	if len(ent.At) == 0 {
		return at, errors.New("the entry has no time")
	}
	return time.Parse(time.RFC3339, ent.At[0])
}

// readFile decodes a JSON file.
func readFile(path string, value any) (err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, value)
}

// whole returns the rounds of a site with the most days, since a score may be of a few days only.
func whole(rds []Round, site string) (out []Round) {
	most := 0
	for _, rnd := range rds {
		if rnd.Site == site {
			most = max(most, rnd.Days)
		}
	}
	for _, rnd := range rds {
		if rnd.Site == site && rnd.Days == most {
			out = append(out, rnd)
		}
	}
	return out
}

// Sites returns the names of the sites in alphabetical order.
func Sites(rds []Round) (sites []string) {
	for _, rnd := range rds {
		sites = append(sites, rnd.Site)
	}
	slices.Sort(sites)
	return slices.Compact(sites)
}
