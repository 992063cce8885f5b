package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cardamompass"
)

// headerPrefix is the prefix of the headers of this system.
const headerPrefix = "Cardamompass-"

// hopByHop are the headers that apply to a single connection. Expect is among them because the relay has buffered the complete
// request body before it sends the header.
var hopByHop = []string{
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// stripHeaders removes the hop-by-hop headers and those of this system from hdr.
func stripHeaders(hdr http.Header) {
	for _, line := range hdr["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			hdr.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(hdr, name)
	}
	for name := range hdr {
		if strings.HasPrefix(name, headerPrefix) {
			delete(hdr, name)
		}
	}
}

// requestHeader returns the header for the target. left is the remaining time, 0 for no limit.
func requestHeader(atm Attempt, left time.Duration, maxBytes int) (hdr http.Header, err error) {
	hdr = make(http.Header, len(atm.Request.Header)+3)
	size := 0
	for name, values := range atm.Request.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
		hdr[name] = values[:len(values):len(values)]
	}
	if size > maxBytes {
		return nil, &cardamompass.InvalidError{
			Field:  "header",
			Reason: "has " + strconv.Itoa(size) + " bytes, at most " + strconv.Itoa(maxBytes) + " are allowed",
		}
	}
	stripHeaders(hdr)
	if _, ok := hdr["User-Agent"]; !ok {
		hdr["User-Agent"] = []string{""} // keeps net/http from sending its own value
	}
	hdr[cardamompass.HeaderRequestID] = []string{atm.AttemptID}
	if left > 0 {
		hdr[cardamompass.HeaderTimeout] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	}
	return hdr, nil
}

// httpRequest builds the request for the transport. It sets no GetBody, and a body other than http.NoBody, so that net/http does
// not consider a request with a body replayable.
func httpRequest(ctx context.Context, atm Attempt, hdr http.Header) (req *http.Request, err error) {
	path, err := url.PathUnescape(atm.Request.Path)
	if err != nil || !strings.HasPrefix(path, "/") {
		return nil, &cardamompass.InvalidError{
			Field:  "path",
			Reason: "must start with / and have valid escapes",
		}
	}
	req = &http.Request{
		Method: atm.Request.Method,
		URL: &url.URL{
			Scheme:   "http",
			Host:     atm.Target.Address,
			Path:     path,
			RawPath:  atm.Request.Path,
			RawQuery: atm.Request.RawQuery,
		},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     hdr,
		Host:       atm.Target.Address,
	}
	if len(atm.Request.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(atm.Request.Body))
		req.ContentLength = int64(len(atm.Request.Body))
	}
	return req.WithContext(ctx), nil
}
