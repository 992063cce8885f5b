package pipe

import (
	"bytes"
	"io"
	"strings"
)

// readSize is the size of a read in bytes. The limit of a header is exact to this size, as in net/http.
const readSize = 4096

// source reads the bytes of a connection and delimits headers for the http.ReadRequest that reads from it: in a header it returns one
// line at a time, so that no byte after the header is taken into the buffer of its reader.
type source struct {
	con  io.Reader
	buf  []byte
	rpos int // buf[rpos:wpos] has been read from con and not from the source
	wpos int
	// err is the error of con; it distinguishes the end of a connection from a request that is malformed.
	err error

	head headInfo
	// body is the number of bytes of the current body that follow; -1 for a body whose end its chunks tell.
	body   int64
	inBody bool
}

// headInfo is what a source notes about a header. The http package removes these fields.
type headInfo struct {
	size             int // bytes
	host             bool
	contentLength    bool
	transferEncoding bool
	lineStart        []byte // begin of the current line, up to longestName bytes
}

// longestName is the length of the longest name that a source looks for, with its colon.
const longestName = len("Transfer-Encoding:")

// newSource returns a source of the bytes first, followed by those of con.
func newSource(con io.Reader, first []byte) (src *source) {
	src = &source{
		con: con,
		buf: make([]byte, max(readSize, len(first))),
	}
	src.wpos = copy(src.buf, first)
	return src
}

// buffered returns the number of bytes that were read from the connection and not from the source.
func (src *source) buffered() (count int) { return src.wpos - src.rpos }

// beginHeader is called before the header of a request is read.
func (src *source) beginHeader() {
	src.head = headInfo{
		lineStart: src.head.lineStart[:0],
	}
	src.inBody = false
}

// beginBody is called after a header, with the length of the body or -1.
func (src *source) beginBody(length int64) { src.body, src.inBody = length, true }

// await waits until a byte can be read.
func (src *source) await() (err error) {
	for src.buffered() == 0 {
		if err = src.fill(); err != nil {
			return err
		}
	}
	return nil
}

// fill reads from the connection once.
func (src *source) fill() (err error) {
	if src.err != nil {
		return src.err
	}
	src.wpos = copy(src.buf, src.buf[src.rpos:src.wpos])
	src.rpos = 0
	num, err := src.con.Read(src.buf[src.wpos:])
	src.wpos += num
	src.err = err
	if num > 0 {
		return nil
	}
	return err
}

// Read implements io.Reader.
func (src *source) Read(buf []byte) (num int, err error) {
	if src.inBody {
		return src.readBody(buf)
	}
	for bytes.IndexByte(src.buf[src.rpos:src.wpos], '\n') < 0 && src.buffered() < len(src.buf) {
		if err = src.fill(); err != nil {
			return 0, err
		}
	}
	num = src.copyLine(buf)
	src.head.note(buf[:num])
	return num, nil
}

// readBody returns bytes of a body. Those of a chunked one end with a line, so that no byte after it is returned.
func (src *source) readBody(buf []byte) (num int, err error) {
	if src.body == 0 || len(buf) == 0 {
		return 0, io.EOF
	}
	if err = src.await(); err != nil {
		return 0, err
	}
	if src.body < 0 {
		return src.copyLine(buf), nil
	}
	buf = buf[:min(int64(len(buf)), src.body)]
	num = copy(buf, src.buf[src.rpos:src.wpos])
	src.rpos += num
	src.body -= int64(num)
	return num, nil
}

// copyLine copies what has been read, up to the end of the line.
func (src *source) copyLine(buf []byte) (num int) {
	line := src.buf[src.rpos:src.wpos]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end+1]
	}
	num = copy(buf, line)
	src.rpos += num
	return num
}

// note notes a line of a header or a part of one.
func (hed *headInfo) note(part []byte) {
	hed.size += len(part)
	if room := longestName - len(hed.lineStart); room > 0 {
		hed.lineStart = append(hed.lineStart, part[:min(room, len(part))]...)
	}
	if len(part) == 0 || part[len(part)-1] != '\n' {
		return
	}
	if name, _, ok := strings.Cut(string(hed.lineStart), ":"); ok {
		switch {
		case strings.EqualFold(name, "Host"):
			hed.host = true
		case strings.EqualFold(name, "Content-Length"):
			hed.contentLength = true
		case strings.EqualFold(name, "Transfer-Encoding"):
			hed.transferEncoding = true
		}
	}
	hed.lineStart = hed.lineStart[:0]
}
