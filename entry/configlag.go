package entry

import (
	"strconv"

	dto "github.com/prometheus/client_model/go"
)

// lagFamilies returns the gauge of the hosts that lack the newest configuration. It is left out while there are
// none.
func (s snapshot) lagFamilies() []*dto.MetricFamily {
	if len(s.lagging) == 0 {
		return nil
	}
	f := &dto.MetricFamily{
		Name: ptr(namePrefix + "config_lag_seconds"), Type: dto.MetricType_GAUGE.Enum(),
		Help: ptr("Time for which a host has lacked the newest configuration, as this host knows it, with its version and the reason."),
	}
	for _, h := range s.lagging {
		f.Metric = append(f.Metric, &dto.Metric{
			Label: []*dto.LabelPair{label("host", h.Host), label("reason", h.Reason), label("version", strconv.FormatInt(h.Version, 10))},
			Gauge: &dto.Gauge{Value: ptr(h.Since.Seconds())},
		})
	}
	return []*dto.MetricFamily{f}
}

// messageFamilies returns the counter of the bytes sent to other hosts.
func (s snapshot) messageFamilies() []*dto.MetricFamily {
	first, again := labelValues{}, labelValues{}
	for kind, n := range s.messageBytes {
		first[kind], again[kind] = n.First, n.Again
	}
	if len(first) == 0 {
		return nil
	}
	return []*dto.MetricFamily{
		counter("message_bytes_total", "Bytes of messages sent to other hosts for the first time, by kind.", "kind", first),
		counter("message_bytes_again_total", "Bytes of messages sent to other hosts again, by kind.", "kind", again),
	}
}
