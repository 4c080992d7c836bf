//go:build review2

package main

import (
	"net"
	"sync"
)

// proxy forwards connections to an address. While it is cut, it holds back all bytes in both directions without an error.
type proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	// open is closed while bytes pass, and replaced at each cut.
	open  chan struct{}
	conns map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	pxy := &proxy{listener: lis, target: target, open: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(pxy.open)
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go pxy.forward(con)
		}
	}()
	return pxy, nil
}

func (pxy *proxy) forward(con net.Conn) {
	<-pxy.gate()
	srv, err := net.Dial("tcp", pxy.target)
	if err != nil {
		_ = con.Close()
		return
	}
	pxy.mutex.Lock()
	pxy.conns[con], pxy.conns[srv] = true, true
	pxy.mutex.Unlock()
	go pxy.copy(con, srv)
	pxy.copy(srv, con)
}

// copy forwards bytes until one side ends. The end of a stream is held back like its bytes.
func (pxy *proxy) copy(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		num, err := from.Read(buf)
		<-pxy.gate()
		if num > 0 {
			if _, werr := to.Write(buf[:num]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (pxy *proxy) gate() chan struct{} {
	pxy.mutex.Lock()
	defer pxy.mutex.Unlock()
	return pxy.open
}

// cut holds back all bytes until heal is called.
func (pxy *proxy) cut() {
	pxy.mutex.Lock()
	defer pxy.mutex.Unlock()
	pxy.open = make(chan struct{})
}

func (pxy *proxy) heal() {
	pxy.mutex.Lock()
	defer pxy.mutex.Unlock()
	close(pxy.open)
}

func (pxy *proxy) close() {
	_ = pxy.listener.Close()
	pxy.mutex.Lock()
	defer pxy.mutex.Unlock()
	for con := range pxy.conns {
		_ = con.Close()
	}
}
