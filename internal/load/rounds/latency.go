package rounds

import (
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Day holds the latencies of one day by kind of request.
type Day struct {
	// Name is the file name of the report without its extension.
	Name  string
	Kinds []Kind
}

// Kind is the latency of a kind of request on one day.
type Kind struct {
	Name string
	// Requests is the number of requests, InAim the number of them that were answered within the latency aim.
	Requests, InAim int
	Median, P99     time.Duration
}

// report is the bench's report of one day, reduced to the fields that are used.
type report struct {
	Classes []struct {
		Name  string  `json:"name"`
		N     int     `json:"n"`
		InAim int     `json:"in_aim"`
		P50   float64 `json:"p50_ms"`
		P99   float64 `json:"p99_ms"`
	} `json:"classes"`
}

// ReadDay reads the report of one day, as written by `fleetbench run --report`. A report without kinds of requests is an error.
// Errors name the file.
func ReadDay(path string) (day Day, err error) {
	defer func() { err = errors.Wrap(err, filepath.Base(path)) }()
	var rep report
	if err = readJSON(path, &rep); err != nil {
		return day, err
	}
	if len(rep.Classes) == 0 {
		return day, errors.New("the report has no kinds of requests")
	}
	day.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	for _, cls := range rep.Classes {
		day.Kinds = append(day.Kinds, Kind{
			Name:     cls.Name,
			Requests: cls.N,
			InAim:    cls.InAim,
			Median:   fromMilliseconds(cls.P50),
			P99:      fromMilliseconds(cls.P99),
		})
	}
	return day, nil
}

func fromMilliseconds(num float64) (dur time.Duration) {
	return time.Duration(num * float64(time.Millisecond))
}

// kindNames returns the distinct names of the kinds of all days in alphabetical order.
func kindNames(days []Day) (names []string) {
	for _, day := range days {
		for _, knd := range day.Kinds {
			names = append(names, knd.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
