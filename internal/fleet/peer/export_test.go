package peer

import (
	"bytes"
	"net"
	"time"
)

// DialRaw returns a connection after the handshake, for writing frames that a Client does not produce.
func DialRaw(address string, key []byte) (con net.Conn, err error) {
	if con, err = net.Dial("tcp", address); err != nil {
		return nil, err
	}
	return con, clientHandshake(con, key, time.Now().Add(time.Second))
}

// AcceptRaw performs the server's side of the handshake.
func AcceptRaw(con net.Conn, key []byte) (err error) {
	return serverHandshake(con, key, time.Now().Add(time.Second))
}

// Frame returns the encoded frame of a call.
func Frame(method string, args any) (data []byte) {
	var buf bytes.Buffer
	fwr := newFrameWriter(&buf, DefaultMaxMessageBytes)
	if err := fwr.encode(requestHeader{
		Method:  method,
		Timeout: time.Second,
	}, args); err != nil {
		panic(err)
	}
	if _, err := fwr.flush(); err != nil {
		panic(err)
	}
	return buf.Bytes()
}
