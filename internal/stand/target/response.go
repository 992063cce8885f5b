package target

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cardamompass"
	"cardamompass/internal/stand/ctrl"
)

// Fault is a fault of a response. The request runs before its faulty response is sent.
type Fault string

// Faults of responses.
const (
	// FaultLate delays the response by LateMS of the behaviour, after the slot was released and regardless of the deadline.
	FaultLate Fault = "late"
	// FaultWrongID echoes the id of another request.
	FaultWrongID Fault = "other-id"
	// FaultNoID echoes no id.
	FaultNoID Fault = "no-id"
	// FaultTruncated declares the full length, sends half of the body and closes the connection.
	FaultTruncated Fault = "truncated"
	// FaultDuplicated sends the response twice on the connection.
	FaultDuplicated Fault = "doubled"
	// FaultTooLong sends more bytes than declared.
	FaultTooLong Fault = "too-long"
	// FaultError responds with status 500.
	FaultError Fault = "error"
)

// surplus is what FaultTooLong appends to the body.
const surplus = "surplus bytes after the declared end"

// lingerTime is how long a connection stays open, unserved, after FaultDuplicated and FaultTooLong, so that a client that
// wrongly reuses it reads the surplus bytes.
const lingerTime = 5 * time.Second

// respond sends the response to a job that ran. Before a late response it calls free, which releases the slot.
func (tgt *Target) respond(rsw http.ResponseWriter, jbb *job, free func()) {
	flt := tgt.nextFault(jbb)
	if flt == FaultLate {
		free()
		lms := jbb.bhv.LateMS
		if lms == 0 {
			lms = defaultLateMS
		}
		if !sleep(tgt.clk, milliseconds(lms), jbb.inc.end) {
			ctrl.Abort()
		}
	}
	tgt.setHeaders(rsw, jbb)
	hdr := rsw.Header()
	hdr.Set("Content-Type", "application/octet-stream")
	hdr.Set("Etag", ETag(jbb.key, jbb.siz))
	switch flt {
	case FaultLate:
		// The response itself is complete and correct; only the delay is the fault.
	case FaultWrongID:
		hdr.Set(cardamompass.HeaderRequestID, tgt.wrongID(jbb.rid))
	case FaultNoID:
		hdr.Del(cardamompass.HeaderRequestID)
	case FaultTruncated:
		rsw = &truncWriter{
			ResponseWriter: rsw,
		}
	case FaultError:
		rsw.WriteHeader(http.StatusInternalServerError)
		return
	case FaultDuplicated, FaultTooLong:
		tgt.hijack(rsw, jbb, flt, free)
		return
	}
	http.ServeContent(rsw, jbb.req, "", time.Time{}, newContent(jbb.key, jbb.siz))
	if trw, ok := rsw.(*truncWriter); ok {
		_ = http.NewResponseController(trw.ResponseWriter).Flush()
		ctrl.Abort()
	}
}

func (tgt *Target) nextFault(jbb *job) Fault {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	defer func() { tgt.rec.ids = [2]string{tgt.rec.ids[1], jbb.rid} }()
	if jbb.flt != "" || len(tgt.flt) == 0 {
		return jbb.flt
	}
	flt := tgt.flt[0]
	tgt.flt = tgt.flt[1:]
	return flt
}

// wrongID returns the id of a recent request that is not rid, or an id that no request has.
func (tgt *Target) wrongID(rid string) string {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	for _, oid := range tgt.rec.ids {
		if oid != "" && oid != rid {
			return oid
		}
	}
	return rid + "-other"
}

// truncWriter writes half of the declared body and discards the rest.
type truncWriter struct {
	http.ResponseWriter
	lft int64
}

// WriteHeader implements http.ResponseWriter.
func (trw *truncWriter) WriteHeader(status int) {
	num, _ := strconv.ParseInt(trw.Header().Get("Content-Length"), 10, 64)
	trw.lft = num / 2
	trw.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (trw *truncWriter) Write(buf []byte) (num int, err error) {
	cut := buf[:min(int64(len(buf)), trw.lft)]
	trw.lft -= int64(len(cut))
	if _, err = trw.ResponseWriter.Write(cut); err != nil {
		return 0, err
	}
	return len(buf), nil
}

// hijack writes a response that net/http does not allow, and leaves the connection open but unserved for lingerTime.
func (tgt *Target) hijack(rsw http.ResponseWriter, jbb *job, flt Fault, free func()) {
	con, brw, err := http.NewResponseController(rsw).Hijack()
	if err != nil {
		ctrl.Abort()
	}
	defer func() { _ = con.Close() }()
	bdy := Content(jbb.key, jbb.siz)
	writeRaw(brw.Writer, rsw.Header(), bdy)
	if flt == FaultDuplicated {
		writeRaw(brw.Writer, rsw.Header(), bdy)
	} else {
		_, _ = brw.WriteString(surplus)
	}
	if brw.Flush() != nil {
		return
	}
	free()
	_ = con.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, con)
}

func writeRaw(buf *bufio.Writer, hdr http.Header, bdy []byte) {
	_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(bdy))
	_ = hdr.Write(buf)
	_, _ = buf.WriteString("\r\n")
	_, _ = buf.Write(bdy)
}
