package rgflood

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// sampleInterval is how often a process is measured.
	sampleInterval = 10 * time.Millisecond
	// stateListening is the state of a listening socket in /proc/net/tcp.
	stateListening = "0A"
)

type (
	// Usage is the most that a process has used at any time.
	Usage struct {
		// MemoryBytes is the resident memory and the bytes that the kernel has received for the process and that it has not read.
		MemoryBytes int64
		// UnreadBytes is the part of MemoryBytes that was not read.
		UnreadBytes int64
		Descriptors int
	}

	// Watch measures a process at short intervals.
	Watch struct {
		// Done is closed when the watch has ended.
		Done chan struct{}

		pid  int
		stop chan struct{}
		peak Usage
		err  error
	}

	// socket is a line of /proc/net/tcp.
	socket struct {
		local, state, inode string
		unread              int64
	}
)

// StartWatch begins to measure a process.
func StartWatch(pid int) *Watch {
	wch := &Watch{Done: make(chan struct{}), pid: pid, stop: make(chan struct{})}
	go wch.run()
	return wch
}

// Stop ends the watch and returns the most that the process has used since it began, and its largest resident memory since its start.
func (wch *Watch) Stop() (Usage, error) {
	close(wch.stop)
	<-wch.Done
	return wch.peak, wch.err
}

func (wch *Watch) run() {
	defer close(wch.Done)
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			wch.sample("VmRSS:")
		case <-wch.stop:
			wch.sample("VmHWM:")
			return
		}
	}
}

// sample measures the process once. The field is the one of /proc/PID/status that counts as resident memory.
func (wch *Watch) sample(field string) {
	use, err := measure(wch.pid, field)
	if err != nil {
		wch.err = err
		return
	}
	if use.MemoryBytes > wch.peak.MemoryBytes {
		wch.peak.MemoryBytes, wch.peak.UnreadBytes = use.MemoryBytes, use.UnreadBytes
	}
	wch.peak.Descriptors = max(wch.peak.Descriptors, use.Descriptors)
}

func measure(pid int, field string) (Usage, error) {
	dir := fmt.Sprintf("/proc/%d", pid)
	inodes, num, err := openSockets(dir + "/fd")
	if err != nil {
		return Usage{}, err
	}
	unread, err := unreadBytes(dir+"/net/tcp", inodes)
	if err != nil {
		return Usage{}, err
	}
	raw, err := os.ReadFile(dir + "/status")
	if err != nil {
		return Usage{}, errors.Annotate(err, "read memory")
	}
	_, rest, _ := strings.Cut(string(raw), field)
	val, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kib, err := strconv.ParseInt(val, 10, 64)
	return Usage{MemoryBytes: kib<<10 + unread, UnreadBytes: unread, Descriptors: num}, errors.Annotatef(err, "read %s", field)
}

// openSockets returns the inodes of the sockets among the descriptors in a folder, and the number of descriptors.
func openSockets(dir string) (inodes map[string]bool, descriptors int, err error) {
	fds, err := os.ReadDir(dir)
	if err != nil {
		return nil, 0, errors.Annotate(err, "list descriptors")
	}
	inodes = map[string]bool{}
	for _, fd := range fds {
		// The descriptor may be closed by now.
		name, _ := os.Readlink(dir + "/" + fd.Name())
		if ino, found := strings.CutPrefix(name, "socket:["); found {
			inodes[strings.TrimSuffix(ino, "]")] = true
		}
	}
	return inodes, len(fds), nil
}

// unreadBytes returns the bytes that the sockets have received and that were not read. Connections that were not accepted yet have no
// inode and belong to the listening socket of their address.
func unreadBytes(path string, inodes map[string]bool) (int64, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0, errors.Annotate(err, "read sockets")
	}
	var socks []socket
	listening := map[string]bool{}
	for lin := range strings.Lines(string(raw)) {
		sck, ok := parseSocket(lin)
		if !ok {
			continue
		}
		socks = append(socks, sck)
		if sck.state == stateListening && inodes[sck.inode] {
			listening[sck.local] = true
		}
	}
	sum := int64(0)
	for _, sck := range socks {
		if sck.state != stateListening && (inodes[sck.inode] || sck.inode == "0" && listening[sck.local]) {
			sum += sck.unread
		}
	}
	return sum, nil
}

// parseSocket returns false for the head of the table. The fields are: number, local and remote address, state, bytes to send and unread
// ones, timer, retransmissions, user, timeout, inode.
func parseSocket(lin string) (socket, bool) {
	fds := strings.Fields(lin)
	if len(fds) < 10 {
		return socket{}, false
	}
	_, rcv, _ := strings.Cut(fds[4], ":")
	unread, err := strconv.ParseInt(rcv, 16, 64)
	return socket{local: fds[1], state: fds[3], inode: fds[9], unread: unread}, err == nil
}
