package timing

import (
	"strings"
	"testing"
	"time"
)

// TestLeaseAfterContact guards against a lease that ends later than the horizon after the last contact with
// the caller's host, and against one that is too short for its worker to be held.
func TestLeaseAfterContact(t *testing.T) {
	for _, resend := range []time.Duration{0, 1200 * time.Millisecond, 1010 * time.Millisecond} {
		b, err := New(resend, 0)
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
		resend, maxLease, lease time.Duration
		err                     string
	}{
		{0, 0, 700 * ms, ""},
		{1300 * ms, 1000 * ms, 700 * ms, ""},
		{5000 * ms, 2000 * ms, 700 * ms, ""},
		{1300 * ms, 600 * ms, 600 * ms, ""},
		{1200 * ms, 1000 * ms, 637 * ms, ""},
		{1010 * ms, 1000 * ms, 450 * ms, ""},
		{1000 * ms, 1000 * ms, 0, "send a job again after 1s"},
		{1300 * ms, 400 * ms, 0, "a lease of at most 400ms"},
		{ms, ms, 0, "too short"},
	} {
		b, err := New(c.resend, c.maxLease)
		switch {
		case c.err != "":
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("%v, %v: error %v, want one with %q", c.resend, c.maxLease, err, c.err)
			}
		case err != nil || b.Lease != c.lease || b.ContactTimeout != 450*ms || b.LongestRun() > b.ResendAfter:
			t.Errorf("%v, %v: %+v, %v, runs last %v", c.resend, c.maxLease, b, err, b.LongestRun())
		}
	}
}
