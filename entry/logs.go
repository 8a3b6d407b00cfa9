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
	// flushTime is the period in which log lines are written.
	flushTime = 100 * time.Millisecond
	// maxLogBytes bounds the lines that wait to be written.
	maxLogBytes = 256 << 10
)

// logWriter keeps log lines until they are written by another goroutine, so that a reader
// that stalls delays no decision. Lines beyond the rate or the bound are left out and
// counted.
type logWriter struct {
	mu      sync.Mutex
	buffer  bytes.Buffer
	spare   bytes.Buffer
	perTick int // lines
	lines   int // since the last flush
	omitted int
	total   int64 // lines left out since the start
}

// newLogWriter returns a writer that admits a number of lines a second. Unused lines of the
// last second are added up for bursts.
func newLogWriter(linesPerSecond int) *logWriter {
	return &logWriter{perTick: linesPerSecond, lines: linesPerSecond}
}

// Write implements io.Writer. It never blocks on the output.
func (l *logWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lines <= 0 || l.buffer.Len()+len(line) > maxLogBytes {
		l.omitted++
		l.total++
		return len(line), nil
	}
	l.lines--
	return l.buffer.Write(line)
}

// run writes the lines to out until stop is closed, and then what is left.
func (l *logWriter) run(out io.Writer, stop <-chan struct{}) {
	ticker := time.NewTicker(flushTime)
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

func (l *logWriter) flush(out io.Writer) {
	l.mu.Lock()
	l.lines = min(l.lines+max(1, l.perTick*int(flushTime)/int(time.Second)), l.perTick)
	if l.omitted > 0 {
		fmt.Fprintf(&l.buffer, "part=log msg=\"lines left out\" count=%d\n", l.omitted)
		l.omitted = 0
	}
	l.buffer, l.spare = l.spare, l.buffer
	l.mu.Unlock()
	if l.spare.Len() > 0 {
		_, _ = out.Write(l.spare.Bytes()) // standard output is gone: nobody reads the log
		l.spare.Reset()
	}
}

// setRate changes the number of lines a second.
func (l *logWriter) setRate(linesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perTick = linesPerSecond
}

// omittedLines returns the number of lines left out since the start.
func (l *logWriter) omittedLines() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// newLogger returns a logger of structured lines. Each has the host and the part that it comes from.
func newLogger(w io.Writer, host string) log.Logger {
	return log.With(log.NewLogfmtLogger(w), "ts", log.DefaultTimestampUTC, "host", host)
}
