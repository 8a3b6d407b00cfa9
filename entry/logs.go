package entry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

const (
	// flushInterval is the time between two writes of buffered log lines.
	flushInterval = 100 * time.Millisecond
	// maxPendingBytes bounds the buffered lines that wait to be written.
	maxPendingBytes = 256 << 10
	// maxLineBytes bounds one line. Longer ones quote something from outside, and are cut off.
	maxLineBytes = 4 << 10
)

// logWriter buffers log lines until another goroutine writes them, so that a stalled output
// does not delay the event loop. Lines that exceed the rate limit or the buffer are dropped and
// counted.
type logWriter struct {
	mu           sync.Mutex
	pending      bytes.Buffer
	flushing     bytes.Buffer
	rate         int   // lines a second; also the largest burst
	allowed      int   // lines that may still be accepted before the next flush
	dropped      int   // lines dropped since the last flush
	droppedTotal int64 // lines dropped since the start
}

// newLogWriter returns a writer that accepts a number of lines a second. It accepts bursts of up
// to that number, since what the rate limit allows accumulates for one second.
func newLogWriter(linesPerSecond int) *logWriter {
	return &logWriter{rate: linesPerSecond, allowed: linesPerSecond}
}

// Write implements io.Writer. It buffers or drops one line. It never blocks on the output and
// never returns an error.
func (l *logWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowed <= 0 || l.pending.Len()+min(len(line), maxLineBytes) > maxPendingBytes {
		l.dropped++
		l.droppedTotal++
		return len(line), nil
	}
	l.allowed--
	l.pending.Write(line[:min(len(line), maxLineBytes)])
	if len(line) > maxLineBytes {
		l.pending.WriteString("...\n")
	}
	return len(line), nil
}

// leaveOut counts a line that the caller does not write, so that the log tells of it.
func (l *logWriter) leaveOut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped++
	l.droppedTotal++
}

// run writes the buffered lines to out until stop is closed, and then the rest.
func (l *logWriter) run(out io.Writer, stop <-chan struct{}) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.flush(out)
		case <-stop:
			l.flush(out)
			return
		}
	}
}

// flush writes the buffered lines and the number of dropped lines to out. It also allows as many
// new lines as the rate limit gives for one flush interval.
func (l *logWriter) flush(out io.Writer) {
	l.mu.Lock()
	l.allowed = min(l.allowed+max(1, l.rate*int(flushInterval)/int(time.Second)), l.rate)
	if l.dropped > 0 {
		fmt.Fprintf(&l.pending, "part=log msg=\"lines left out\" count=%d\n", l.dropped)
		l.dropped = 0
	}
	l.pending, l.flushing = l.flushing, l.pending
	l.mu.Unlock()
	if l.flushing.Len() > 0 {
		_, _ = out.Write(l.flushing.Bytes()) // an error means that the output is closed, so nobody reads the log
		l.flushing.Reset()
	}
}

// setRate changes the rate limit.
func (l *logWriter) setRate(linesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = linesPerSecond
}

// droppedLines returns the number of lines dropped since the start.
func (l *logWriter) droppedLines() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.droppedTotal
}

// newLogger returns a logger that writes logfmt lines with the time and the host's name. Each call
// adds the part that the line comes from.
func newLogger(w io.Writer, host string) log.Logger {
	return log.With(log.NewLogfmtLogger(w), "ts", log.DefaultTimestampUTC, "host", host)
}
