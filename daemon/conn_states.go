package daemon

import (
	"net"
	"net/http"
	"sync"
)

// connStates knows the open connections of a server.
type connStates struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// note has the form of http.Server.ConnState.
func (c *connStates) note(conn net.Conn, state http.ConnState) {
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

// open returns the number of open connections.
func (c *connStates) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.states)
}

// busy returns the number of connections with an open request, or without any so far.
func (c *connStates) busy() int {
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
