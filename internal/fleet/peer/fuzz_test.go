package peer_test

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"cardamompass/internal/fleet/peer"
)

// checkServing checks that the server still serves other clients.
func checkServing(t *testing.T, srv *peer.Server) {
	if err := client(t, peer.ClientConfig{}).Call(t.Context(), srv.Address(), "Echo.Say", text{}, &text{}); err != nil {
		t.Fatal(err)
	}
}

// sendRaw writes data to the server, closes the writing side and reads until the server closes the connection.
func sendRaw(t *testing.T, con net.Conn, data []byte) {
	_ = con.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = con.Write(data)
	_ = con.(*net.TCPConn).CloseWrite()
	if _, err := io.Copy(io.Discard, con); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("server did not close the connection")
		}
	}
}

// FuzzHandshake guards against a handshake that panics, hangs or allows a process without the key to make a call.
func FuzzHandshake(f *testing.F) {
	srv, _ := start(f, peer.ServerConfig{})
	f.Add([]byte{})
	f.Add(append([]byte("CMPEER01"), make([]byte, 64)...))
	f.Add(append(append([]byte("CMPEER01"), make([]byte, 64)...), peer.Frame("Echo.Say", text{})...))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add(make([]byte, 4096))
	f.Fuzz(func(t *testing.T, data []byte) {
		before := srv.Traffic()
		con, err := net.Dial("tcp", srv.Address())
		if err != nil {
			t.Skip(err)
		}
		defer con.Close()
		sendRaw(t, con, data)
		if after := srv.Traffic(); after.Connections != before.Connections || after.Calls != before.Calls {
			t.Fatalf("%x passed the handshake", data)
		}
	})
}

// FuzzFrames guards against frames of an authenticated peer that crash the server or affect its other connections.
func FuzzFrames(f *testing.F) {
	srv, _ := start(f, peer.ServerConfig{
		MaxMessageBytes: 1 << 16,
	})
	frames := peer.Frame("Echo.Say", text{
		Text: "hi",
	})
	f.Add(frames)
	f.Add(frames[:len(frames)-1])
	f.Add(append(append([]byte{}, frames...), frames...))
	f.Add(binary.BigEndian.AppendUint32(nil, 1<<31-1))
	f.Add(binary.BigEndian.AppendUint32(nil, 0))
	f.Add(append(binary.BigEndian.AppendUint32(nil, 1<<31|4), 3, 255, 255, 255))
	f.Fuzz(func(t *testing.T, data []byte) {
		con, err := peer.DialRaw(srv.Address(), key)
		if err != nil {
			t.Skip(err)
		}
		defer con.Close()
		sendRaw(t, con, data)
		checkServing(t, srv)
	})
}

// FuzzReplies guards against a client that panics or hangs on the replies of a faulty peer.
func FuzzReplies(f *testing.F) {
	f.Add([]byte{})
	f.Add(binary.BigEndian.AppendUint32(nil, 1<<31-1))
	f.Add(append(binary.BigEndian.AppendUint32(nil, 1<<31|4), 3, 255, 255, 255))
	f.Fuzz(func(t *testing.T, data []byte) {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Skip(err)
		}
		defer lis.Close()
		var wgr sync.WaitGroup
		defer wgr.Wait()
		wgr.Go(func() {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			defer con.Close()
			if peer.AcceptRaw(con, key) == nil {
				_, _ = con.Write(data)
			}
		})
		if err = client(t, peer.ClientConfig{}).Call(t.Context(), lis.Addr().String(), "Echo.Say", text{}, &text{}); err == nil {
			t.Fatal("call succeeded")
		}
	})
}
