// Package testlog collects what processes under test write to their logs.
package testlog

import (
	"bytes"
	"sync"
)

// Buffer is a log that can be read while it is written. The zero value is empty.
type Buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *Buffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns what has been written.
func (l *Buffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
