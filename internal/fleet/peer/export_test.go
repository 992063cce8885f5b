package peer

import (
	"net"
	"time"
)

// DialRaw returns a connection after the handshake, for frames that no client writes.
func DialRaw(address string, key []byte) (con net.Conn, err error) {
	if con, err = net.Dial("tcp", address); err != nil {
		return nil, err
	}
	return con, shakeClient(con, key, time.Now().Add(time.Second))
}

// AcceptRaw does a server's part of the handshake.
func AcceptRaw(con net.Conn, key []byte) (err error) {
	return shakeServer(con, key, time.Now().Add(time.Second))
}
