package pfleet

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Violations returns what broke a promise to callers or targets, from what both saw: work that ran twice, refusals of work that ran,
// answers that are not whole or not the caller's own, requests that changed on their way, and more repeats than allowed.
func Violations(sent []Result, targets []*Target) (found []string) {
	bySent := make(map[string]Result, len(sent))
	for _, snt := range sent {
		bySent[snt.ID] = snt
		if snt.Status == http.StatusOK && !snt.Whole {
			found = append(found, fmt.Sprintf("%s: a success that is not the whole answer to this request", snt.ID))
		}
	}
	runs := make(map[string]int)
	var repeats []time.Time
	for _, tgt := range targets {
		for _, run := range tgt.Runs() {
			runs[run.ID]++
			if runs[run.ID] > 1 {
				repeats = append(repeats, run.At)
			}
			snt, ok := bySent[run.ID]
			want := "body of " + run.ID
			if snt.Idempotent {
				want = ""
			}
			if !ok || run.Path != snt.Path || run.Body != want {
				found = append(found, fmt.Sprintf("%s: ran as %s %s with body %q, which nobody sent", run.ID, run.Method, run.Path, run.Body))
			}
		}
	}
	for id, count := range runs {
		snt := bySent[id]
		switch {
		case snt.Idempotent:
		case count > 1:
			found = append(found, fmt.Sprintf("%s: ran %d times, status %d", id, count, snt.Status))
		case refusal(snt.Status):
			found = append(found, fmt.Sprintf("%s: refused with %d, but it ran", id, snt.Status))
		}
	}
	return append(found, tooManyRepeats(sent, repeats)...)
}

func refusal(status int) (ok bool) {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

// tooManyRepeats checks the bound on repeats in every window of ten seconds.
func tooManyRepeats(sent []Result, repeats []time.Time) (found []string) {
	const window = 10 * time.Second
	slices.SortFunc(repeats, time.Time.Compare)
	for num, begin := range repeats {
		count, requests := 0, 0
		for _, tim := range repeats[num:] {
			if tim.Sub(begin) < window {
				count++
			}
		}
		for _, snt := range sent {
			if ela := snt.At.Sub(begin); ela > -window/2 && ela < window {
				requests++
			}
		}
		if float64(count) > RetryRatio*float64(requests)+RetrySlack {
			return []string{fmt.Sprintf("%d repeats within 10 s of %v, with %d requests", count, begin, requests)}
		}
	}
	return nil
}

// RunsAfter returns the runs at a target of requests that were sent later than a moment.
func RunsAfter(sent []Result, tgt *Target, moment time.Time) (count int) {
	late := make(map[string]bool)
	for _, snt := range sent {
		late[snt.ID] = snt.At.After(moment)
	}
	for _, run := range tgt.Runs() {
		if late[run.ID] {
			count++
		}
	}
	return count
}

// Unanswered returns the requests that were written whole and have no answer.
func Unanswered(sent []Result) (cut []Result) {
	for _, snt := range sent {
		if snt.Err != nil && snt.Written {
			cut = append(cut, snt)
		}
	}
	return cut
}
