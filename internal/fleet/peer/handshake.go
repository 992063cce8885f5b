package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// magic is the start of the first message of each side and identifies the protocol version.
	magic = "CMPEER01"
	// nonceBytes is large enough to make a repeated nonce improbable over the lifetime of a key.
	nonceBytes = 32
	helloBytes = len(magic) + nonceBytes
	// accepted is sent by the server after it has verified the client's proof. The client sends no call before receiving
	// it, so that for a refused client no byte of a call was sent.
	accepted = byte(0x06)

	labelClient = "cardamompass peer client"
	labelServer = "cardamompass peer server"
	// MinKeyBytes is the shortest shared key that clients and servers accept.
	MinKeyBytes = 16
)

// errHandshake reports a peer that does not use this protocol or does not hold the key.
var errHandshake = errors.New("peer failed the handshake")

func proof(key []byte, label string, client, server []byte) (sum []byte) {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(client)
	mac.Write(server)
	return mac.Sum(nil)
}

func newHello() (msg []byte) {
	msg = make([]byte, helloBytes)
	copy(msg, magic)
	// rand.Read never returns an error; it aborts the process if the system's random number generator fails.
	_, _ = rand.Read(msg[len(magic):])
	return msg
}

func readHello(rdr io.Reader) (nonce []byte, err error) {
	msg := make([]byte, helloBytes)
	if _, err = io.ReadFull(rdr, msg); err != nil {
		return nil, err
	}
	if string(msg[:len(magic)]) != magic {
		return nil, errors.Wrap(errHandshake, "wrong protocol or version")
	}
	return msg[len(magic):], nil
}

func checkProof(rdr io.Reader, want []byte) (err error) {
	got := make([]byte, len(want))
	if _, err = io.ReadFull(rdr, got); err != nil {
		return err
	}
	if !hmac.Equal(got, want) {
		return errors.Wrap(errHandshake, "wrong key")
	}
	return nil
}

// clientHandshake performs the handshake on a connection that the caller dialled.
func clientHandshake(con net.Conn, key []byte, deadline time.Time) (err error) {
	defer func() { err = errors.Wrap(err, "client handshake") }()
	if err = con.SetDeadline(deadline); err != nil {
		return err
	}
	own := newHello()
	if _, err = con.Write(own); err != nil {
		return err
	}
	other, err := readHello(con)
	if err != nil {
		return err
	}
	mine := own[len(magic):]
	if err = checkProof(con, proof(key, labelServer, mine, other)); err != nil {
		return err
	}
	if _, err = con.Write(proof(key, labelClient, mine, other)); err != nil {
		return err
	}
	var ack [1]byte
	if _, err = io.ReadFull(con, ack[:]); err != nil {
		return err
	}
	if ack[0] != accepted {
		return errors.Wrap(errHandshake, "unexpected acknowledgement")
	}
	return con.SetDeadline(time.Time{})
}

// serverHandshake performs the handshake on a connection that the caller accepted.
func serverHandshake(con net.Conn, key []byte, deadline time.Time) (err error) {
	defer func() { err = errors.Wrap(err, "server handshake") }()
	if err = con.SetDeadline(deadline); err != nil {
		return err
	}
	other, err := readHello(con)
	if err != nil {
		return err
	}
	own := newHello()
	mine := own[len(magic):]
	if _, err = con.Write(append(own, proof(key, labelServer, other, mine)...)); err != nil {
		return err
	}
	if err = checkProof(con, proof(key, labelClient, other, mine)); err != nil {
		return err
	}
	if _, err = con.Write([]byte{accepted}); err != nil {
		return err
	}
	return con.SetDeadline(time.Time{})
}
