package crowdtest

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the time between two measurements. The kernel records the highest resident size
// itself; the samples add what the kernel holds for the process, and the descriptors.
const sampleInterval = 25 * time.Millisecond

// usage holds the highest memory and descriptors of a process that were measured.
type usage struct {
	pid       int
	listeners map[string]bool // local addresses as /proc/net/tcp shows them
	done      chan struct{}
	ended     chan struct{}
	once      sync.Once

	mu          sync.Mutex
	memory      int64 // bytes
	descriptors int
}

// awaitOwnDescriptors waits until a new process has none of this process's sockets. The kernel closes
// them one by one while it starts the program; until then they show up as those of the new process.
func awaitOwnDescriptors(pid int) {
	for sharesSockets(pid) {
		time.Sleep(time.Millisecond)
	}
}

// sharesSockets reports whether a process has a socket that this process has, too.
func sharesSockets(pid int) bool {
	of := func(dir string) map[string]bool {
		sockets := make(map[string]bool)
		open, _ := os.ReadDir(dir) // a process that has ended has none
		for _, fd := range open {
			if target, err := os.Readlink(dir + "/" + fd.Name()); err == nil && strings.HasPrefix(target, "socket:") {
				sockets[target] = true
			}
		}
		return sockets
	}
	own := of("/proc/self/fd")
	for socket := range of(fmt.Sprintf("/proc/%d/fd", pid)) {
		if own[socket] {
			return true
		}
	}
	return false
}

// watch measures the process of a host until stop is called.
func watch(h *hostNode) *usage {
	awaitOwnDescriptors(h.process.PID())
	u := &usage{pid: h.process.PID(), listeners: make(map[string]bool), done: make(chan struct{}), ended: make(chan struct{})}
	listen := h.settings.Listen
	for _, addr := range []string{listen.Callers, listen.Ready, listen.Peers, listen.Metrics} {
		u.listeners[kernelAddress(addr)] = true
	}
	go func() {
		defer close(u.ended)
		for {
			u.sample()
			select {
			case <-u.done:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return u
}

// kernelAddress returns an address, IP:port, in the form of /proc/net/tcp.
func kernelAddress(addr string) string {
	tcp, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		panic(err) // the tests allocate the addresses
	}
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(tcp.IP.To4()), tcp.Port)
}

// stop ends the measurement.
func (u *usage) stop() {
	u.once.Do(func() { close(u.done) })
	<-u.ended
}

// highest returns the highest memory in bytes and the highest number of descriptors so far.
func (u *usage) highest() (memory int64, descriptors int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.memory, u.descriptors
}

// sample measures once. A process that has ended has no values.
func (u *usage) sample() {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	if err != nil {
		return
	}
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid))
	memory := max(statusBytes(status, "VmHWM:"), statusBytes(status, "VmRSS:")+u.receivedBytes())
	u.mu.Lock()
	defer u.mu.Unlock()
	u.memory = max(u.memory, memory)
	u.descriptors = max(u.descriptors, len(open))
}

// statusBytes returns the value of a line of /proc/PID/status, in bytes.
func statusBytes(status []byte, name string) int64 {
	for _, line := range bytes.Split(status, []byte("\n")) {
		if fields := strings.Fields(string(line)); len(fields) == 3 && fields[0] == name {
			kib, _ := strconv.ParseInt(fields[1], 10, 64) // the kernel writes numbers
			return kib << 10
		}
	}
	return 0
}

// receivedBytes returns how many bytes the kernel has received on the process's listeners and their
// connections that the process has not read. They count as its memory on the platform.
func (u *usage) receivedBytes() int64 {
	const listening = "0A" // its queue holds connections, not bytes
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	var total int64
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 5 || !u.listeners[fields[1]] || fields[3] == listening {
			continue
		}
		if _, queue, ok := strings.Cut(fields[4], ":"); ok {
			n, _ := strconv.ParseInt(queue, 16, 64) // the kernel writes numbers
			total += n
		}
	}
	return total
}
