package sched

import "time"

// entryProbeInterval is the time between two holds to an idle worker whose entry and lists name
// different processes.
const entryProbeInterval = time.Second

// entryOutdated reports whether the entry of a worker describes another process than the one that has
// answered last. Another process may have other labels, another kind, service or capacity, so the worker
// gets no tasks until its entry is read. Entries that do not name their process are taken as they are.
func (w *worker) entryOutdated() bool {
	return w.info.ProcessStart != 0 && w.heardProcess != 0 && w.info.ProcessStart != w.heardProcess
}

// AwaitsEntries reports whether a worker that this host commands waits for the entry of its process.
func (s *State) AwaitsEntries() bool {
	for _, w := range s.sortedWorkers {
		if w.phase != phaseNone && !w.removed && w.entryOutdated() {
			return true
		}
	}
	return false
}

// hearProcess records which process of a worker has answered, and asks for the entry if it is that of
// another one.
func (s *State) hearProcess(w *worker, start int64) {
	if start == 0 || start == w.heardProcess {
		return
	}
	w.heardProcess = start
	if w.entryOutdated() {
		s.logEvent("", "worker waits for the entry of its process", "worker", w.info.ID, "born", start, "entry", w.info.ProcessStart)
		s.emit(EntriesWanted{})
	}
}

// hearOrder does the same for the answer to a start or a stop. The runs of the process, and whether the
// answer is older than the newest list, are found out by a hold.
func (s *State) hearOrder(now time.Duration, w *worker, start int64) {
	if start == 0 || start == w.heardProcess || w.phase == phaseNone {
		return
	}
	s.hearProcess(w, start)
	s.sendUrgentHold(now, w)
}

// compareEntry asks a worker for its process if a new entry names another one than the worker did.
func (s *State) compareEntry(now time.Duration, w *worker, former int64) {
	if w.info.ProcessStart != former && w.phase != phaseNone && w.entryOutdated() {
		s.sendUrgentHold(now, w)
	}
}
