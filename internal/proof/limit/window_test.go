package limit_test

import (
	"slices"
	"testing"
	"time"

	"cardamompass/internal/stand/procs"
)

// span is the time within which a request was permitted, after its caller sent it and before its target ran it, or in which it ran.
type span struct {
	from time.Time
	to   time.Time
}

// spansOf returns the spans of all runs of the sent requests on the targets.
func spansOf(tst *testing.T, sent []sending, tgts []*procs.Target) (spans []span) {
	tst.Helper()
	began := make(map[string]time.Time, len(sent))
	for _, snd := range sent {
		began[snd.operation] = snd.began
	}
	for _, tgt := range tgts {
		runs, err := tgt.Runs()
		must(tst, err)
		if runs.Total > len(runs.Last) {
			tst.Fatalf("%s ran %d requests and lists only %d", tgt.Name(), runs.Total, len(runs.Last))
		}
		for _, run := range runs.Last {
			if from, ok := began[run.Operation]; ok {
				spans = append(spans, span{
					from: from,
					to:   run.At,
				})
			}
		}
	}
	slices.SortFunc(spans, func(one, two span) int { return one.from.Compare(two.from) })
	return spans
}

// certainly returns the largest number of spans that lie wholly within one window of the given length. The spans are in
// the order of their beginnings.
func certainly(spans []span, window time.Duration) (most int) {
	for num := range spans {
		ends := spans[num].from.Add(window)
		count := 0
		for _, spn := range spans[num:] {
			if spn.from.After(ends) {
				break
			}
			if !spn.to.After(ends) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// ran returns the number of runs in the window of the given length that begins at the time.
func ran(spans []span, from time.Time, window time.Duration) (count int) {
	for _, spn := range spans {
		if !spn.to.Before(from) && spn.to.Before(from.Add(window)) {
			count++
		}
	}
	return count
}

// overCap reports whether more requests than the cap allows certainly passed within some window. Long windows find a
// small excess that lasts, which the waits of requests hide in short ones.
func overCap(tst *testing.T, what string, spans []span, perSecond int) (over bool) {
	tst.Helper()
	for _, seconds := range []int{1, 2, 5} {
		most := certainly(spans, time.Duration(seconds)*time.Second)
		tst.Logf("%s: of %d runs certainly %d within %d s, the cap is %d a second", what, len(spans), most, seconds, perSecond)
		over = over || most > seconds*perSecond
	}
	return over
}

// since returns the spans that begin at the time or later.
func since(spans []span, from time.Time) []span {
	return slices.DeleteFunc(slices.Clone(spans), func(spn span) bool { return spn.from.Before(from) })
}
