package direct_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/direct"
	"cardamompass/platform"
)

func vm(id, region, domain string) (vmc cardamompass.VM) {
	return cardamompass.VM{
		ID:            cardamompass.VMID(id),
		Region:        cardamompass.Region(region),
		FailureDomain: cardamompass.FailureDomain(domain),
		CallerAddress: id + ":1",
	}
}

// Guards against look-up responses that name VMs of another region, no VM, or a VM that is stopping.
func TestAnswers(t *testing.T) {
	own := vm("own", "gulf", "g-1")
	tests := []struct {
		name     string
		others   []cardamompass.VM
		stopping bool
		region   string
		want     []string // nil for a refusal
	}{
		{"alone", nil, false, "gulf", []string{"own:1"}},
		{"near ones first", []cardamompass.VM{vm("b", "gulf", "g-2"), vm("c", "delta", "d-1")}, false, "gulf", []string{"own:1", "b:1"}},
		{"another region", []cardamompass.VM{vm("b", "gulf", "g-2"), vm("c", "delta", "d-1")}, false, "delta", []string{"c:1"}},
		{"a region without a VM", []cardamompass.VM{vm("b", "gulf", "g-2")}, false, "delta", []string{"own:1", "b:1"}},
		{"stopping", []cardamompass.VM{vm("b", "gulf", "g-2")}, true, "gulf", []string{"b:1"}},
		{"stopping and alone", nil, true, "gulf", nil},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			hnd := direct.New(direct.Config{
				Self:     own,
				Protocol: platform.Protocol{},
				OtherVMs: func() []cardamompass.VM { return tst.others },
				Stopping: func() bool { return tst.stopping },
				Log:      zap.NewNop(),
			})
			rec := httptest.NewRecorder()
			hnd.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/v1/resolve?name=h&zone=g-1&region="+tst.region, nil))
			if tst.want == nil {
				if rec.Code != http.StatusServiceUnavailable {
					t.Fatalf("status %d", rec.Code)
				}
				return
			}
			var ans struct {
				Addresses []string `json:"addresses"`
				TTLS      float64  `json:"ttlS"`
			}
			if err := json.Unmarshal(rec.Body.Bytes(), &ans); err != nil || !reflect.DeepEqual(ans.Addresses, tst.want) || ans.TTLS <= 0 {
				t.Fatalf("answer %s, want %v", rec.Body, tst.want)
			}
		})
	}
}

// Guards against sending callers to VMs with little bandwidth: on mbmu-rain-grown VMs with 20 Mbit/s got as many downloads as those
// with 200 Mbit/s, and these downloads took a second or more.
func TestWeakVMsAreNotNamed(t *testing.T) {
	tests := []struct {
		name       string
		capacities []float64
		want       int
	}{
		{"equal", []float64{800, 800, 800}, 3},
		{"two to one", []float64{1600, 800}, 2},
		{"four strong ones", []float64{1500, 170, 1500, 150, 1500, 160, 1500, 170, 150}, 4},
		{"many weak ones", []float64{1500, 170, 170, 170, 170, 170, 170, 170, 170, 170}, 10},
		{"one strong and a weak one", []float64{1500, 170}, 2},
		{"one strong and two weak ones", []float64{1500, 170, 170}, 3},
		{"one not known", []float64{1500, 170, 0, 1500}, 4},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			var vms []cardamompass.VM
			for num, perSecond := range tst.capacities {
				vmc := vm(string(rune('a'+num)), "gulf", "g-1")
				vmc.Capacity = perSecond
				vms = append(vms, vmc)
			}
			got := direct.Addresses(vms, cardamompass.Lookup{Region: "gulf"}, nil)
			if len(got) != tst.want {
				t.Fatalf("%d addresses: %v, want %d", len(got), got, tst.want)
			}
		})
	}
}

// Guards against look-ups of a region without a VM that name VMs far from the targets of the host.
func TestHomeRegionsOfHost(t *testing.T) {
	vms := []cardamompass.VM{vm("a", "gulf", "g-1"), vm("b", "delta", "d-1"), vm("c", "delta", "d-2")}
	homes := func(host string) []cardamompass.Region {
		return map[string][]cardamompass.Region{"home.example": {"delta"}, "gone.example": {"coast"}}[host]
	}
	for _, tst := range []struct {
		name   string
		region cardamompass.Region
		want   string
	}{
		{"Home.example", "gulf", "[a:1]"},
		{"Home.example", "coast", "[b:1 c:1]"},
		{"gone.example", "hills", "[a:1 b:1 c:1]"},
		{"other.example", "coast", "[a:1 b:1 c:1]"},
	} {
		if got := fmt.Sprint(direct.Addresses(vms, cardamompass.Lookup{Name: tst.name, Region: tst.region}, homes)); got != tst.want {
			t.Errorf("%s from %s: %s, want %s", tst.name, tst.region, got, tst.want)
		}
	}
}
