package rounds

import (
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Day is one day by kind of request.
type Day struct {
	// Name is the name of the report's file without its extension.
	Name  string
	Kinds []Kind
}

// Kind is the latency of a kind of request on one day.
type Kind struct {
	Name string
	// Requests is the number of requests, InAim how many of them were answered within the aim.
	Requests, InAim int
	Median, P99     time.Duration
}

// report is what the bench writes for one day; fields that are not used are left out.
type report struct {
	Classes []struct {
		Name  string  `json:"name"`
		N     int     `json:"n"`
		InAim int     `json:"in_aim"`
		P50   float64 `json:"p50_ms"`
		P99   float64 `json:"p99_ms"`
	} `json:"classes"`
}

// ReadDay returns the latencies in the report of one day, as `fleetbench run --report` writes it. A report without kinds is an error.
// Its errors name the file.
func ReadDay(path string) (day Day, err error) {
	defer func() { err = errors.Wrap(err, filepath.Base(path)) }()
	var rep report
	if err = readFile(path, &rep); err != nil {
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
			Median:   milliseconds(cls.P50),
			P99:      milliseconds(cls.P99),
		})
	}
	return day, nil
}

func milliseconds(num float64) (dur time.Duration) {
	return time.Duration(num * float64(time.Millisecond))
}

// kindNames returns the names of the kinds of all days in alphabetical order.
func kindNames(days []Day) (names []string) {
	for _, day := range days {
		for _, knd := range day.Kinds {
			names = append(names, knd.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
