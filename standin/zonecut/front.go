package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// lookups is how often a connection is looked up. The kernel's table is not read at one
// moment, so that a read can miss an entry while others come and go.
const lookups = 3

// front is the address that a host advertises to its peers. All peers learn the same
// address, so the front finds the zone of the process that opened a connection and
// forwards over the route of that zone.
type front struct {
	net      *network
	zone     string
	target   string
	listener net.Listener
}

func newFront(n *network, zone, target string) (*front, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	f := &front{net: n, zone: zone, target: target, listener: ln}
	go f.accept()
	return f, nil
}

func (f *front) address() string { return f.listener.Addr().String() }

func (f *front) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go f.forward(c.(*net.TCPConn))
	}
}

// forward joins the connection with the route. It resets the connection if the route is cut.
func (f *front) forward(c *net.TCPConn) {
	to, err := f.dial(c)
	if err != nil {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	done := make(chan struct{})
	go func() { _, _ = io.Copy(to, c); closeBoth(c, to); close(done) }()
	_, _ = io.Copy(c, to)
	closeBoth(c, to)
	<-done
}

func closeBoth(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
}

func (f *front) dial(c *net.TCPConn) (net.Conn, error) {
	source := f.net.sourceOf(c)
	f.net.mu.Lock()
	address, err := f.net.via(source, f.zone, f.target)
	f.net.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return net.Dial("tcp", address)
}

// sourceOf returns the zone of the process at the other end of a local connection.
func (n *network) sourceOf(c *net.TCPConn) string {
	n.mu.Lock()
	owners := n.owners
	n.mu.Unlock()
	if owners == nil {
		return unidentified
	}
	for range lookups {
		if zone := ownerOf(c, owners); zone != "" {
			return zone
		}
	}
	return unidentified
}

// ownerOf returns the zone of the process at the other end, or "" if none is found.
func ownerOf(c *net.TCPConn, owners map[int]string) string {
	inode := socketInode(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	for pid, zone := range owners {
		if inode != "" && holds(pid, "socket:["+inode+"]") {
			return zone
		}
	}
	return ""
}

// socketInode returns the inode of the socket with these ends, or "" if there is none.
func socketInode(local, remote *net.TCPAddr) string {
	const inodeField = 6 // counted from the state, which follows the addresses
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	// A search is much faster than splitting each of several thousand lines.
	_, rest, _ := bytes.Cut(table, []byte(tableAddress(local)+" "+tableAddress(remote)+" "))
	line, _, _ := bytes.Cut(rest, []byte("\n"))
	fields := strings.Fields(string(line))
	if len(fields) <= inodeField {
		return ""
	}
	return fields[inodeField]
}

// tableAddress formats an IPv4 address as the kernel's table of sockets does.
func tableAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// holds reports whether a process has the file open.
func holds(pid int, file string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if link, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && link == file {
			return true
		}
	}
	return false
}
