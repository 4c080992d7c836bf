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

	// pass writes the frame unchanged.
	pass struct{}
	// closeConn closes the connection, after writing the frame if afterWrite is set.
	closeConn struct{ afterWrite bool }
	// duplicate writes the frame twice.
	duplicate struct{}
	// drop does not write the frame.
	drop struct{}
	// delayedDuplicate writes the frame immediately and a second time later.
	delayedDuplicate struct{ by time.Duration }
	// delay writes the frame later, so following frames overtake it.
	delay struct{ by time.Duration }

	// proxy forwards the connections of all sidecars to one entry, and parses the frames of io/rgwire.
	proxy struct {
		listener net.Listener
		target   string
		mutex    sync.Mutex
		rule     func(frame) action
		conns    map[net.Conn]bool
		// pendingDuplicates is the number of delayed duplicates that have not been written yet.
		pendingDuplicates atomic.Int64
	}

	// connWriter writes whole frames to one side of a proxied connection.
	connWriter struct {
		mutex sync.Mutex
		to    net.Conn
	}
)

func (pass) isAction()             {}
func (closeConn) isAction()        {}
func (duplicate) isAction()        {}
func (drop) isAction()             {}
func (delayedDuplicate) isAction() {}
func (delay) isAction()            {}

// setRule replaces the rule that chooses the action for each frame. A nil rule passes all frames.
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
	var sidecarName sync.Map
	stop := func() { _, _ = con.Close(), target.Close() }
	go func() { defer stop(); prx.forwardFrames(con, &connWriter{to: target}, &sidecarName, false) }()
	defer stop()
	prx.forwardFrames(target, &connWriter{to: con}, &sidecarName, true)
}

// forwardFrames forwards frames until the connection ends or an action closes it.
func (prx *proxy) forwardFrames(from net.Conn, cw *connWriter, sidecarName *sync.Map, toSidecar bool) {
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
			sidecarName.Store("name", ann.Sidecar.Name)
		}
		frm := frame{toSidecar: toSidecar, method: msg.Method}
		if val, ok := sidecarName.Load("name"); ok {
			frm.sidecar = val.(string)
		}
		if !prx.apply(cw, prx.decide(frm), raw) {
			return
		}
	}
}

// apply applies an action to a raw frame. It returns false if the connection has to be closed.
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
	case delayedDuplicate:
		prx.pendingDuplicates.Add(1)
		time.AfterFunc(act.by, func() { cw.write(raw); prx.pendingDuplicates.Add(-1) })
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
