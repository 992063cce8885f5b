package crash_test

import (
	"slices"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/steer/crash"
)

// Guards against a crash that is counted for content which the crashed start of a target did not run then, and against memory that grows.
func TestAbandoned(t *testing.T) {
	begin := time.Unix(1000, 0)
	after := func(secs int) time.Time { return begin.Add(time.Duration(secs) * time.Second) }
	first, second := cardamompass.Instance{ID: "i-1", StartMillis: 1}, cardamompass.Instance{ID: "i-1", StartMillis: 2}
	abn := crash.NewAbandoned()
	abn.Add(first, "a", after(5))
	abn.Add(first, "a", after(3)) // does not shorten the time
	abn.Add(first, "b", after(2))
	abn.Add(second, "c", after(5))
	if list := abn.Instances(after(1)); len(list) != 2 {
		t.Fatalf("instances: %+v", list)
	}
	if list := abn.Take(first, after(4)); !slices.Equal(list, []string{"a"}) {
		t.Fatalf("contents of the first start: %v", list)
	}
	if list := abn.Take(first, after(4)); len(list) != 0 {
		t.Fatalf("contents that were taken: %v", list)
	}
	if list := abn.Instances(after(6)); len(list) != 0 {
		t.Fatalf("instances at the end: %+v", list)
	}
	for num := range 30000 {
		abn.Add(first, string(rune(num)), after(5))
	}
	if list := abn.Take(first, after(4)); len(list) != 10000 {
		t.Fatalf("%d contents are held", len(list))
	}
}
