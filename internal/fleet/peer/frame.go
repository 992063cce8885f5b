package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/atomic"

	"cardamompass"
)

const (
	prefixBytes = 4
	// newStreamBit is set in the length of a frame with which the sender starts a new gob stream.
	newStreamBit = uint32(1) << 31
	// DefaultMaxMessageBytes exceeds the size of a catalogue of cardamompass.MaxValueBytes and of a list of all members.
	DefaultMaxMessageBytes = 4 << 20
	// retainedBufferBytes is the largest buffer capacity that a connection keeps between messages. Larger buffers are
	// released, so that one large message does not permanently increase the memory of an idle connection.
	retainedBufferBytes = 16 << 10
)

// errTooLarge reports a message above the bound on message size.
var errTooLarge = errors.New("message exceeds the size limit")

// Traffic holds the traffic counters of a client or server.
type Traffic struct {
	// BytesIn and BytesOut count bytes of the TCP streams, including handshakes.
	BytesIn  uint64
	BytesOut uint64
	// Calls counts calls that got a reply (client) or were received (server).
	Calls uint64
	// Connections counts connections that passed the handshake.
	Connections uint64
}

type counters struct {
	bytesIn     atomic.Uint64
	bytesOut    atomic.Uint64
	calls       atomic.Uint64
	connections atomic.Uint64
}

func (cnt *counters) traffic() Traffic {
	return Traffic{
		BytesIn:     cnt.bytesIn.Load(),
		BytesOut:    cnt.bytesOut.Load(),
		Calls:       cnt.calls.Load(),
		Connections: cnt.connections.Load(),
	}
}

// countedConn counts the bytes read from and written to a connection.
type countedConn struct {
	net.Conn
	cnt *counters
}

func (con countedConn) Read(buf []byte) (cnt int, err error) {
	cnt, err = con.Conn.Read(buf)
	con.cnt.bytesIn.Add(uint64(cnt))
	return cnt, err
}

func (con countedConn) Write(buf []byte) (cnt int, err error) {
	cnt, err = con.Conn.Write(buf)
	con.cnt.bytesOut.Add(uint64(cnt))
	return cnt, err
}

// frameWriter encodes messages as frames of a gob stream. It is not safe for concurrent use.
type frameWriter struct {
	out   io.Writer
	limit int
	buf   bytes.Buffer
	enc   *gob.Encoder
	fresh bool
}

func newFrameWriter(out io.Writer, limit int) *frameWriter {
	return &frameWriter{
		out:   out,
		limit: limit,
	}
}

// encode encodes one message of several values into the buffer. After an error nothing is buffered, and the next message
// starts a new gob stream, because the receiver did not get the type descriptions in this message.
func (fwr *frameWriter) encode(values ...any) (err error) {
	if fwr.buf.Cap() > retainedBufferBytes {
		fwr.buf = bytes.Buffer{}
	}
	fwr.buf.Reset()
	fwr.buf.Write(make([]byte, prefixBytes))
	if fwr.enc == nil {
		fwr.enc = gob.NewEncoder(&fwr.buf)
		fwr.fresh = true
	}
	for _, val := range values {
		if err = fwr.enc.Encode(val); err != nil {
			break
		}
	}
	size := fwr.buf.Len() - prefixBytes
	if err == nil && size > fwr.limit {
		err = errors.Wrapf(errTooLarge, "%d bytes, limit %d", size, fwr.limit)
	}
	if err != nil {
		fwr.buf.Reset()
		fwr.enc = nil
		return err
	}
	prefix := uint32(size)
	if fwr.fresh {
		prefix |= newStreamBit
		fwr.fresh = false
	}
	binary.BigEndian.PutUint32(fwr.buf.Bytes(), prefix)
	return nil
}

// flush writes the buffered frame and returns the number of bytes written.
func (fwr *frameWriter) flush() (cnt int, err error) {
	return fwr.out.Write(fwr.buf.Bytes())
}

// frameReader decodes frames. It is not safe for concurrent use.
type frameReader struct {
	inp   io.Reader
	limit int
	buf   bytes.Buffer
	msg   *bytes.Reader
	dec   *gob.Decoder
}

func newFrameReader(inp io.Reader, limit int) *frameReader {
	return &frameReader{
		inp:   inp,
		limit: limit,
		msg:   bytes.NewReader(nil),
	}
}

// next reads the next frame. After an error the stream is unusable. The error is io.EOF only between frames.
func (frd *frameReader) next() (err error) {
	var prefix [prefixBytes]byte
	if _, err = io.ReadFull(frd.inp, prefix[:]); err != nil {
		return err
	}
	num := binary.BigEndian.Uint32(prefix[:])
	size := int(num &^ newStreamBit)
	if size > frd.limit {
		return errors.Wrapf(errTooLarge, "frame of %d bytes, limit %d", size, frd.limit)
	}
	if frd.buf.Cap() > retainedBufferBytes {
		frd.buf = bytes.Buffer{}
	}
	frd.buf.Reset()
	// CopyN grows the buffer as bytes arrive, so that a false length does not allocate memory.
	if _, err = io.CopyN(&frd.buf, frd.inp, int64(size)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return errors.Wrap(err, "frame cut short")
	}
	frd.msg.Reset(frd.buf.Bytes())
	if num&newStreamBit != 0 || frd.dec == nil {
		frd.dec = gob.NewDecoder(frd.msg)
	}
	return nil
}

// decode reads the next value of the current frame; nil discards it.
func (frd *frameReader) decode(val any) (err error) { return frd.dec.Decode(val) }

// requestHeader precedes the arguments of a call.
type requestHeader struct {
	Seq    uint64
	Method string
	// Timeout is the time that remains for the call. The server counts it from the arrival of the frame.
	Timeout time.Duration
}

type failureKind uint8

const (
	// failureNone is not zero, so that an empty header is not taken for a success.
	failureNone failureKind = iota + 1
	failureNotRun
	failureUnknown
	failureInvalid
	failureOther
)

// replyHeader is the envelope of a reply. The reply value follows only when Kind is failureNone.
type replyHeader struct {
	Seq    uint64
	Kind   failureKind
	Text   string
	Field  string
	Reason string
	Target string
	Broken bool
}

func (rhd replyHeader) withFailure(err error) replyHeader {
	var (
		nre *cardamompass.NotRunError
		uoe *cardamompass.UnknownOutcomeError
		ine *cardamompass.InvalidError
	)
	rhd.Kind = failureOther
	rhd.Text = err.Error()
	switch {
	// An unknown outcome takes precedence: if the chain also contains a NotRunError, the request may still have run.
	case errors.As(err, &uoe):
		rhd.Kind = failureUnknown
		rhd.Reason, rhd.Target, rhd.Broken = uoe.Reason, string(uoe.Target), uoe.Broken
	case errors.As(err, &nre):
		rhd.Kind = failureNotRun
		rhd.Reason, rhd.Target = nre.Reason, string(nre.Target)
	case errors.As(err, &ine):
		rhd.Kind = failureInvalid
		rhd.Field, rhd.Reason = ine.Field, ine.Reason
	}
	return rhd
}

// failure returns the error in the header, nil if the call succeeded.
func (rhd replyHeader) failure() (err error) {
	rem := &RemoteError{
		Text: rhd.Text,
	}
	switch rhd.Kind {
	case failureNone:
		return nil
	case failureNotRun:
		rem.Err = &cardamompass.NotRunError{
			Reason: rhd.Reason,
			Target: cardamompass.TargetID(rhd.Target),
		}
	case failureUnknown:
		rem.Err = &cardamompass.UnknownOutcomeError{
			Reason: rhd.Reason,
			Target: cardamompass.TargetID(rhd.Target),
			Broken: rhd.Broken,
		}
	case failureInvalid:
		rem.Err = &cardamompass.InvalidError{
			Field:  rhd.Field,
			Reason: rhd.Reason,
		}
	default:
		// For other errors and for kinds of a later version, only the text is known.
	}
	return rem
}

// RemoteError reports that the peer received the call and returned an error.
type RemoteError struct {
	// Text is the peer's error text.
	Text string
	// Err is the typed error of the root package that the peer's error contained, nil if it contained none.
	Err error
}

func (err *RemoteError) Error() string { return "peer answered: " + err.Text }

// Unwrap returns Err.
func (err *RemoteError) Unwrap() error { return err.Err }
