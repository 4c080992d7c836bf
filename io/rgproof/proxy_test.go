package rgproof

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ragwortgap/io/rgwire"
)

type (
	// frame is one message between a sidecar and an entry. The method is empty for replies.
	frame struct {
		sidecar   string
		toSidecar bool
		method    string
	}

	// action is how a proxy handles a frame.
	action interface{ isAction() }

	pass struct{}
	// closeConn closes the connection, after writing the frame if afterWrite is set.
	closeConn struct{ afterWrite bool }
	duplicate struct{}
	drop      struct{}
	// lateCopy writes the frame immediately and a copy of it later.
	lateCopy struct{ by time.Duration }
	// delay writes the frame later, so that following frames overtake it.
	delay struct{ by time.Duration }

	// proxy forwards the connections of all sidecars to one entry, and parses the frames of io/rgwire.
	proxy struct {
		listener net.Listener
		target   string
		mutex    sync.Mutex
		rule     func(frame) action
		conns    map[net.Conn]bool
		// pendingCopies is the number of copies that have not been written yet.
		pendingCopies atomic.Int64
	}

	// connWriter writes whole frames to one side of a proxied connection.
	connWriter struct {
		mutex sync.Mutex
		to    net.Conn
	}
)

func (pass) isAction()      {}
func (closeConn) isAction() {}
func (duplicate) isAction() {}
func (drop) isAction()      {}
func (lateCopy) isAction()  {}
func (delay) isAction()     {}

// setRule replaces the rule that chooses the action for each frame; nil passes all frames.
func (prx *proxy) setRule(rule func(frame) action) {
	prx.mutex.Lock()
	defer prx.mutex.Unlock()
	prx.rule = rule
}

func (prx *proxy) decide(frm frame) action {
	prx.mutex.Lock()
	defer prx.mutex.Unlock()
	if prx.rule == nil {
		return pass{}
	}
	return prx.rule(frm)
}

func (prx *proxy) serve() {
	for {
		con, err := prx.listener.Accept()
		if err != nil {
			return
		}
		go prx.proxyConn(con)
	}
}

func (prx *proxy) proxyConn(con net.Conn) {
	target, err := net.Dial("tcp", prx.target)
	if err != nil {
		_ = con.Close()
		return
	}
	prx.mutex.Lock()
	prx.conns[con], prx.conns[target] = true, true
	prx.mutex.Unlock()
	var name sync.Map
	stop := func() { _, _ = con.Close(), target.Close() }
	go func() { defer stop(); prx.copyFrames(con, &connWriter{to: target}, &name, false) }()
	defer stop()
	prx.copyFrames(target, &connWriter{to: con}, &name, true)
}

// copyFrames forwards frames until the connection ends or an action closes it.
func (prx *proxy) copyFrames(from net.Conn, cw *connWriter, name *sync.Map, toSidecar bool) {
	src := bufio.NewReader(from)
	for {
		size, err := binary.ReadUvarint(src)
		if err != nil {
			return
		}
		raw := binary.AppendUvarint(nil, size)
		raw = append(raw, make([]byte, size)...)
		bod := raw[len(raw)-int(size):]
		if _, err := io.ReadFull(src, bod); err != nil {
			return
		}
		var msg struct {
			Method string          `json:"method"`
			Params json.RawMessage `json:"params"`
		}
		_ = json.Unmarshal(bod, &msg)
		if msg.Method == "announce" {
			var ann rgwire.Announce
			_ = json.Unmarshal(msg.Params, &ann)
			name.Store("name", ann.Sidecar.Name)
		}
		frm := frame{toSidecar: toSidecar, method: msg.Method}
		if val, ok := name.Load("name"); ok {
			frm.sidecar = val.(string)
		}
		if !prx.apply(cw, prx.decide(frm), raw) {
			return
		}
	}
}

func (prx *proxy) apply(cw *connWriter, act action, raw []byte) bool {
	switch act := act.(type) {
	case closeConn:
		if act.afterWrite {
			cw.write(raw)
		}
		return false
	case drop:
		return true
	case duplicate:
		return cw.write(append(raw, raw...))
	case lateCopy:
		prx.pendingCopies.Add(1)
		time.AfterFunc(act.by, func() { cw.write(raw); prx.pendingCopies.Add(-1) })
		return cw.write(raw)
	case delay:
		time.AfterFunc(act.by, func() { cw.write(raw) })
		return true
	default:
		return cw.write(raw)
	}
}

func (cw *connWriter) write(raw []byte) bool {
	cw.mutex.Lock()
	defer cw.mutex.Unlock()
	_, err := cw.to.Write(raw)
	return err == nil
}

// closeAll closes all connections through the proxy.
func (prx *proxy) closeAll() {
	prx.mutex.Lock()
	defer prx.mutex.Unlock()
	for con := range prx.conns {
		_ = con.Close()
		delete(prx.conns, con)
	}
}
