package crash_test

import (
	"fmt"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/steer/crash"
)

const content = "00ff"

var begin = time.Unix(1_700_000_000, 0)

// reports returns crashes of the content at so many instances.
func reports(count int) (list []cardamompass.Crash) {
	for num := range count {
		list = append(list, cardamompass.Crash{
			Fingerprint: content,
			Instance:    cardamompass.InstanceID(fmt.Sprint("i-", num)),
			StartMillis: 100,
		})
	}
	return list
}

func tries() (ok bool) { return true }

// Guards against content that is refused too early or not at all, and against crashes that count twice since this VM has seen them and read
// their reports.
func TestRefused(t *testing.T) {
	all := reports(crash.Limit)
	tests := []struct {
		name    string
		own     []cardamompass.Crash
		reports []cardamompass.Crash
		want    bool
	}{
		{"no crash", nil, nil, false},
		{"crashes below the limit", nil, all[1:], false},
		{"reported crashes", nil, all, true},
		{"own crashes before their reports are read", all, nil, true},
		{"own and reported crashes", all[:1], all[1:], true},
		{"own crashes that are reported", all[:2], all[:2], false},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			grd := crash.New()
			for _, crs := range tst.own {
				grd.Crashed(crs, begin)
			}
			if got := grd.Refused(content, tst.reports, nil, begin); got != tst.want {
				t.Errorf("refused: %v", got)
			}
			if grd.Refused("other", nil, nil, begin) {
				t.Error("other content is refused")
			}
		})
	}
}

// Guards against content that one VM refuses for good, because the reports of the crashes that it has seen lapsed before it looked at them.
func TestOwnCrashesEnd(t *testing.T) {
	grd := crash.New()
	for _, crs := range reports(crash.Limit) {
		grd.Crashed(crs, begin)
	}
	if !grd.Refused(content, nil, nil, begin.Add(time.Minute)) {
		t.Error("not refused before the reports are read")
	}
	if grd.Refused(content, nil, nil, begin.Add(11*time.Minute)) {
		t.Error("refused after the reports have lapsed")
	}
}

// Guards against an answer that clears content of later crashes, and against content that other VMs go on refusing although a target has
// survived it.
func TestSurvived(t *testing.T) {
	grd, all := crash.New(), reports(2*crash.Limit)
	if got := grd.Survived(content, all[:2], begin); len(got) != 0 {
		t.Errorf("withdrawn below the limit: %v", got)
	}
	if grd.Refused(content, all[:2+crash.Limit-1], nil, begin) {
		t.Error("refused because of crashes before the answer")
	}
	if !grd.Refused(content, all[:2+crash.Limit], nil, begin) {
		t.Error("not refused after crashes behind the answer")
	}
	if got := grd.Survived(content, all[:2+crash.Limit], begin); len(got) != crash.Limit {
		t.Errorf("withdrawn: %v", got)
	}
	if grd.Refused(content, all[:2+crash.Limit], nil, begin) {
		t.Error("refused after an answer")
	}
}

// Guards against answers that clear content though its target has not run it, or not to its end.
func TestStatuses(t *testing.T) {
	for status, want := range map[int]bool{
		200: true, 304: true, 404: true, 409: true, 408: false, 421: false, 429: false, 500: false, 502: false, 503: false, 504: false,
	} {
		if got := crash.Survived(status); got != want {
			t.Errorf("status %d: %v", status, got)
		}
	}
}

// Guards against content that stays refused after crashes by coincidence, and against more late retries of content that crashes each target
// than the platform allows.
func TestTrials(t *testing.T) {
	grd, crashes, through := crash.New(), reports(crash.Limit), 0
	for sec := range 600 {
		now := begin.Add(time.Duration(sec) * time.Second)
		if !grd.Refused(content, crashes, nil, now) {
			t.Fatalf("let through at a VM that does not try, after %d s", sec)
		}
		if grd.Refused(content, crashes, tries, now) {
			continue
		}
		through++
		if sec < 60 {
			t.Errorf("let through after %d s", sec)
		}
		if !grd.Refused(content, crashes, tries, now) {
			t.Errorf("let through twice after %d s", sec)
		}
		crashes = reports(len(crashes) + 1)
	}
	if through == 0 || through > crash.Trials {
		t.Errorf("%d let through", through)
	}
}
