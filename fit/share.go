package fit

// Reports show what other hosts started only after seconds, so hosts that see the same
// free room at the same time would each fill it. Each host therefore keeps to its share
// of a worker's memory: the part of the worker's load that was its own in the reports, at
// least one part per entry host. Beyond that, it may start within one report as much as
// its part of the room that the report shows. Cores are not divided: where several hosts
// meet, tasks run slower for a while, which costs less than making them wait.

// shareStep is how far one report moves a worker's share.
const shareStep = 0.5

// SetHosts sets the number of live entry hosts that share the workers.
func (s *Set) SetHosts(n int) { s.hosts = max(n, 1) }

// noteShare learns this host's part of a worker's load from a report. Own tasks that
// have ended since count, too.
func (w *worker) noteShare(u *Usage) {
	var own, all load
	for i := range u.Tasks {
		l := capacity(u.Tasks[i].Used)
		all.add(l)
		if u.Tasks[i].Own {
			own.add(l)
		}
	}
	of := capacity(w.Capacity)
	if total := all.fraction(of); total > 0 {
		w.share += shareStep * (own.fraction(of)/total - w.share)
	}
}

// shareAllows reports whether a start keeps to this host's share. A task that is larger
// than the share may start alone on a worker without load or one that is kept free for it.
func (s *Set) shareAllows(w *worker, key taskKey, need load) bool {
	if s.hosts == 1 {
		return true
	}
	part := 1 / float64(s.hosts)
	usable := s.usable(w)
	if need.memoryMB+w.own.memoryMB <= max(part, w.share)*usable.memoryMB {
		return true
	}
	room := usable
	room.sub(w.foreign)
	reported := w.own
	reported.sub(w.unreported)
	room.sub(reported)
	if need.memoryMB+w.unreported.memoryMB <= part*room.memoryMB {
		return true
	}
	if w.unreported.memoryMB > 0 {
		return false
	}
	idle := w.ownTasks == 0 && w.foreign.memoryMB <= slack
	return idle || w.heldFor != nil && w.heldFor.key == key
}
