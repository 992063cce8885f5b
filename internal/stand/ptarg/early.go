package ptarg

import (
	"io"
	"net"
	"net/http"
	"time"
)

// partLength is the number of bytes of a body that FaultEarlyReset sends.
const partLength = 5

// respondUnframed responds without a length before the body of the request is read, see FaultEarlyClose and FaultEarlyReset.
func (tgt *Target) respondUnframed(wrt http.ResponseWriter, req *http.Request, flt Fault, id string) {
	raw, _, err := http.NewResponseController(wrt).Hijack()
	if err != nil {
		return
	}
	defer raw.Close() //nolint:errcheck // the connection is not used again
	con, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	run := newRun(req, nil)
	run.BodyUnread = true
	tgt.record(run)
	body := Body(id)
	if flt == FaultEarlyReset {
		body = body[:partLength]
	}
	_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nResponse-Seal: seal-"+id+"\r\n\r\n"+body)
	if flt == FaultEarlyReset {
		_ = con.SetLinger(0) // fails only on a closed connection, as do the calls below
		return
	}
	_ = con.CloseWrite()
	_ = con.SetReadDeadline(time.Now().Add(rawTimeout))
	_, _ = io.Copy(io.Discard, con)
}
