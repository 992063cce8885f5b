package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a proxy that passes connections on to an address and holds what comes back to the rate of a machine's link.
type link struct {
	address string
	target  string
	rate    float64 // bytes a second

	mu   sync.Mutex
	free time.Time // when the link has sent what it has taken
}

// linkPiece is the number of bytes that the link takes at a time.
const linkPiece = 1500

func newLink(address, target string, mbps float64) (lnk *link, err error) {
	lsn, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	lnk = &link{
		address: lsn.Addr().String(),
		target:  target,
		rate:    mbps * 1e6 / 8,
	}
	go func() {
		for {
			con, err := lsn.Accept()
			if err != nil {
				return
			}
			go lnk.serve(con)
		}
	}()
	return lnk, nil
}

func (lnk *link) serve(con net.Conn) {
	defer con.Close()
	up, err := net.Dial("tcp", lnk.target)
	if err != nil {
		return
	}
	defer up.Close()
	go func() {
		_, _ = io.Copy(up, con)
		_ = up.Close()
	}()
	buf := make([]byte, linkPiece)
	for {
		num, err := up.Read(buf)
		if num > 0 {
			lnk.wait(num)
			if _, werr := con.Write(buf[:num]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait returns when the link has sent num bytes more.
func (lnk *link) wait(num int) {
	lnk.mu.Lock()
	now := time.Now()
	if lnk.free.Before(now) {
		lnk.free = now
	}
	lnk.free = lnk.free.Add(time.Duration(float64(num) / lnk.rate * float64(time.Second)))
	until := lnk.free
	lnk.mu.Unlock()
	// The sleep of the system is longer than a piece takes.
	if left := time.Until(until); left > 2*time.Millisecond {
		time.Sleep(left)
	}
}
