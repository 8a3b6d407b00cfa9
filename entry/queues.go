package entry

import (
	"maps"
	"slices"

	dto "github.com/prometheus/client_model/go"

	"sesameledge.dev/sesameledge/sched"
)

// queueFamilies returns the counters of the queues whose jobs run on this host's workers. A family without
// metrics cannot be written, so there is none for a host without queues.
func queueFamilies(queues []sched.QueueDump) []*dto.MetricFamily {
	if len(queues) == 0 {
		return nil
	}
	f := counter("queue_jobs_total", "Jobs of all hosts on the workers of this host, by route and result; reserved counts tasks.", "", nil)
	for _, q := range queues {
		for _, result := range slices.Sorted(maps.Keys(q.Results)) {
			f.Metric = append(f.Metric, &dto.Metric{
				Label: []*dto.LabelPair{
					{Name: ptr("route"), Value: ptr(q.Route)},
					{Name: ptr("result"), Value: ptr(string(result))},
				},
				Counter: &dto.Counter{Value: ptr(float64(q.Results[result]))},
			})
		}
	}
	return []*dto.MetricFamily{f}
}
