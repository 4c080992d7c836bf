//go:build review

package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

type (
	// proxy passes connections on to an address. It can hold bytes back, and reset connections.
	proxy struct {
		target string
		mutex  sync.Mutex
		conns  map[*proxied]bool
	}

	// proxied is a connection through a proxy. Each direction has a time until which it holds bytes, and the end of the connection, back.
	proxied struct {
		client, server *net.TCPConn
		mutex          sync.Mutex
		heldUp         time.Time
		heldDown       time.Time
	}
)

func newProxy(address, target string) (*proxy, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	prx := &proxy{target: target, conns: map[*proxied]bool{}}
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go prx.serve(con.(*net.TCPConn))
		}
	}()
	return prx, nil
}

func (prx *proxy) serve(con *net.TCPConn) {
	srv, err := net.DialTimeout("tcp", prx.target, 500*time.Millisecond)
	if err != nil {
		_ = con.SetLinger(0)
		_ = con.Close()
		return
	}
	cur := &proxied{client: con, server: srv.(*net.TCPConn)}
	prx.mutex.Lock()
	prx.conns[cur] = true
	prx.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { cur.copy(cur.server, cur.client, &cur.heldUp) })
	both.Go(func() { cur.copy(cur.client, cur.server, &cur.heldDown) })
	both.Wait()
	prx.mutex.Lock()
	delete(prx.conns, cur)
	prx.mutex.Unlock()
}

// copy passes bytes on, and the end of the connection, as soon as they are not held back.
func (cur *proxied) copy(dst, src *net.TCPConn, held *time.Time) {
	buf := make([]byte, 32<<10)
	for {
		num, err := src.Read(buf)
		for {
			cur.mutex.Lock()
			left := time.Until(*held)
			cur.mutex.Unlock()
			if left <= 0 {
				break
			}
			time.Sleep(min(left, 5*time.Millisecond))
		}
		if num > 0 {
			if _, werr := dst.Write(buf[:num]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = dst.Close()
			_ = src.Close()
			return
		}
	}
}

// cut holds the bytes of a share of the connections back, in one direction or in both.
func (prx *proxy) cut(share float64, up, down bool, dur time.Duration) {
	prx.mutex.Lock()
	defer prx.mutex.Unlock()
	for cur := range prx.conns {
		if rand.Float64() >= share {
			continue
		}
		cur.mutex.Lock()
		if up {
			cur.heldUp = time.Now().Add(dur)
		}
		if down {
			cur.heldDown = time.Now().Add(dur)
		}
		cur.mutex.Unlock()
	}
}

// resetSome resets a share of the connections.
func (prx *proxy) resetSome(share float64) {
	prx.mutex.Lock()
	defer prx.mutex.Unlock()
	left := int(share * float64(len(prx.conns)))
	for cur := range prx.conns {
		if left--; left < 0 {
			return
		}
		_ = cur.client.SetLinger(0)
		_ = cur.server.SetLinger(0)
		_ = cur.client.Close()
		_ = cur.server.Close()
	}
}
