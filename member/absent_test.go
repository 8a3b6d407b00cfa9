package member

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/place"
)

// lastEndpointIDs returns the identifiers in the last EndpointsChanged among the effects, or
// before if there is none.
func lastEndpointIDs(effects []Effect, before []place.EndpointID) []place.EndpointID {
	for _, e := range effects {
		if changed, ok := e.(EndpointsChanged); ok {
			before = nil
			for _, ep := range changed.Endpoints {
				before = append(before, ep.ID)
			}
		}
	}
	return before
}

// TestAbsentEndpointStaysForGracePeriod guards against two faults. Without the grace period,
// a host refuses every job when the platform's list lacks endpoints that could not renew their
// registration during an outage. Without its end, a host keeps sending work to an endpoint
// that has been absent for long. An endpoint that is leaving gets no grace period.
func TestAbsentEndpointStaysForGracePeriod(t *testing.T) {
	s := New(Options{Host: "a", Zone: "z", Incarnation: 1, Interval: time.Second, ContactsPerZone: 1})
	stays := place.Endpoint{ID: "stays", Identity: "1"}
	leaves := place.Endpoint{ID: "leaves", Identity: "1", Leaving: true}
	steps := []struct {
		name string
		at   time.Duration
		ev   Event
		want int
	}{
		{"both listed", 0, HostList{Endpoints: []place.Endpoint{stays, leaves}}, 2},
		{"list lost both", time.Second, HostList{}, 1},
		{"list is still empty", 2 * time.Second, HostList{}, 1},
		{"listed again", 3 * time.Second, HostList{Endpoints: []place.Endpoint{stays}}, 1},
		{"lost again", 4 * time.Second, HostList{}, 1},
		{"within the grace", 4*time.Second + absentGracePeriod - 1, Tick{}, 1},
		{"absent for long", 4*time.Second + absentGracePeriod, Tick{}, 0},
	}
	var ids []place.EndpointID
	for _, step := range steps {
		ids = lastEndpointIDs(s.Apply(step.at, step.ev), ids)
		if len(ids) != step.want {
			t.Errorf("%s: endpoints %v, want %d", step.name, ids, step.want)
		}
	}
}
