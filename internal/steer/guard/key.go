package guard

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"cardamompass"
)

// Key identifies the content of a request: the first 128 bits of a SHA-256 hash. A block refuses every request with its
// key, so the hash must resist a caller who searches for two contents with one key to get others refused. xxHash does
// not; SHA-256 truncated to 128 bits takes about 2^64 work for a collision and 2^128 to match a given request.
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
		// The length before each part keeps different splits of the same bytes apart.
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
