package mirror_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap/zaptest"

	"cardamompass"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/fleet/mirror"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/stand/fault"
	"cardamompass/internal/stand/pstore"
	"cardamompass/platform"
)

// learnBound is the time after which a VM without the store must have a change: 8 s are allowed, and the outage is noticed after up to 2.2 s.
const learnBound = 6 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// vm is what a VM has for this package: a follower of the store behind a link, and a Mirror.
type vm struct {
	*view.Follower
	reg  *platform.Registry
	link *fault.Proxy
	mir  *mirror.Mirror
}

func newVM(t *testing.T, sto *pstore.Store, peers func() []cardamompass.VM) (vmc *vm) {
	t.Helper()
	prx, stopProxy, err := fault.New(fault.Config{
		Address:  "127.0.0.1:0",
		Upstream: sto.Address(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stopProxy)
	reg, closeReg := platform.NewRegistry(platform.RegistryConfig{
		Address: prx.Address(),
		Regions: map[cardamompass.FailureDomain]cardamompass.Region{"z-1": "r-1"},
		Dial:    send.Dialer(time.Second),
	})
	t.Cleanup(closeReg)
	flw, stop := view.New(view.Config{
		Registry: reg,
		Clock:    cardamompass.SystemClock{},
		Log:      zaptest.NewLogger(t),
	})
	t.Cleanup(stop)
	vmc = &vm{
		Follower: flw,
		reg:      reg,
		link:     prx,
	}
	mir, stopMirror, err := mirror.New(mirror.Config{
		Address: "127.0.0.1:0",
		Codec:   reg,
		View:    flw.View,
		Outage:  flw.OutageAge,
		Peers:   peers,
		Apply:   flw.ApplyPeerChanges,
		Dial:    send.Dialer(time.Second),
		Clock:   cardamompass.SystemClock{},
		Log:     zaptest.NewLogger(t),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stopMirror)
	vmc.mir = mir
	return vmc
}

func configure(sto *pstore.Store, version int) {
	sto.PutRaw("op/config", fmt.Appendf(nil, `{"version":"%08x","routes":[{"name":"r","host":"h","prefix":"/a/","service":"svc"}]}`, version))
}

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(learnBound); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s not within %v", what, learnBound)
		}
	}
}

// Guards against a VM that serves by an old configuration while the store turns it away and other VMs have a newer one, against one that
// learns of an evacuation without the store, which alone ends it, and against one that goes back to an older configuration.
func TestVMWithoutStore(t *testing.T) {
	sto, stopStore, err := pstore.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stopStore)
	configure(sto, 1)
	served := newVM(t, sto, func() []cardamompass.VM { return nil })
	silent := newVM(t, sto, func() []cardamompass.VM { return nil })
	peers := []cardamompass.VM{
		{
			ID:          "served",
			PeerAddress: served.mir.Address(),
		},
		{
			ID:          "silent",
			PeerAddress: silent.mir.Address(),
		},
		{
			ID:          "gone",
			PeerAddress: closedAddress(t),
		},
	}
	refused := newVM(t, sto, func() []cardamompass.VM { return peers })
	for _, vmc := range []*vm{served, silent, refused} {
		waitFor(t, "version 1", func() bool { return vmc.View().Table != nil })
	}
	refused.link.Cut()
	silent.link.Cut()
	configure(sto, 2)
	sto.PutRaw("op/evacuate/z-1", []byte("{}"))
	waitFor(t, "the evacuation at the other VM", func() bool { return served.View().Evacuated("z-1") })
	waitFor(t, "version 2", func() bool { return refused.View().Table.Version == 2 })
	configure(sto, 3)
	waitFor(t, "version 3", func() bool { return refused.View().Table.Version == 3 })
	if refused.View().Evacuated("z-1") {
		t.Error("an evacuation without the store")
	}
	if silent.View().Table.Version != 1 {
		t.Errorf("a VM that asks nobody has version %d", silent.View().Table.Version)
	}
	if err = refused.link.Heal(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the evacuation", func() bool { return refused.View().Evacuated("z-1") })
	if refused.View().Table.Version != 3 {
		t.Errorf("version %d after the return of the store", refused.View().Table.Version)
	}
}

// Guards against a VM that learns of a change too late, because the VMs that it asks first were lost or stand still, and each question waits
// 3 s for its answer.
func TestPeersThatDoNotAnswer(t *testing.T) {
	sto, stopStore, err := pstore.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stopStore)
	configure(sto, 1)
	served := newVM(t, sto, func() []cardamompass.VM { return nil })
	lsn, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // closed with the test
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lsn.Close() })
	addresses := []string{lsn.Addr().String(), lsn.Addr().String(), served.mir.Address()}
	refused := newVM(t, sto, func() []cardamompass.VM {
		address := addresses[0]
		if len(addresses) > 1 {
			addresses = addresses[1:]
		}
		return []cardamompass.VM{{
			ID:          "other",
			PeerAddress: address,
		}}
	})
	for _, vmc := range []*vm{served, refused} {
		waitFor(t, "version 1", func() bool { return vmc.View().Table != nil })
	}
	refused.link.Cut()
	configure(sto, 2)
	waitFor(t, "version 2", func() bool { return refused.View().Table.Version == 2 })
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) (address string) {
	t.Helper()
	lsn, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // closed at once
	if err != nil {
		t.Fatal(err)
	}
	defer lsn.Close() //nolint:errcheck // the address is used closed
	return lsn.Addr().String()
}

// Guards against a configuration from another VM that is damaged or larger than the store accepts.
func TestDamagedTable(t *testing.T) {
	reg, cleanup := platform.NewRegistry(platform.RegistryConfig{})
	defer cleanup()
	if version, data := reg.EncodedTable(); version != 0 || data != nil {
		t.Errorf("a table before the first: version %d, %d bytes", version, len(data))
	}
	const document = `{"version":"1"}`
	if _, err := reg.DecodeTable(compress(t, document)); err != nil {
		t.Errorf("error %v of a valid table", err)
	}
	for name, data := range map[string][]byte{
		"empty":          nil,
		"not compressed": []byte(document),
		"cut off":        compress(t, document)[:12],
		"too large":      compress(t, document+strings.Repeat(" ", 8<<20)),
	} {
		if tbl, err := reg.DecodeTable(data); err == nil {
			t.Errorf("%s: decoded as %+v", name, tbl)
		}
	}
}

func compress(t *testing.T, text string) (data []byte) {
	t.Helper()
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if _, err := io.WriteString(zip, text); err != nil {
		t.Fatal(err)
	}
	if err := zip.Close(); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}
