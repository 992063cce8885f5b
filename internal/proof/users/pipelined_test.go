package users_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamompass/internal/stand/pfleet"
)

// pipeline keeps depth requests unanswered on one connection until that ends, at most count in all. It returns the status of each id that
// was answered.
func (tfl *testFleet) pipeline(address, name string, depth, count int) (statuses map[string]int) {
	statuses = make(map[string]int)
	con, err := net.Dial("tcp", address)
	if err != nil {
		tfl.t.Error(err)
		return statuses
	}
	defer con.Close()
	_ = con.SetDeadline(time.Now().Add(20 * time.Second))
	rdr := bufio.NewReader(con)
	text := func(num int) string {
		return fmt.Sprintf("GET /read/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s-%d\r\nTimeout-Ms: 3000\r\n\r\n", pfleet.Host, name, num)
	}
	begin := ""
	for num := range depth {
		begin += text(num)
	}
	_, _ = io.WriteString(con, begin)
	for num := range count {
		rsp, err := http.ReadResponse(rdr, nil)
		if err != nil {
			return statuses
		}
		if _, err = io.Copy(io.Discard, rsp.Body); err != nil {
			return statuses
		}
		statuses[fmt.Sprintf("%s-%d", name, num)] = rsp.StatusCode
		_, _ = io.WriteString(con, text(num+depth)) // fails once the VM has closed the connection
	}
	return statuses
}

// Guards against pipelined requests that a VM sends to targets in a planned stop without a response to their caller, and against a
// process that does not end because of connections that were taken over.
func TestPlannedStopOfPipelinedConnections(t *testing.T) {
	const (
		callers = 6
		depth   = 4
	)
	tfl := newTestFleet(t, 2, 8)
	vmc := tfl.VMs[0]
	results := make([]map[string]int, callers)
	var running sync.WaitGroup
	for num := range callers {
		running.Go(func() { results[num] = tfl.pipeline(vmc.CallerAddress(), fmt.Sprintf("p%d", num), depth, 5000) })
	}
	time.Sleep(time.Second)
	rsp, err := http.Get("http://" + vmc.MetricsAddress() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer rsp.Body.Close()
	page, err := io.ReadAll(rsp.Body)
	if err != nil || !strings.Contains(string(page), "pipelined_connections") || !strings.Contains(string(page), "requests_ahead") {
		t.Errorf("the metrics don't show the connections, error %v", err)
	}
	if err = vmc.Terminate(); err != nil {
		t.Fatal(err)
	}
	running.Wait()
	if err = vmc.Wait(); err != nil {
		t.Fatalf("%v\n%s", err, vmc.Tail(10))
	}
	answered := 0
	for _, statuses := range results {
		for _, status := range statuses {
			if status == http.StatusOK {
				answered++
			}
		}
	}
	if answered < callers*depth {
		t.Errorf("%d requests answered", answered)
	}
	for _, tgt := range tfl.Targets {
		for _, run := range tgt.Runs() {
			name, _, _ := strings.Cut(run.ID, "-")
			num := 0
			if _, err := fmt.Sscanf(name, "p%d", &num); err != nil || num >= callers {
				continue // a request of another kind
			}
			if results[num][run.ID] == 0 {
				t.Errorf("%s ran and was not answered", run.ID)
			}
		}
	}
	t.Logf("%d requests answered", answered)
}
