package timing

import (
	"strings"
	"testing"
	"time"
)

// TestLeaseAfterContact guards against a lease that ends later than the horizon after the last contact with
// the caller's host, and against one that is too short for its worker to be held.
func TestLeaseAfterContact(t *testing.T) {
	for _, resend := range []time.Duration{0, 1200 * time.Millisecond, 1011 * time.Millisecond} {
		b, err := New(Limits{ResendAfter: resend})
		if err != nil {
			t.Fatal(err)
		}
		for age := time.Duration(0); age <= b.ContactTimeout; age += 5 * time.Millisecond {
			lease := b.LeaseAfter(age)
			if end := age + OnHostClock(lease); end > b.Horizon || lease < MinLease {
				t.Errorf("%v: after %v a lease of %v, which ends %v after the contact; the horizon is %v", resend, age, lease, end, b.Horizon)
			}
		}
		if b.LeaseAfter(2*b.Horizon) != 0 {
			t.Errorf("%v: a lease after the horizon", resend)
		}
	}
	if b := Default(); b.ResendAfter-b.LongestRun() < 150*time.Millisecond {
		t.Errorf("%v are left before callers send again, want 150ms", b.ResendAfter-b.LongestRun())
	}
}

// TestBudget guards against time limits whose sum exceeds the time after which callers send a job
// again, against other limits for the deployments that run today, and against a sum that nobody is told
// of.
func TestBudget(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		limits Limits
		lease  time.Duration
		err    string
	}{
		{Limits{}, 700 * ms, ""},
		{Limits{1300 * ms, 1000 * ms, 50 * ms}, 700 * ms, ""},
		{Limits{5000 * ms, 2000 * ms, 50 * ms}, 700 * ms, ""},
		{Limits{1300 * ms, 600 * ms, 50 * ms}, 600 * ms, ""},
		{Limits{1200 * ms, 1000 * ms, 50 * ms}, 636 * ms, ""},
		{Limits{1011 * ms, 1000 * ms, 50 * ms}, 450 * ms, ""},
		{Limits{1300 * ms, 1000 * ms, 200 * ms}, 584 * ms, ""},
		{Limits{1010 * ms, 1000 * ms, 50 * ms}, 0, "send a job again after 1.01s, but its earlier runs may go on for 1.01s"},
		{Limits{1000 * ms, 1000 * ms, 50 * ms}, 0, "send a job again after 1s"},
		{Limits{1300 * ms, 1000 * ms, 400 * ms}, 0, "408ms to end them"},
		{Limits{1300 * ms, 400 * ms, 50 * ms}, 0, "a lease of at most 400ms"},
		{Limits{ms, ms, 50 * ms}, 0, "too short"},
	} {
		b, err := New(c.limits)
		switch {
		case c.err != "":
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("%+v: error %v, want one with %q", c.limits, err, c.err)
			}
		case err != nil || b.Lease != c.lease || b.ContactTimeout != 450*ms || b.LongestRun() > b.ResendAfter:
			t.Errorf("%+v: %+v, %v, runs last %v", c.limits, b, err, b.LongestRun())
		}
	}
}

// TestRunOverOnSlowestClock guards against a run that counts as over while a worker with the slowest clock still
// ends it.
func TestRunOverOnSlowestClock(t *testing.T) {
	b, err := New(Limits{RunEnd: 98 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if over := b.RunOver(time.Second); over != 1100*time.Millisecond {
		t.Errorf("a run that is being ended since 1s is over at %v, want 1.1s", over)
	}
}
