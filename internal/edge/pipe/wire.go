package pipe

import (
	"bufio"
	"net/http"
	"strconv"
)

// bodyAllowed reports whether a response with this status has a body.
func bodyAllowed(status int) (ok bool) {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeHead writes the status line and the headers as net/http writes them. last is set if the connection closes after the response.
// Errors of wrt show when it is flushed.
func (rsp *response) writeHead(wrt *bufio.Writer, last bool) {
	hdr := rsp.hdr
	if rsp.sent != nil {
		hdr = rsp.sent
	}
	exclude := map[string]bool{
		"Transfer-Encoding": true,
	}
	var added []string
	add := func(name, value string) { added = append(added, name+": "+value+"\r\n") }
	if !bodyAllowed(rsp.status) {
		exclude["Content-Length"] = true
		if rsp.status == http.StatusNotModified {
			exclude["Content-Type"] = true
		}
	}
	if _, ok := hdr["Date"]; !ok {
		add("Date", rsp.lop.pip.cfg.Clock.Now().UTC().Format(http.TimeFormat))
	}
	head := rsp.req.Method == http.MethodHead
	_, hasLength := hdr["Content-Length"]
	if bodyAllowed(rsp.status) && !hasLength && (!head || rsp.written > 0) {
		rsp.length = rsp.written
		add("Content-Length", strconv.FormatInt(rsp.written, 10))
	}
	if _, ok := hdr["Content-Type"]; !ok && bodyAllowed(rsp.status) && hdr.Get("Content-Encoding") == "" && len(rsp.begin) > 0 {
		add("Content-Type", http.DetectContentType(rsp.begin))
	}
	keep, value := connection(hdr, rsp.req.ProtoAtLeast(1, 1), last)
	exclude["Connection"] = !keep
	if value != "" {
		add("Connection", value)
	}
	writeStatus(wrt, rsp.req.ProtoAtLeast(1, 1), rsp.status)
	_ = hdr.WriteSubset(wrt, exclude)
	for _, line := range added {
		_, _ = wrt.WriteString(line)
	}
	_, _ = wrt.WriteString("\r\n")
}

// connection returns whether the Connection header of the handler is kept, and the value of the one that is added, if any. modern is set
// for HTTP/1.1.
func connection(hdr http.Header, modern, last bool) (keep bool, added string) {
	closes := hasToken(hdr["Connection"], "close")
	switch {
	case last && closes:
		return true, ""
	case last && modern:
		return false, "close"
	case last || closes: // requests after one that closes may have been dispatched, and their responses follow
		return false, ""
	case !modern && hdr.Get("Connection") == "":
		return true, "keep-alive"
	default:
		return true, ""
	}
}

func writeStatus(wrt *bufio.Writer, modern bool, status int) {
	proto := "HTTP/1.0 "
	if modern {
		proto = "HTTP/1.1 "
	}
	text := http.StatusText(status)
	if text == "" {
		text = "status code " + strconv.Itoa(status)
	}
	_, _ = wrt.WriteString(proto + strconv.Itoa(status) + " " + text + "\r\n")
}
