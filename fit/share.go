package fit

// Reports show only after seconds what other hosts started, so hosts that see the same free room
// at the same time would each fill it. Each host therefore stays within its share of a worker's
// memory. The share is the part of the worker's load that was the host's own in the reports, but
// at least an even share among the entry hosts. Beyond its share, a host may start, between two
// reports, as much as an even share of the free room that the report shows. Cores are not divided:
// where several hosts use the same cores, tasks run slower for a while, which costs less than
// making them wait.

// shareWeight is the weight of one report in a worker's ownShare.
const shareWeight = 0.5

// SetHosts sets the number of live entry hosts that share the workers, this one included.
func (s *Set) SetHosts(n int) { s.hosts = max(n, 1) }

// updateShare updates this host's share of a worker's load from a report. Own tasks that have
// ended since the report count, too.
func (w *worker) updateShare(u *WorkerUsage) {
	var ownLoad, totalLoad load
	for i := range u.Tasks {
		l := loadOf(u.Tasks[i].Used)
		totalLoad.add(l)
		if u.Tasks[i].Own {
			ownLoad.add(l)
		}
	}
	capacity := loadOf(w.Capacity)
	if total := totalLoad.fraction(capacity); total > 0 {
		w.ownShare += shareWeight * (ownLoad.fraction(capacity)/total - w.ownShare)
	}
}

// shareAllows reports whether a start stays within this host's share of the worker's memory. A
// task that is larger than the share may start on a worker without load, or on one that is
// reserved for it.
func (s *Set) shareAllows(w *worker, key taskKey, allocation load) bool {
	if s.hosts == 1 {
		return true
	}
	evenShare := 1 / float64(s.hosts)
	usable := s.usable(w)
	if allocation.memoryMB+w.ownLoad.memoryMB <= max(evenShare, w.ownShare)*usable.memoryMB {
		return true
	}
	freeRoom := usable
	freeRoom.sub(w.othersLoad)
	reportedOwn := w.ownLoad
	reportedOwn.sub(w.unreportedLoad)
	freeRoom.sub(reportedOwn)
	if allocation.memoryMB+w.unreportedLoad.memoryMB <= evenShare*freeRoom.memoryMB {
		return true
	}
	if w.unreportedLoad.memoryMB > 0 {
		return false
	}
	idle := w.ownTasks == 0 && w.othersLoad.memoryMB <= roundingTolerance
	return idle || w.reservedFor != nil && w.reservedFor.key == key
}
