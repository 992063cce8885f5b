package pfleet_test

import (
	"net"
	"testing"

	"cardamompass/internal/stand/pfleet"
)

// Guards against requests of another test's processes at a target: a VM of cardamompass serve probes the port of a crashed target, which
// a target of a parallel test may have by then. TestRestartDoesNotBringTargetsBack counted such probes as altered requests.
func TestTargetsHaveTheirOwnAddress(t *testing.T) {
	flt, stop, err := pfleet.New(pfleet.Config{
		Dir:     t.TempDir(),
		Targets: 2,
		Slots:   1,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	for _, tgt := range flt.Targets {
		for _, address := range []string{tgt.Address(), tgt.Proxy.Address()} {
			_, port, err := net.SplitHostPort(address)
			if err != nil {
				t.Fatal(err)
			}
			con, err := net.Dial("tcp", net.JoinHostPort("127.0.0.1", port))
			if err == nil {
				con.Close()
				t.Errorf("%s is reached at 127.0.0.1 too", address)
			}
		}
	}
}
