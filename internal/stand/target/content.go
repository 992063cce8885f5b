package target

import (
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ContentKey identifies what a caller sent, independent of connection and attempt: the method, the path with the query as
// the target received it, and the body.
func ContentKey(method, uri string, body []byte) string {
	return fmt.Sprintf("%s %s %016x", method, uri, xxhash.Sum64(body))
}

// Content returns the response body of size bytes for the request with this ContentKey.
func Content(key string, size int64) []byte {
	dat, _ := io.ReadAll(newContent(key, size))
	return dat
}

// ETag returns the strong entity tag of the response body that Content returns.
func ETag(key string, size int64) string {
	return fmt.Sprintf("\"%016x-%d\"", xxhash.Sum64String(key), size)
}

// content is a seekable response body that is computed as it is read.
type content struct {
	sed uint64
	siz int64
	off int64
}

var _ io.ReadSeeker = (*content)(nil)

func newContent(key string, size int64) *content {
	return &content{
		sed: xxhash.Sum64String(key),
		siz: size,
	}
}

// Read implements io.Reader.
func (cnt *content) Read(buf []byte) (num int, err error) {
	if cnt.off >= cnt.siz {
		return 0, io.EOF
	}
	buf = buf[:min(int64(len(buf)), cnt.siz-cnt.off)]
	for num = range buf {
		pos := uint64(cnt.off) + uint64(num)
		buf[num] = byte(mix(cnt.sed+pos/8) >> (8 * (pos % 8)))
	}
	cnt.off += int64(len(buf))
	return len(buf), nil
}

// Seek implements io.Seeker.
func (cnt *content) Seek(off int64, whence int) (pos int64, err error) {
	switch whence {
	case io.SeekCurrent:
		off += cnt.off
	case io.SeekEnd:
		off += cnt.siz
	}
	if off < 0 {
		return 0, errors.New("seek before the start")
	}
	cnt.off = off
	return off, nil
}

// mix is the finalizer of the splitmix64 generator.
func mix(num uint64) uint64 {
	num = (num ^ (num >> 30)) * 0xbf58476d1ce4e5b9
	num = (num ^ (num >> 27)) * 0x94d049bb133111eb
	return num ^ (num >> 31)
}
