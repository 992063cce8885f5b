package main_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"

	"cardamompass"
	main "cardamompass/cmd/entryvm"
	"cardamompass/internal/conf/steer"
)

// recorder records the limits that come into force.
type recorder struct{ limits []int }

func (rec *recorder) SetBounds(cardamompass.VMSettings) {}

func (rec *recorder) SetSteering(set steer.Settings) {
	rec.limits = append(rec.limits, set.HedgeLimitPercent)
}

// Guards against a file with a fault that replaces the last valid one or that ends the watch, and against a change that is not applied.
func TestSteeringFileIsReadAgain(t *testing.T) {
	path, rec := filepath.Join(t.TempDir(), "steering.jsonc"), &recorder{}
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`{"hedge-limit-percent": 5}`)
	check := main.WatchFiles("none", path, rec, zap.NewNop())
	check(false)
	check(false) // not changed
	write(`{"hedge-limit-percent": 50}`)
	check(false)
	write(`{"hedge-limit": 5}`)
	check(true)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	check(true)
	write(`{"hedge-limit-percent": 2}`)
	check(false)
	check(true) // applied once more on SIGHUP
	write(`{}`)
	check(false)
	if want := []int{5, 2, 2, 0}; !slices.Equal(rec.limits, want) {
		t.Fatalf("limits in force: %v, want %v", rec.limits, want)
	}
}

// Guards against a check that passes a file which the process would refuse.
func TestCheckSteering(t *testing.T) {
	if err := (&main.CheckCmd{Steering: "../../examples/steering.jsonc"}).Run(); err != nil {
		t.Error(err)
	}
	path := filepath.Join(t.TempDir(), "steering.jsonc")
	if err := os.WriteFile(path, []byte(`{"hedge-limit-percent": 50}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := (&main.CheckCmd{Steering: path}).Run(); err == nil || !strings.Contains(err.Error(), "50 is out of range") {
		t.Errorf("error %v", err)
	}
	if err := (&main.CheckCmd{}).Run(); err == nil {
		t.Error("a check of no file passes")
	}
}
