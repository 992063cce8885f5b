package guard

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"cardamompass"
)

// Key identifies the content of a request: the first 128 bits of a SHA-256 hash. A block refuses every request with its
// key, so the hash must be collision-resistant: otherwise a caller could construct two contents with one key to get the
// requests of others refused. xxHash is not; for SHA-256 truncated to 128 bits a collision takes about 2^64 work, and a
// match of a given request about 2^128.
type Key [16]byte

// String returns the key in hexadecimal digits.
func (key Key) String() (text string) { return hex.EncodeToString(key[:]) }

// MarshalText implements encoding.TextMarshaler for the state dump.
func (key Key) MarshalText() (text []byte, err error) { return []byte(key.String()), nil }

// KeyOf returns the key of a request's service, method, path, query and body.
func KeyOf(req *cardamompass.Request) (key Key) {
	hsh := sha256.New()
	var size [8]byte
	write := func(part []byte) {
		// The length prefix distinguishes different splits of the same bytes.
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		hsh.Write(size[:])
		hsh.Write(part)
	}
	var buf [256]byte
	write(append(buf[:0], req.Service...))
	write(append(buf[:0], req.Method...))
	write(append(buf[:0], req.Path...))
	write(append(buf[:0], req.RawQuery...))
	write(req.Body)
	var sum [sha256.Size]byte
	copy(key[:], hsh.Sum(sum[:0]))
	return key
}
