package entry

import (
	dto "github.com/prometheus/client_model/go"

	"sesameledge.dev/sesameledge/admission"
)

// gateFamilies returns the metrics of the listeners, by port.
func (h *Host) gateFamilies() []*dto.MetricFamily {
	connections, highest, bytes, highestBytes := labelValues{}, labelValues{}, labelValues{}, labelValues{}
	refused := &dto.MetricFamily{
		Name: ptr(namePrefix + "clients_refused_total"), Type: dto.MetricType_COUNTER.Enum(),
		Help: ptr("Clients that were refused or whose connection was closed, by port and reason."),
	}
	for _, g := range h.gates {
		s := g.stats()
		connections[g.name], highest[g.name] = int64(s.Connections), int64(s.HighestConnections)
		bytes[g.name], highestBytes[g.name] = s.Bytes, s.HighestBytes
		for r, n := range s.Refused {
			refused.Metric = append(refused.Metric, &dto.Metric{
				Label: []*dto.LabelPair{
					{Name: ptr("port"), Value: ptr(g.name)}, {Name: ptr("reason"), Value: ptr(admission.Reason(r).String())},
				},
				Counter: &dto.Counter{Value: ptr(float64(n))},
			})
		}
	}
	return []*dto.MetricFamily{
		gaugeBy("connections", "Open connections.", "port", connections),
		gaugeBy("connections_highest", "Most connections that were open at a time.", "port", highest),
		gaugeBy("request_bytes", "Memory reserved for requests that are being received.", "port", bytes),
		gaugeBy("request_bytes_highest", "Most memory that was reserved at a time.", "port", highestBytes),
		refused,
	}
}

// gaugeBy returns a gauge family with one metric for each label value.
func gaugeBy(name, help, label string, values labelValues) *dto.MetricFamily {
	f := counter(name, help, label, values)
	f.Type = dto.MetricType_GAUGE.Enum()
	for _, m := range f.Metric {
		m.Gauge, m.Counter = &dto.Gauge{Value: m.Counter.Value}, nil
	}
	return f
}

// gateStats returns the figures of the listeners, by port.
func (h *Host) gateStats() map[string]admission.Stats {
	out := make(map[string]admission.Stats, len(h.gates))
	for _, g := range h.gates {
		out[g.name] = g.stats()
	}
	return out
}
