package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/crash"
	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// TestReportSurvivesTheMesh guards against fields that get lost on the way to another host.
func TestReportSurvivesTheMesh(t *testing.T) {
	job := crash.Job{Kind: crash.Kind{Host: "h", Prefix: "/p/"}, ID: "j"}
	sent := crash.Report{
		ID: crash.ReportID{Host: 7, Seq: 3}, Process: crash.Process{Worker: "w", Addr: "10.0.0.1:1", Start: 99},
		Evidence: crash.Replaced, Age: time.Second, Tasks: []crash.Task{{Job: job, Index: 0}, {Job: job, Index: 5}},
	}
	got, err := decodeLoss(encodeLoss(sent))
	if err != nil || got.ID != sent.ID || got.Process != sent.Process || got.Evidence != sent.Evidence || got.Age != sent.Age ||
		len(got.Tasks) != 2 || got.Tasks[0] != sent.Tasks[0] || got.Tasks[1] != sent.Tasks[1] {
		t.Errorf("got %+v, %v, want %+v", got, err, sent)
	}
	sent.Tasks[0].Job.ID = "\xff"
	if m := encodeLoss(sent); len(m.GetJobs()) != 1 {
		t.Errorf("%d jobs are sent, want the one with a name that is text", len(m.GetJobs()))
	}
}

// TestReportsOutOfBoundsAreIgnored guards against messages that no sound host sends.
func TestReportsOutOfBoundsAreIgnored(t *testing.T) {
	long := make([]byte, maxJobNameBytes+1)
	for name, m := range map[string]*meshpb.LostWorker{
		"evidence":     {Evidence: 99},
		"negative age": {Evidence: 1, AgeNs: -1},
		"long name":    {Evidence: 1, Jobs: []*meshpb.LostJob{{JobId: string(long), Tasks: []int32{0}}}},
		"task":         {Evidence: 1, Jobs: []*meshpb.LostJob{{JobId: "j", Tasks: []int32{fleet.MaxTasks}}}},
		"many tasks":   {Evidence: 1, Jobs: []*meshpb.LostJob{{JobId: "j", Tasks: make([]int32, crash.MaxTasks+1)}}},
	} {
		if _, err := decodeLoss(m); err == nil {
			t.Errorf("%s: the report was accepted", name)
		}
	}
}
