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
	// frame is one message between a sidecar and an entry. Method is empty for replies.
	frame struct {
		sidecar   string
		toSidecar bool
		method    string
	}

	// action is what a relay does with a frame.
	action interface{ isAction() }

	pass struct{}
	// cut breaks the connection; after says whether the frame is written first.
	cut       struct{ after bool }
	duplicate struct{}
	drop      struct{}
	// late writes the frame now and a copy of it later.
	late struct{ by time.Duration }
	// delay writes the frame later, so that following frames overtake it.
	delay struct{ by time.Duration }

	// relay stands between all sidecars and one entry, and knows the frames of io/rgwire.
	relay struct {
		listener net.Listener
		target   string
		mutex    sync.Mutex
		rule     func(frame) action
		conns    map[net.Conn]bool
		// late counts the copies that have not been written yet.
		late atomic.Int64
	}

	// pipe is one direction of a connection through a relay.
	pipe struct {
		mutex sync.Mutex
		to    net.Conn
	}
)

func (pass) isAction()      {}
func (cut) isAction()       {}
func (duplicate) isAction() {}
func (drop) isAction()      {}
func (late) isAction()      {}
func (delay) isAction()     {}

// setRule changes what happens to frames; nil passes them all.
func (rel *relay) setRule(rule func(frame) action) {
	rel.mutex.Lock()
	defer rel.mutex.Unlock()
	rel.rule = rule
}

func (rel *relay) decide(frm frame) action {
	rel.mutex.Lock()
	defer rel.mutex.Unlock()
	if rel.rule == nil {
		return pass{}
	}
	return rel.rule(frm)
}

func (rel *relay) serve() {
	for {
		con, err := rel.listener.Accept()
		if err != nil {
			return
		}
		go rel.connect(con)
	}
}

func (rel *relay) connect(con net.Conn) {
	oth, err := net.Dial("tcp", rel.target)
	if err != nil {
		_ = con.Close()
		return
	}
	rel.mutex.Lock()
	rel.conns[con], rel.conns[oth] = true, true
	rel.mutex.Unlock()
	var name sync.Map
	stop := func() { _, _ = con.Close(), oth.Close() }
	go func() { defer stop(); rel.copy(con, &pipe{to: oth}, &name, false) }()
	defer stop()
	rel.copy(oth, &pipe{to: con}, &name, true)
}

// copy passes frames on until the connection ends or a rule cuts it.
func (rel *relay) copy(from net.Conn, pip *pipe, name *sync.Map, toSidecar bool) {
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
		if !rel.apply(pip, rel.decide(frm), raw) {
			return
		}
	}
}

func (rel *relay) apply(pip *pipe, act action, raw []byte) bool {
	switch act := act.(type) {
	case cut:
		if act.after {
			pip.write(raw)
		}
		return false
	case drop:
		return true
	case duplicate:
		return pip.write(append(raw, raw...))
	case late:
		rel.late.Add(1)
		time.AfterFunc(act.by, func() { pip.write(raw); rel.late.Add(-1) })
		return pip.write(raw)
	case delay:
		time.AfterFunc(act.by, func() { pip.write(raw) })
		return true
	default:
		return pip.write(raw)
	}
}

func (pip *pipe) write(raw []byte) bool {
	pip.mutex.Lock()
	defer pip.mutex.Unlock()
	_, err := pip.to.Write(raw)
	return err == nil
}

// cutAll breaks all connections through the relay.
func (rel *relay) cutAll() {
	rel.mutex.Lock()
	defer rel.mutex.Unlock()
	for con := range rel.conns {
		_ = con.Close()
		delete(rel.conns, con)
	}
}
