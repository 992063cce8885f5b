// Package steer reads the steering file, which holds the project's own settings of how requests are served on the users' platform. The
// settings of the platform have a file of their own.
//
// The file is JSON with comments and kebab-case names. Each setting has a default, with which a VM behaves as it does without the file.
package steer

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/conf/jsonc"
	"cardamompass/internal/steer/hedge"
)

// maxFileBytes bounds the size of the file.
const maxFileBytes = 1 << 20

// Settings are the settings of the steering file. They are immutable.
type Settings struct {
	// HedgeLimitPercent limits the requests to second targets of all VMs, in percent of the requests in any 10 s. 0 turns the limited
	// hedge off: hedges then follow the objective of the route and the retry budget alone.
	HedgeLimitPercent int
}

// Checked returns the settings, or an InvalidError if a value is out of range.
func (set Settings) Checked() (out Settings, err error) {
	if set.HedgeLimitPercent < 0 || set.HedgeLimitPercent > hedge.MaxPercent {
		return Settings{}, &cardamompass.InvalidError{
			Field:  "hedge-limit-percent",
			Reason: fmt.Sprintf("%d is not a percentage from 0 to %d", set.HedgeLimitPercent, hedge.MaxPercent),
		}
	}
	return set, nil
}

// Load reads the file at path. Each problem in the error has file, line and column.
func Load(path string) (set Settings, err error) {
	defer func() { err = errors.Wrap(err, "steering") }()
	inf, err := os.Stat(path)
	if err != nil {
		return set, err
	}
	if inf.Size() > maxFileBytes {
		return set, errors.Errorf("%s has %d bytes, at most %d are allowed", path, inf.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return set, err
	}
	return Parse(path, data)
}

// Parse parses the contents of a file. name is the file name in reported problems. Unknown names and values out of range are problems.
func Parse(name string, data []byte) (set Settings, err error) {
	nod, rep, err := jsonc.Parse(name, data, jsonc.WithComments)
	if err != nil {
		return Settings{}, err
	}
	obj := nod.Object()
	if mem, ok := obj.Get("hedge-limit-percent"); ok {
		num, _ := mem.Int(0, hedge.MaxPercent)
		set.HedgeLimitPercent = int(num)
	}
	obj.Close()
	if err = rep.Err(); err != nil {
		return Settings{}, err
	}
	return set, nil
}
