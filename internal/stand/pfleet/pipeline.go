package pfleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"cardamompass/internal/plat/strict"
	"cardamompass/internal/stand/ptarg"
)

// pipelinePause is the pause before the next connection of a pipelining caller.
const pipelinePause = 50 * time.Millisecond

// slowReader reads a few bytes at a time with a pause before each.
type slowReader struct {
	net.Conn
}

// Read implements io.Reader.
func (rdr slowReader) Read(buf []byte) (num int, err error) {
	time.Sleep(20 * time.Millisecond)
	return rdr.Conn.Read(buf[:min(len(buf), 64)])
}

// RunPipelined opens one connection after the other until ctx ends, each to a random VM from the last look-up, and keeps up to depth
// idempotent requests unanswered on it. One connection in four is read slowly. Whole of a Result is set only if the response comes in the
// place of its request.
func (cls *Callers) RunPipelined(ctx context.Context, depth, count int, path string) {
	for ctx.Err() == nil {
		cls.mu.Lock()
		address, key := "", cls.key
		if len(cls.vms) > 0 {
			address = cls.vms[rand.IntN(len(cls.vms))]
		}
		cls.mu.Unlock()
		results := cls.pipeline(ctx, address, path, key, depth, count)
		cls.mu.Lock()
		cls.results = append(cls.results, results...)
		cls.mu.Unlock()
		time.Sleep(pipelinePause)
	}
}

// pipeline sends count requests on one connection and returns their results. It ends early when the connection does.
func (cls *Callers) pipeline(ctx context.Context, address, path, key string, depth, count int) (results []Result) {
	con, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil
	}
	defer con.Close()                                      //nolint:errcheck // errors of reads are recorded
	_ = con.SetDeadline(time.Now().Add(2 * callerTimeout)) // fails only if the connection is closed
	rdr := bufio.NewReader(con)
	if rand.IntN(4) == 0 {
		rdr = bufio.NewReader(slowReader{
			Conn: con,
		})
	}
	for num := range count {
		for len(results) < min(num+depth, count) {
			id := fmt.Sprintf("c-%08d", cls.flt.nextRequest.Add(1))
			results = append(results, Result{
				ID:         id,
				Path:       path,
				VM:         address,
				Idempotent: true,
				At:         time.Now(),
			})
			_, err = fmt.Fprintf(con, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Ms: %d\r\nCredential: %s\r\n\r\n",
				path, Host, id, callerTimeout.Milliseconds(), key)
			results[len(results)-1].Written = err == nil
		}
		res := &results[num]
		rsp, err := http.ReadResponse(rdr, nil)
		if err != nil {
			res.Err = err
			return results
		}
		data, err := io.ReadAll(rsp.Body)
		_ = rsp.Body.Close() // the error of the read tells
		res.Took = time.Since(res.At)
		if res.Err = err; err != nil {
			return results
		}
		res.Status, res.HeadErr = rsp.StatusCode, strict.CheckResponse(rsp)
		res.Whole = rsp.Header.Get("Response-Seal") == "seal-"+res.ID && string(data) == ptarg.Body(res.ID)
		if rsp.Close {
			return results
		}
	}
	return results
}
