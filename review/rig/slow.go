//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// readers is the number of clients that send requests before the first is answered, depth the number of requests that each sends.
	readers = 30
	depth   = 16
	// readerTimeout is how long these clients wait for an answer, as those of part-lookup do.
	readerTimeout = 10 * time.Second
	// slowRate is what a slow client reads in a second. It has read all answers within its time.
	slowRate = 1300 << 10
	// readerBuffer is the receive buffer of a client's connection in bytes.
	readerBuffer = 64 << 10
	// lostLimit is the number of requests that a machine may pass on without an answer.
	lostLimit = 3
)

// lostRequest is a request whose connection the entry VM closed before its answer.
type lostRequest struct {
	id, node string
	waited   time.Duration
}

// slowReaders lets clients send downloads one behind the other and read the answers slowly.
func slowReaders(ctx context.Context, rec *record, trouble bool) (ver verdict, err error) {
	sit, err := newSite(ctx, rec, pipelineSite, 12, endpointSettings{
		slots: 6,
		work:  60 * time.Millisecond,
		down:  2 * time.Second,
	})
	if err != nil {
		return ver, err
	}
	defer sit.close()
	cls := newClients(sit)
	cls.resolve(ctx)
	if len(cls.addresses) == 0 {
		return ver, errors.New("no entry VM answers look-ups")
	}
	var mu sync.Mutex
	var lost []lostRequest
	whole := 0
	var running group
	for num := range readers {
		running.Go(func() {
			pause(ctx, time.Duration(num)*50*time.Millisecond)
			got, missing, rerr := cls.readSlowly(ctx, num, trouble)
			mu.Lock()
			defer mu.Unlock()
			whole += got
			lost = append(lost, missing...)
			if rerr != nil {
				rec.add("client %d: its connection ended: %v", num, rerr)
			}
		})
	}
	running.Wait()
	answered := make(map[string]bool)
	for _, arr := range sit.allArrivals() {
		answered[arr.id] = answered[arr.id] || arr.answered
	}
	perNode := make(map[string]int)
	for _, req := range lost {
		if answered[req.id] {
			rec.add("lost: %s was answered by an endpoint; %s closed its connection %.2f s after it was sent", req.id, req.node, req.waited.Seconds())
			perNode[req.node]++
		}
	}
	for node, count := range perNode {
		if count > lostLimit {
			ver.broken = append(ver.broken, fmt.Sprintf("LOST: %s passed on %d requests, which endpoints answered, and closed their connections"+
				" without an answer; at most %d may be", node, count, lostLimit))
		}
	}
	ver.summary = fmt.Sprintf("%d of %d answers were whole; %d requests lost after an endpoint had answered them", whole, readers*depth, sum(perNode))
	return ver, nil
}

func sum(counts map[string]int) (total int) {
	for _, num := range counts {
		total += num
	}
	return total
}

// readSlowly sends requests on one connection and reads the answers. It returns the number of whole answers and the requests whose answers
// did not come because the entry VM closed the connection.
func (cls *clients) readSlowly(ctx context.Context, num int, slow bool) (whole int, lost []lostRequest, err error) {
	cls.mu.Lock()
	node := cls.addresses[num%len(cls.addresses)]
	cls.mu.Unlock()
	con, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", node)
	if err != nil {
		return 0, nil, err
	}
	defer con.Close() //nolint:errcheck // all is read
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(readerBuffer)
	}
	var text strings.Builder
	ids := make([]string, depth)
	for pos := range ids {
		ids[pos] = fmt.Sprintf("%08x%08x", num+1, pos+1)
		fmt.Fprintf(&text, "GET %s%d-%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Ms: %d\r\n\r\n",
			download, num, pos, host, ids[pos], readerTimeout.Milliseconds())
	}
	rdr := bufio.NewReader(con)
	if err = firstRequest(con, rdr, num); err != nil {
		return 0, nil, err
	}
	begin := time.Now()
	_ = con.SetDeadline(begin.Add(readerTimeout)) // fails only if the connection is closed
	if _, err = io.WriteString(con, text.String()); err != nil {
		return 0, nil, err
	}
	cls.sit.rec.add("client %d sends %s to %s on one connection to %s", num, ids[0], ids[depth-1], node)
	for pos, id := range ids {
		err = readAnswer(rdr, id, slow)
		if errors.Is(err, errNotServed) {
			cls.sit.rec.add("client %d is refused %s", num, id)
			continue
		}
		if err != nil {
			if time.Since(begin) < readerTimeout {
				for _, left := range ids[pos:] {
					lost = append(lost, lostRequest{
						id:     left,
						node:   node,
						waited: time.Since(begin),
					})
				}
			}
			return whole, lost, err
		}
		whole++
		cls.sit.rec.add("client %d has the whole answer to %s", num, id)
	}
	return whole, nil, nil
}

// firstRequest sends a request alone and reads its answer, so that the others come on a kept connection.
func firstRequest(con net.Conn, rdr *bufio.Reader, num int) (err error) {
	id := fmt.Sprintf("%08x%08x", num+1, 0)
	_ = con.SetDeadline(time.Now().Add(clientTimeout)) // fails only if the connection is closed
	if _, err = fmt.Fprintf(con, "GET /get/first-%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Ms: %d\r\n\r\n",
		num, host, id, clientTimeout.Milliseconds()); err != nil {
		return err
	}
	return readAnswer(rdr, id, false)
}

// errNotServed reports a whole answer that is not the endpoint's.
var errNotServed = errors.New("the answer is not the endpoint's")

// readAnswer reads the answer to a request. The error is errNotServed if the answer came, but from the entry VM.
func readAnswer(rdr *bufio.Reader, id string, slow bool) (err error) {
	rsp, err := http.ReadResponse(rdr, nil)
	if err != nil {
		return err
	}
	defer rsp.Body.Close() //nolint:errcheck // the body is only read
	if rsp.StatusCode != http.StatusOK || rsp.Header.Get("Response-Seal") != "seal-"+id {
		if _, err = io.Copy(io.Discard, rsp.Body); err == nil {
			err = errNotServed
		}
		return err
	}
	const part = 32 << 10
	for {
		count, err := io.CopyN(io.Discard, rsp.Body, part)
		if slow {
			time.Sleep(time.Duration(count) * time.Second / slowRate)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
