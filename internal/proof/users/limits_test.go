package users_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"cardamompass/internal/stand/pfleet"
)

// exchange sends a request with a header of about size bytes on a connection and returns the status of the response, 0 if there is
// none.
func exchange(t *testing.T, con net.Conn, id string, size int) (status int) {
	t.Helper()
	text := fmt.Sprintf("POST /write/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Ms: 3000\r\nSession: %s\r\nContent-Length: 4\r\n\r\nbody",
		pfleet.Host, id, strings.Repeat("s", size))
	if _, err := io.WriteString(con, text); err != nil {
		return 0
	}
	if err := con.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	rsp, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		return 0
	}
	defer rsp.Body.Close()
	if _, err = io.Copy(io.Discard, rsp.Body); err != nil {
		return 0
	}
	return rsp.StatusCode
}

// Guards against bounds of the settings file that stay as they were when the process started.
func TestChangedBounds(t *testing.T) {
	tfl := newTestFleet(t, 1, 2)
	vmc := tfl.VMs[0]
	lookup := "http://" + vmc.LookupAddress() + "/v1/resolve?name=" + pfleet.Host + "&region=east&zone=east-1"
	if text := tfl.get(lookup); !strings.Contains(text, `"ttlS":2`) {
		t.Fatalf("look-up before the change: %s", text)
	}
	data, err := os.ReadFile(vmc.SettingsPath())
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(data), "ttl_max_s=5", "ttl_max_s=0.5", 1)
	if err = os.WriteFile(vmc.SettingsPath(), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	tfl.await(pfleet.ConfigBound, "shorter life of look-ups", func() bool { return strings.Contains(tfl.get(lookup), `"ttlS":0.5`) })
}

// dial opens a connection of a caller.
func dial(t *testing.T, vmc *pfleet.VM) (con net.Conn) {
	t.Helper()
	con, err := net.Dial("tcp", vmc.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { con.Close() })
	return con
}

// Guards against limits for callers that stay as they were when the process started: requests within a raised limit of the header are
// denied, on new connections and on those that callers keep, and connections are closed that a raised idle timeout lets callers reuse.
func TestChangedCallerLimits(t *testing.T) {
	const (
		oldIdle = 4 * time.Second
		size    = 40000
	)
	tfl := prepareTestFleet(t, 2, 4)
	tfl.Limits.IdleTimeout = oldIdle
	tfl.Configure(1, reads, writes)
	tfl.start()
	kept := make([]net.Conn, len(tfl.VMs))
	for num, vmc := range tfl.VMs {
		kept[num] = dial(t, vmc)
		if status := exchange(t, kept[num], fmt.Sprintf("first-%d", num), 10); status != http.StatusOK {
			t.Fatalf("first request on a connection to %s: status %d", vmc.Name(), status)
		}
		if status := exchange(t, dial(t, vmc), fmt.Sprintf("early-%d", num), size); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("header of %d bytes before the change: status %d", size, status)
		}
	}
	begin := time.Now()
	tfl.Limits.HeaderBytes, tfl.Limits.IdleTimeout = 65536, 4*oldIdle
	tfl.Configure(2, reads, writes)
	time.Sleep(time.Until(begin.Add(pfleet.ConfigBound)))
	for num, vmc := range tfl.VMs {
		if status := exchange(t, dial(t, vmc), fmt.Sprintf("new-%d", num), size); status != http.StatusOK {
			t.Errorf("header of %d bytes on a new connection to %s: status %d", size, vmc.Name(), status)
		}
	}
	time.Sleep(time.Until(begin.Add(oldIdle + time.Second)))
	for num, vmc := range tfl.VMs {
		if status := exchange(t, kept[num], fmt.Sprintf("kept-%d", num), size); status != http.StatusOK {
			t.Errorf("header of %d bytes on a connection to %s that was idle for %v: status %d", size, vmc.Name(), oldIdle+time.Second, status)
		}
	}
	tfl.Limits.HeaderBytes = 16384
	tfl.Configure(3, reads, writes)
	time.Sleep(pfleet.ConfigBound)
	for num, vmc := range tfl.VMs {
		if status := exchange(t, kept[num], fmt.Sprintf("late-%d", num), size); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("header of %d bytes after the limit was lowered again: status %d", size, status)
		}
		if status := exchange(t, dial(t, vmc), fmt.Sprintf("last-%d", num), 10); status != http.StatusOK {
			t.Errorf("short header after the limit was lowered again: status %d", status)
		}
	}
}
