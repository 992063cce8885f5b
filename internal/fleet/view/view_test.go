package view_test

import (
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/fleet/view"
)

var start = time.Unix(1000, 0)

func instance(id string) (chg cardamompass.Change) {
	return cardamompass.Change{
		Instance: &cardamompass.Instance{
			ID:      cardamompass.InstanceID(id),
			Service: "svc",
			Slots:   6,
		},
	}
}

func table(version uint64) (chg cardamompass.Change) {
	return cardamompass.Change{
		Table: &cardamompass.RoutingTable{
			Version: version,
		},
	}
}

func gone(id string) (chg cardamompass.Change) {
	return cardamompass.Change{
		InstanceRemoved: cardamompass.InstanceID(id),
	}
}

// Guards against a VM that reverts to an older routing table, from a delayed change or a listing.
func TestTableNeverGoesBack(t *testing.T) {
	vew := view.Empty().WithListing([]cardamompass.Change{table(7)}, cardamompass.Position{Revision: 5}, view.Outage{}, start)
	vew = vew.WithChanges([]cardamompass.Change{table(3)}, 6, view.Outage{}, start)
	vew = vew.WithListing([]cardamompass.Change{table(5)}, cardamompass.Position{Revision: 7}, view.Outage{}, start)
	vew = vew.WithListing(nil, cardamompass.Position{Revision: 8}, view.Outage{}, start)
	if vew.Table.Version != 7 {
		t.Fatalf("version %d, want 7", vew.Table.Version)
	}
}

// Guards against the loss of all targets when their entries lapse during an outage of the store, and against keeping targets that
// have gone.
func TestInstancesThatDisappear(t *testing.T) {
	tests := []struct {
		name    string
		out     view.Outage
		now     time.Time
		leaving bool
		usable  bool
		purged  bool // ReregisterTime after the removal
	}{
		{"store available", view.Outage{}, start, false, false, true},
		{"during an outage", view.Outage{Ongoing: true}, start, false, true, true},
		{"just after an outage", view.Outage{Ended: start.Add(-time.Second)}, start, false, true, true},
		{"long after an outage", view.Outage{Ended: start.Add(-5 * time.Second)}, start, false, false, true},
		{"leaving, during an outage", view.Outage{Ongoing: true}, start, true, false, true},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			chg := instance("i-1")
			chg.Instance.Leaving = tst.leaving
			vew := view.Empty().WithChanges([]cardamompass.Change{chg}, 1, view.Outage{}, start)
			vew = vew.WithChanges([]cardamompass.Change{gone("i-1")}, 2, tst.out, tst.now)
			if got := len(vew.Instances("svc")) == 1; got != tst.usable {
				t.Fatalf("usable %v, want %v", got, tst.usable)
			}
			vew, _ = vew.WithoutMissing(tst.now.Add(view.ReregisterTime + time.Millisecond))
			if got := len(vew.Instances("svc")) == 0; got != tst.purged {
				t.Fatalf("purged %v, want %v", got, tst.purged)
			}
		})
	}
}

// Guards against removing a target that registered again in time.
func TestInstanceReturns(t *testing.T) {
	outage := view.Outage{
		Ongoing: true,
	}
	vew := view.Empty().WithChanges([]cardamompass.Change{instance("i-1")}, 1, view.Outage{}, start)
	vew = vew.WithListing(nil, cardamompass.Position{Revision: 2}, outage, start)
	vew = vew.WithChanges([]cardamompass.Change{instance("i-1")}, 3, view.Outage{Ended: start}, start)
	vew, lost := vew.WithoutMissing(start.Add(time.Minute))
	if len(lost) > 0 || len(vew.Instances("svc")) != 1 {
		t.Fatalf("lost %v", lost)
	}
}

// Guards against a target that stays in use after its entry was overwritten by content that can't be parsed.
func TestRejectedEntryRemovesInstance(t *testing.T) {
	vew := view.Empty().WithChanges([]cardamompass.Change{instance("i-1"), {
		InstanceRemoved: "i-1",
		Rejected:        &cardamompass.RejectedEntry{},
	}}, 2, view.Outage{Ongoing: true}, start)
	if len(vew.Instances("svc")) != 0 {
		t.Fatal("the instance is still used")
	}
}

// Guards against evacuations, VMs and crashes that stay active although a listing no longer contains them.
func TestListingReplaces(t *testing.T) {
	vew := view.Empty().WithChanges([]cardamompass.Change{
		{Evacuated: "z-1"},
		{VM: &cardamompass.VM{ID: "vm-1"}},
		{Crash: &cardamompass.Crash{Fingerprint: "c-1", Instance: "i-1"}},
	}, 1, view.Outage{}, start)
	if !vew.Evacuated("z-1") || len(vew.VMs()) != 1 || vew.Crashes("c-1") != 1 {
		t.Fatal("changes were not applied")
	}
	old := vew
	vew = vew.WithListing(nil, cardamompass.Position{Revision: 2}, view.Outage{}, start)
	if vew.Evacuated("z-1") || len(vew.VMs()) != 0 || vew.Crashes("c-1") != 0 {
		t.Fatal("entries that the listing does not contain were kept")
	}
	if !old.Evacuated("z-1") {
		t.Fatal("a new view changed the old one")
	}
}

// Guards against crashes of an instance that count once although it had started again, and against crashes that count twice because
// several VMs report them, of which one runs an earlier version.
func TestCrashCount(t *testing.T) {
	tests := []struct {
		name   string
		starts []int64 // of the crashed instance i-1
		others []cardamompass.InstanceID
		want   int
	}{
		{"none", nil, nil, 0},
		{"different instances", nil, []cardamompass.InstanceID{"i-2", "i-3"}, 2},
		{"the same start", []int64{100, 100}, nil, 1},
		{"different starts", []int64{100, 200, 300}, nil, 3},
		{"different starts and instances", []int64{100, 200}, []cardamompass.InstanceID{"i-2"}, 3},
		{"without a start", []int64{0, 0}, nil, 1},
		{"with and without a start", []int64{0, 100}, nil, 1},
		{"with several starts and without one", []int64{100, 0, 200}, nil, 2},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			chs := []cardamompass.Change{{Crash: &cardamompass.Crash{Fingerprint: "other", Instance: "i-1"}}}
			for _, stt := range tst.starts {
				chs = append(chs, cardamompass.Change{Crash: &cardamompass.Crash{Fingerprint: "c-1", Instance: "i-1", StartMillis: stt}})
			}
			for _, id := range tst.others {
				chs = append(chs, cardamompass.Change{Crash: &cardamompass.Crash{Fingerprint: "c-1", Instance: id}})
			}
			if got := view.Empty().WithChanges(chs, 1, view.Outage{}, start).Crashes("c-1"); got != tst.want {
				t.Fatalf("%d crashes, want %d", got, tst.want)
			}
		})
	}
}
