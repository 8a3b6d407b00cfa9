package member_test

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/member"
)

// goneBound is the time within which every member of a zone sees a dead one as gone,
// also if no rumor arrives: two turns of the ring, of which suspects may take half, the
// timeout of the call, and the time of a suspect.
func goneBound(hosts int) time.Duration {
	return time.Duration(2*hosts)*member.DefaultInterval + callTimeout + member.DefaultSuspectFor
}

// Guards against dead members that stay in the views.
func TestDeadMemberIsGoneWithinBound(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{2, 3, 7, 20} {
		var worst time.Duration
		for seed := range uint64(5) {
			w := newWorld(seed, 1, hosts, "")
			w.run(5 * time.Second)
			died := w.now
			w.current["zone-00-1"].dead = true
			for !w.allSee("zone-00-1", member.Gone) && w.now-died <= goneBound(hosts) {
				w.run(tick)
			}
			worst = max(worst, w.now-died)
		}
		t.Logf("%2d hosts: gone everywhere after at most %v, bound %v", hosts, worst, goneBound(hosts))
		if worst > goneBound(hosts) {
			t.Errorf("%d hosts: a dead member was not gone everywhere after %v", hosts, worst)
		}
	}
}

// allSee reports whether all live processes see a host in a status.
func (w *world) allSee(host string, st member.Status) bool {
	for _, p := range w.current {
		for _, v := range p.state.Members(w.processTime(p)) {
			if !p.dead && v.Host == host && !v.Self && v.Status != st {
				return false
			}
		}
	}
	return true
}

// Guards against leaving marks that spread slowly when only one host has seen them. In
// today's deployments gossip alone keeps the 3 s that hold for marks in the platform's
// list; with more hosts each doubling takes about one more round.
func TestMarkReachesAllHostsInTime(t *testing.T) {
	t.Parallel()
	for _, size := range []struct {
		zones, hosts int
		bound        time.Duration
	}{{3, 7, 3 * time.Second}, {3, 40, 5 * time.Second}} {
		var worst time.Duration
		for seed := range uint64(3) {
			w := newWorld(seed, size.zones, size.hosts, "")
			w.run(10 * time.Second)
			began := w.now
			w.refuse("zone-00-0", 0)
			for len(w.unmarked()) > 0 && w.now-began < 10*time.Second {
				w.run(tick)
			}
			worst = max(worst, w.now-began)
		}
		t.Logf("%d hosts: mark known everywhere after at most %v", size.hosts, worst)
		if worst > size.bound {
			t.Errorf("%d hosts: mark known everywhere after %v", size.hosts, worst)
		}
	}
}

// unmarked returns the hosts whose list misses a mark.
func (w *world) unmarked() []string {
	var out []string
	for _, name := range w.hosts() {
		for m := range w.marks {
			if !hasLeaving(w.current[name].eps, m) {
				out = append(out, name)
			}
		}
	}
	return out
}
