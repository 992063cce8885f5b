// Package buffer bounds the memory of the bodies that a process holds.
//
// A Pool is the memory for all bodies of one kind. A Buffer holds one body and takes memory from its pool as the body arrives, so that
// a sender that announces a long body and stalls takes little. A long body may grow to the size of the memory that it leaves free, and
// a part of the pool is reserved for short ones: bodies without end leave memory for the others, and a single long body can still use
// almost half of the pool.
package buffer

import (
	"errors"
	"fmt"
	"io"
	"math"
	"sync/atomic"
)

const (
	// defaultLimit is the limit of a pool whose configuration has none, in bytes.
	defaultLimit = 64 << 20
	// firstChunk is the memory in bytes that a body takes at first. A body that fits is allocated once.
	firstChunk = 32 << 10
	// firstChunkUnknown is the same for a body of unknown length.
	firstChunkUnknown = 4 << 10
	// shortBodyReserve is the divisor that gives the part of a pool which only bodies up to firstChunk may use.
	shortBodyReserve = 8
)

// FullError reports a body for which the pool has no memory.
type FullError struct {
	// Want is the size of the body, or the size to which it had to grow, in bytes.
	Want int64
	// Used is the memory that all bodies of the pool hold, and Limit that which they may hold, in bytes.
	Used, Limit int64
}

func (err *FullError) Error() string {
	return fmt.Sprintf("no memory for a body of %d bytes: %d of %d bytes are in use", err.Want, err.Used, err.Limit)
}

// TooLongError reports a body that is longer than permitted.
type TooLongError struct {
	// Limit is the permitted length in bytes.
	Limit int64
}

func (err *TooLongError) Error() string {
	return fmt.Sprintf("the body exceeds the limit of %d bytes", err.Limit)
}

// Config configures a Pool.
type Config struct {
	// Limit is the memory of all bodies together in bytes; 64 MiB if it is 0.
	Limit int64
}

// Pool is the memory of the bodies of one kind. It is safe for concurrent use.
type Pool struct {
	limit int64
	used  atomic.Int64
}

// New returns an empty Pool.
func New(cfg Config) (pol *Pool) {
	if cfg.Limit <= 0 {
		cfg.Limit = defaultLimit
	}
	return &Pool{
		limit: cfg.Limit,
	}
}

// Used returns the memory that the bodies hold, in bytes.
func (pol *Pool) Used() (bytes int64) { return pol.used.Load() }

// Check returns a FullError if a body of this size does not fit into the pool now. It reserves nothing.
func (pol *Pool) Check(size int64) (err error) {
	if used := pol.used.Load(); size > firstChunk && !pol.fits(size, used) {
		return pol.full(size, used)
	}
	return nil
}

// Holds reports whether a body of this size fits into the pool while it is empty.
func (pol *Pool) Holds(size int64) (ok bool) { return size <= firstChunk || pol.fits(size, 0) }

// fits reports whether a long body may have this size while other bodies hold others bytes: without the part that is reserved for
// short bodies, it must leave as much memory free as it takes.
func (pol *Pool) fits(size, others int64) (ok bool) {
	return 2*size <= pol.limit-pol.limit/shortBodyReserve-others
}

func (pol *Pool) full(want, used int64) (err error) {
	return &FullError{
		Want:  want,
		Used:  used,
		Limit: pol.limit,
	}
}

// NewBuffer returns a Buffer that holds no memory yet. The caller must call Release.
func (pol *Pool) NewBuffer() (buf *Buffer) {
	buf = &Buffer{
		pol: pol,
	}
	buf.holders.Store(1)
	return buf
}

// Buffer holds the memory of one body. ReadAll is called once; the other methods are safe for concurrent use.
type Buffer struct {
	pol     *Pool
	size    int64
	holders atomic.Int64
}

// Retain adds a holder, which must call Release too.
func (buf *Buffer) Retain() { buf.holders.Add(1) }

// Release returns the memory to the pool when the last holder calls it.
func (buf *Buffer) Release() {
	if buf.holders.Add(-1) == 0 {
		buf.pol.used.Add(-buf.size)
	}
}

// Reserve makes the buffer hold size bytes for a body that the caller stores itself. The error is a FullError. It is used instead of
// ReadAll, and not concurrently with Release.
func (buf *Buffer) Reserve(size int64) (err error) { return buf.grow(size) }

// grow makes the buffer hold size bytes.
func (buf *Buffer) grow(size int64) (err error) {
	more := size - buf.size
	for {
		used := buf.pol.used.Load()
		others := used - buf.size
		if used+more > buf.pol.limit || (size > firstChunk && !buf.pol.fits(size, others)) {
			return buf.pol.full(size, used)
		}
		if buf.pol.used.CompareAndSwap(used, used+more) {
			buf.size = size
			return nil
		}
	}
}

// ReadAll reads a body to its end. declared is its length in bytes, or -1 if the end of src ends it; limit is the permitted length in
// bytes, or 0 for none. A body that ends before its declared length is an io.ErrUnexpectedEOF. Other errors are a TooLongError, a
// FullError, or that of src.
func (buf *Buffer) ReadAll(src io.Reader, declared, limit int64) (data []byte, err error) {
	if limit > 0 && declared > limit {
		return nil, &TooLongError{
			Limit: limit,
		}
	}
	most, capacity := int64(math.MaxInt64), int64(firstChunkUnknown)
	switch {
	case declared >= 0:
		most, capacity = declared, min(declared, firstChunk)
	case limit > 0:
		most = limit + 1 // one byte more shows that the body is too long
	}
	if err = buf.grow(capacity); err != nil {
		return nil, err
	}
	data = make([]byte, 0, capacity)
	for int64(len(data)) != declared {
		if len(data) == cap(data) {
			capacity = min(2*capacity, most)
			if err = buf.grow(capacity); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, capacity), data...)
		}
		num, err := src.Read(data[len(data):cap(data)])
		data = data[:len(data)+num]
		switch {
		case limit > 0 && int64(len(data)) > limit:
			return nil, &TooLongError{
				Limit: limit,
			}
		case int64(len(data)) == declared:
			return data, nil
		case errors.Is(err, io.EOF) && declared >= 0:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
	return data, nil
}
