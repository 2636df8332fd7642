package main

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// A cut is a partition that proxies obey: while it is in force, they forward nothing,
// and what was sent meanwhile is held up.
type cut struct{ inForce atomic.Bool }

func (c *cut) wait() {
	for c.inForce.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

// proxy forwards the connections that l accepts to an address. Its own connections
// come from the address from, so that the other side sees who speaks.
func proxy(l net.Listener, from, to string, c *cut) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer in.Close()
			c.wait()
			d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
			out, err := d.DialContext(context.Background(), "tcp", to)
			if err != nil {
				return
			}
			defer out.Close()
			var wg sync.WaitGroup
			wg.Go(func() { forward(out, in, c) })
			wg.Go(func() { forward(in, out, c) })
			wg.Wait()
		}()
	}
}

// forward copies until either side ends, and then ends both.
func forward(to, from net.Conn, c *cut) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
