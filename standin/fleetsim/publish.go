package fleetsim

import "fmt"

// Service is the service of all workers and routes of the stand-in.
const Service = "desk"

// CallerHost is the host name of all routes.
const CallerHost = "jobs.example"

// States of a worker's entry.
const (
	Ready    = "ready"
	Draining = "draining"
)

// List writes a worker's entry into the store, as the worker itself does.
func (s *Store) List(w *Worker, zone, addr, state string) {
	s.PutJSON("keyed.servers", w.ID, map[string]any{
		"service": Service, "addr": addr, "zone": zone, "version": "v1", "slots": 8, "state": state,
		"capacity": map[string]int64{"cpu": w.Capacity, "memMb": 65536, "gpu": 0}, "labels": []string{"a", "r1"}, "seq": 1,
	})
}

// Drop removes a worker's entry, as the platform does when the worker has left or its lease
// has ended.
func (s *Store) Drop(w *Worker) { s.Put("keyed.servers", w.ID, nil) }

// Publish writes a configuration with the given path prefixes into the store, as the operator
// does. Versions have to rise.
func (s *Store) Publish(version int64, prefixes ...string) {
	var routes []map[string]any
	for i, p := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r%d", i), "host": CallerHost, "pathPrefix": p, "service": Service, "timeoutMs": 1500,
			"targetLatencyMs": 3000, "priority": 0, "maxAttempts": 3, "slackFactor": 1.6,
		})
	}
	s.PutJSON("keyed.op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": Service, "admissionCheck": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
}

// Submission returns the body of a job whose tasks take a duration, such as "50ms", each on
// so many thousandths of a core.
func Submission(takes string, tasks int, cpu int64) map[string]any {
	return map[string]any{
		"spec": takes, "bestEffort": true,
		"phases": []map[string]any{{"count": tasks, "cpu": cpu, "memMb": 64, "estimatedMs": 50}},
	}
}
