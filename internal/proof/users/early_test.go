package users_test

import (
	"net/http"
	"testing"
	"time"

	"cardamompass/internal/stand/ptarg"
)

// Guards against answers of entry VMs that are a part of a target's, or that are held back until an upload is written, while targets
// answer uploads before they have read them.
func TestEarlyAnswersToUploads(t *testing.T) {
	const (
		uploadsPerSecond = 8
		uploadSize       = 4 << 20 // more than the socket buffers of both sides hold
	)
	tfl := prepareTestFleet(t, 3, 6)
	for num, tgt := range tfl.Targets {
		switch num {
		case 0: // reads uploads before it answers
		case 1:
			tgt.SetFault(ptarg.FaultEarlyClose)
		default:
			tgt.SetFault(ptarg.FaultEarlyReset)
		}
		tfl.RegisterDirect(tgt)
	}
	tfl.Limits.BodyBytes = uploadSize
	tfl.Configure(1, reads, writes)
	tfl.start()
	tfl.callers.SetUploadSize(uploadSize)
	stop := tfl.startLoadAt(uploadsPerSecond)
	time.Sleep(4 * time.Second)
	stop()
	count := tfl.check()
	t.Logf("responses by status: %v", count)
	if count[http.StatusOK] == 0 || count[http.StatusBadGateway] == 0 {
		t.Errorf("responses by status: %v", count)
	}
}
