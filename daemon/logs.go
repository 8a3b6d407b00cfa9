package daemon

import (
	"io"
	stdlog "log"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// logs holds one logger per part of the daemon. Each line has the key "part" with the part's name.
type logs struct {
	threshold *atomic.Int32
	daemon    log.Logger
	dispatch  log.Logger
	backend   log.Logger
	config    log.Logger
	platform  log.Logger
	peer      log.Logger
	member    log.Logger
	callers   log.Logger
	operators log.Logger
}

var severity = map[string]int32{"debug": 0, "info": 1, "warn": 2, "error": 3}

func newLogs(w io.Writer, format, minLevel string) *logs {
	base := log.NewLogfmtLogger(log.NewSyncWriter(w))
	if format == "json" {
		base = log.NewJSONLogger(log.NewSyncWriter(w))
	}
	threshold := new(atomic.Int32)
	threshold.Store(severity[minLevel])
	base = log.With(&levelFilter{next: base, threshold: threshold}, "ts", log.DefaultTimestampUTC)
	part := func(name string) log.Logger { return log.With(base, "part", name) }
	return &logs{
		threshold: threshold,
		daemon:    part("daemon"),
		dispatch:  part("dispatch"),
		backend:   part("backend"),
		config:    part("config"),
		platform:  part("platform"),
		peer:      part("peer"),
		member:    part("member"),
		callers:   part("callers"),
		operators: part("operators"),
	}
}

// setLevel changes the lowest severity that is logged.
func (l *logs) setLevel(name string) { l.threshold.Store(severity[name]) }

// levelFilter drops lines below the threshold. Unlike level.NewFilter, its threshold can change while
// the daemon runs.
type levelFilter struct {
	next      log.Logger
	threshold *atomic.Int32
}

// Log implements log.Logger.
func (l *levelFilter) Log(keyvals ...any) error {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] != level.Key() {
			continue
		}
		if v, ok := keyvals[i+1].(level.Value); ok && severity[v.String()] < l.threshold.Load() {
			return nil
		}
	}
	return l.next.Log(keyvals...)
}

// redirectStandardLog sends the output of the standard library's logger, such as messages about
// unsolicited responses on a connection, to the backend part at debug level. It affects the whole
// process.
func (l *logs) redirectStandardLog() {
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.NewStdlibAdapter(level.Debug(l.backend)))
}
