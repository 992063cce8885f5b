package pfleet

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Violations compares the callers' results with the runs at the targets and returns the violated guarantees: non-idempotent requests
// that ran more than once, refused requests that ran, responses that are malformed, incomplete or belong to another request, requests
// that were altered on the way, and more retries than allowed.
func Violations(results []Result, targets []*Target) (found []string) {
	byID := make(map[string]Result, len(results))
	for _, res := range results {
		byID[res.ID] = res
		if res.HeadErr != nil {
			found = append(found, fmt.Sprintf("%s: status %d, %v", res.ID, res.Status, res.HeadErr))
		}
		if res.Status == http.StatusOK && !res.Whole {
			found = append(found, fmt.Sprintf("%s: status 200, but the seal or the body of the response does not match the request", res.ID))
		}
	}
	runs := make(map[string]int)
	var retries []time.Time
	for _, tgt := range targets {
		for _, run := range tgt.Runs() {
			runs[run.ID]++
			if runs[run.ID] > 1 {
				retries = append(retries, run.At)
			}
			res, ok := byID[run.ID]
			if !ok || run.Path != res.Path || (!run.BodyUnread && run.Body != requestBody(run.ID, res.BodySize)) {
				found = append(found, fmt.Sprintf("%s: ran as %s %s with body %.40q, but no such request was sent",
					run.ID, run.Method, run.Path, run.Body))
			}
		}
	}
	for id, count := range runs {
		res := byID[id]
		switch {
		case res.Idempotent:
		case count > 1:
			found = append(found, fmt.Sprintf("%s: non-idempotent request ran %d times, status %d", id, count, res.Status))
		case isRefusal(res.Status):
			found = append(found, fmt.Sprintf("%s: refused with status %d, but a target ran it", id, res.Status))
		}
	}
	return append(found, tooManyRetries(results, retries)...)
}

func isRefusal(status int) (ok bool) {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

// tooManyRetries reports the first window of 10 s whose retries exceed RetryRatio times the requests plus RetrySlack. It counts the
// requests sent from 5 s before the window until its end.
func tooManyRetries(results []Result, retries []time.Time) (found []string) {
	const window = 10 * time.Second
	slices.SortFunc(retries, time.Time.Compare)
	for num, begin := range retries {
		count, requests := 0, 0
		for _, tim := range retries[num:] {
			if tim.Sub(begin) < window {
				count++
			}
		}
		for _, res := range results {
			if ela := res.At.Sub(begin); ela > -window/2 && ela < window {
				requests++
			}
		}
		if float64(count) > RetryRatio*float64(requests)+RetrySlack {
			return []string{fmt.Sprintf("%d retries within 10 s of %v, with %d requests", count, begin, requests)}
		}
	}
	return nil
}

// RunsAfter returns how many runs at a target belong to requests that were sent after a moment.
func RunsAfter(results []Result, tgt *Target, moment time.Time) (count int) {
	late := make(map[string]bool)
	for _, res := range results {
		late[res.ID] = res.At.After(moment)
	}
	for _, run := range tgt.Runs() {
		if late[run.ID] {
			count++
		}
	}
	return count
}

// Unanswered returns the results of requests that were written completely but got no complete response.
func Unanswered(results []Result) (unanswered []Result) {
	for _, res := range results {
		if res.Err != nil && res.Written {
			unanswered = append(unanswered, res)
		}
	}
	return unanswered
}
