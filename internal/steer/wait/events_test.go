package wait_test

import "time"

// event is something that happens in a model.
type event struct {
	at  time.Time
	num int
	run func()
}

type events []event

func (evs events) Len() int { return len(evs) }
func (evs events) Less(i, j int) bool {
	return evs[i].at.Before(evs[j].at) || evs[i].at.Equal(evs[j].at) && evs[i].num < evs[j].num
}
func (evs events) Swap(i, j int) { evs[i], evs[j] = evs[j], evs[i] }
func (evs *events) Push(item any) {
	*evs = append(*evs, item.(event))
}

func (evs *events) Pop() (item any) {
	old := *evs
	item, *evs = old[len(old)-1], old[:len(old)-1]
	return item
}
