package daemon

import (
	"net"
	"net/http"
	"sync"
)

// connStates tracks the open connections of an http.Server and their states.
type connStates struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// setState records the state of a connection. It is used as http.Server.ConnState.
func (c *connStates) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.states, conn)
	default:
		if c.states == nil {
			c.states = make(map[net.Conn]http.ConnState)
		}
		c.states[conn] = state
	}
}

// openCount returns the number of open connections.
func (c *connStates) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.states)
}

// busyCount returns the number of connections that have an open request or have not sent one yet.
func (c *connStates) busyCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, state := range c.states {
		if state != http.StateIdle {
			n++
		}
	}
	return n
}
