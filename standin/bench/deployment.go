package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// jobKind describes the jobs of one kind of the users.
type jobKind struct {
	name       string
	share      float64 // of the jobs
	minTasks   int
	maxTasks   int // the number of tasks is log-uniform between both
	medianMS   float64
	sigma      float64 // standard deviation of ln(run time)
	minMS      float64
	maxMS      float64
	deadline   time.Duration
	idempotent bool
}

// team is a customer with its share of the jobs and its weight in the configuration.
type team struct {
	name   string
	weight float64
	share  float64
}

// deployment describes the zones, job kinds, teams and network delays of one of the deployments of
// the design page.
type deployment struct {
	name  string
	zones []string
	group string
	kinds []jobKind
	teams []team
	net   network
}

// clientDelay is the one-way delay between callers and entry hosts of both deployments.
const clientDelay = 3 * time.Millisecond

// deployments are the Association and the Abzeichenwerk. Most tasks take 50 ms to 1 s,
// a few take several seconds.
var deployments = []deployment{
	{
		name:  "association",
		zones: []string{"ernakulam", "malabar", "tvm-south"},
		group: "quote",
		net:   network{zone: 500 * time.Microsecond, client: clientDelay},
		kinds: []jobKind{
			{name: "price-check", share: 0.80, minTasks: 2, maxTasks: 6, medianMS: 120, sigma: 0.5, minMS: 50, maxMS: 300, deadline: 3 * time.Second, idempotent: true},
			{name: "site-estimate", share: 0.06, minTasks: 20, maxTasks: 200, medianMS: 250, sigma: 0.8, minMS: 50, maxMS: 5000, deadline: 20 * time.Second, idempotent: true},
			{name: "fee-lookup", share: 0.14, minTasks: 1, maxTasks: 3, medianMS: 180, sigma: 0.5, minMS: 50, maxMS: 600, deadline: 10 * time.Second},
		},
		teams: []team{
			{name: "contractors", weight: 2, share: 0.40},
			{name: "clerks", weight: 1, share: 0.25},
			{name: "permits", weight: 1, share: 0.20},
			{name: "guests", weight: 1, share: 0.15},
		},
	},
	{
		name:  "abzeichenwerk",
		zones: []string{"wien-a", "noe-b", "bgld-c"},
		group: "register",
		net:   network{zone: time.Millisecond, client: clientDelay},
		kinds: []jobKind{
			{name: "badge-check", share: 0.75, minTasks: 1, maxTasks: 8, medianMS: 110, sigma: 0.5, minMS: 50, maxMS: 300, deadline: 3 * time.Second, idempotent: true},
			{name: "badge-award", share: 0.17, minTasks: 5, maxTasks: 40, medianMS: 160, sigma: 0.5, minMS: 50, maxMS: 600, deadline: 10 * time.Second},
			{name: "certificates", share: 0.08, minTasks: 20, maxTasks: 150, medianMS: 300, sigma: 0.7, minMS: 50, maxMS: 4000, deadline: 20 * time.Second, idempotent: true},
		},
		teams: []team{
			{name: "wien", weight: 2, share: 0.40},
			{name: "tirol", weight: 1, share: 0.25},
			{name: "kaernten", weight: 1, share: 0.20},
			{name: "camps", weight: 1, share: 0.15},
		},
	},
}

func deploymentNamed(name string) (deployment, error) {
	i := slices.IndexFunc(deployments, func(d deployment) bool { return d.name == name })
	if i < 0 {
		return deployment{}, errors.Newf("there is no deployment %q", name)
	}
	return deployments[i], nil
}

// config renders the configuration to publish, with the settings of a policy.
func (d *deployment) config(policy map[string]string) string {
	var b strings.Builder
	b.WriteString("schema: 1\nteams:\n")
	for _, t := range d.teams {
		fmt.Fprintf(&b, "  %s: {weight: %g}\n", t.name, t.weight)
	}
	b.WriteString("kinds:\n")
	for _, k := range d.kinds {
		fmt.Fprintf(&b, "  %s: {group: %s, idempotent: %t, default_deadline: %s}\n", k.name, d.group, k.idempotent, k.deadline)
	}
	fmt.Fprintf(&b, "groups:\n  %s: {endpoints: minion}\n", d.group)
	if len(policy) > 0 {
		b.WriteString("policy:\n")
		for key, value := range policy {
			fmt.Fprintf(&b, "  %s: %s\n", key, value)
		}
	}
	return b.String()
}
