package fleetsim

import "fmt"

// Service is the name of the service that all simulated workers and routes belong to.
const Service = "desk"

// CallerHost is the host name of all routes.
const CallerHost = "jobs.example"

// States of a worker in its record.
const (
	Ready    = "ready"
	Draining = "draining"
)

// PutWorkerEntry writes the record of a worker into the store, as the worker itself does.
func (s *Store) PutWorkerEntry(w *Worker, zone, addr, state string) {
	entry := map[string]any{
		"service": Service, "addr": addr, "zone": zone, "version": "v1", "slots": 8, "state": state,
		"capacity": map[string]int64{"cpu": w.Capacity, "memMb": 65536, "gpu": 0},
		"labels":   []string{"a", "r1"}, "seq": 1, "coldLeftMs": w.coldLeft().Milliseconds(),
	}
	if _, start := w.faultsAndStart(); w.NamesProcess {
		entry["born"] = start.UnixMilli()
	}
	s.PutJSON("keyed.servers", w.ID, entry)
}

// PutEvacuation requests the evacuation of an availability zone or withdraws it, as the operator does.
func (s *Store) PutEvacuation(zone string, requested bool) {
	value := []byte("{}")
	if !requested {
		value = nil
	}
	s.Put("keyed.op", "evacuate/"+zone, value)
}

// RemoveWorkerEntry removes the record of a worker, as the platform does when the worker has left or its lease has
// ended.
func (s *Store) RemoveWorkerEntry(w *Worker) { s.Put("keyed.servers", w.ID, nil) }

// PublishConfig writes a configuration with one route for each path prefix into the store, as the operator
// does. The version must be higher than that of the previous configuration.
func (s *Store) PublishConfig(version int64, prefixes ...string) {
	var routes []map[string]any
	for i, p := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r%d", i), "host": CallerHost, "pathPrefix": p, "service": Service,
			"timeoutMs": 1500, "targetLatencyMs": 3000, "priority": 0, "maxAttempts": 3, "slackFactor": 1.6,
		})
	}
	s.PutJSON("keyed.op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": Service, "admissionCheck": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
}

// JobBody returns the request body of a job. Each of its tasks takes the given duration, such as
// "50ms", and needs cpu thousandths of a core.
func JobBody(duration string, tasks int, cpu int64) map[string]any {
	return map[string]any{
		"spec": duration, "bestEffort": true,
		"phases": []map[string]any{{"count": tasks, "cpu": cpu, "memMb": 64, "estimatedMs": 50}},
	}
}
