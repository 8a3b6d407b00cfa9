package entry

import (
	"strconv"
	"strings"

	dto "github.com/prometheus/client_model/go"

	"sesameledge.dev/sesameledge/crash"
	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// maxCrashingTasks bounds the tasks that the metric of crashes names.
	maxCrashingTasks = 20
	// maxLabelBytes bounds what a label quotes of a caller's request.
	maxLabelBytes = 64
)

// lossCounts returns the workers lost with runs on them, by the evidence known then.
func lossCounts(d sched.Stats) labelValues {
	values := make(labelValues, len(d.Losses))
	for i, n := range d.Losses {
		values[crash.Evidence(i+1).String()] = n
	}
	return values
}

// crashFamilies returns the gauge of the tasks under which workers have crashed. It is left out while there
// are none.
func (s snapshot) crashFamilies() []*dto.MetricFamily {
	if len(s.crashingTasks) == 0 {
		return nil
	}
	f := &dto.MetricFamily{
		Name: ptr(namePrefix + "task_crashes"), Type: dto.MetricType_GAUGE.Enum(),
		Help: ptr("Workers that have crashed under a task within the last ten minutes, for the tasks with the most."),
	}
	for _, o := range s.crashingTasks {
		f.Metric = append(f.Metric, &dto.Metric{Label: crashLabels(o), Gauge: &dto.Gauge{Value: ptr(float64(o.Crashes))}})
	}
	return []*dto.MetricFamily{f}
}

// crashLabels returns the labels in the order of their names.
func crashLabels(o crash.CrashingTask) []*dto.LabelPair {
	return []*dto.LabelPair{
		label("job", fleet.Printable(o.Task.Job.ID, maxLabelBytes)),
		label("prefix", fleet.Printable(o.Task.Job.Kind.Prefix, maxLabelBytes)),
		label("standing", o.Standing.String()),
		label("task", strconv.Itoa(o.Task.Index)),
		label("workers", strings.Join(o.Workers, ",")),
	}
}

func label(name, value string) *dto.LabelPair {
	return &dto.LabelPair{Name: ptr(name), Value: ptr(value)}
}
