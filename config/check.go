package config

import (
	"maps"
	"math"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// Upper limits of values. They detect mistyped units and digits.
const (
	maxWeight     = 1e6
	maxTasksLimit = 100_000_000
	maxDeadline   = 24 * time.Hour // a ticket cannot carry a longer deadline
	maxAttempts   = 1000
	maxRetryDelay = time.Minute
)

const nameRule = "must be 1 to 63 lower-case letters, digits or hyphens"

// report adds a finding about a field.
type report func(field, format string, args ...any)

// check reports every value that is out of range or refers to something undefined.
func (c *Config) check(newestSchema int, report report) {
	if c.Schema < 1 || c.Schema > newestSchema {
		report("schema", "must be between 1 and %d", newestSchema)
	}
	if len(c.Teams) == 0 {
		report("teams", "at least one team is required")
	}
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		checkTeam("teams."+name, name, c.Teams[name], report)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Kinds)) {
		c.checkKind("kinds."+name, name, c.Kinds[name], report)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Groups)) {
		c.checkGroup("groups."+name, name, c.Groups[name], report)
	}
	c.checkPolicy(report)
	switch c.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		report("log_level", "must be debug, info, warn or error")
	}
}

func checkTeam(field, name string, t Team, report report) {
	checkName(field, name, report)
	// The negated condition is also true for NaN.
	if !(t.Weight > 0 && t.Weight <= maxWeight) || math.IsInf(t.Weight, 0) {
		report(field+".weight", "must be a positive number up to %g", float64(maxWeight))
	}
	checkCount(field+".max_tasks", t.MaxTasks, maxTasksLimit, report)
}

func (c *Config) checkKind(field, name string, k Kind, report report) {
	checkName(field, name, report)
	if _, ok := c.Groups[k.Group]; !ok {
		report(field+".group", "group %q is not defined", k.Group)
	}
	if k.DefaultDeadline <= 0 || k.DefaultDeadline > maxDeadline {
		report(field+".default_deadline", "must be a positive duration up to %v", maxDeadline)
	}
	checkCount(field+".max_tasks", k.MaxTasks, maxTasksLimit, report)
}

func (c *Config) checkGroup(field, name string, g Group, report report) {
	checkName(field, name, report)
	if g.Endpoints != "minion" && g.Endpoints != "worker" {
		report(field+".endpoints", "must be minion or worker")
	}
}

func (c *Config) checkPolicy(report report) {
	checkCount("policy.max_tasks", c.Policy.MaxTasks, maxTasksLimit, report)
	checkCount("policy.max_attempts", c.Policy.MaxAttempts, maxAttempts, report)
	checkDuration("policy.retry_delay", c.Policy.RetryDelay, maxRetryDelay, report)
	checkDuration("policy.max_wait", c.Policy.MaxWait, maxDeadline, report)
	if name := place.Placement(c.Policy.Placement); name != "" && !slices.Contains(place.Placements, name) {
		report("policy.placement", "must be one of %v", place.Placements)
	}
	checkShare("policy.message_weight", c.Policy.Weight(), report)
	checkShare("policy.retry_share", c.Policy.RetryShare, report)
	checkShare("policy.max_ejected", c.Policy.MaxEjected, report)
}

func checkDuration(field string, d, limit time.Duration, report report) {
	if d < 0 || d > limit {
		report(field, "must be a duration from 0s to %v", limit)
	}
}

func checkShare(field string, share float64, report report) {
	// The negated condition is also true for NaN.
	if !(share >= 0 && share <= 1) {
		report(field, "must be between 0 and 1")
	}
}

func checkName(field, name string, report report) {
	if !ticket.ValidHost(name) {
		report(field, "the name %s", nameRule)
	}
}

func checkCount(field string, n, limit int, report report) {
	if n < 0 || n > limit {
		report(field, "must be a whole number from 0 to %d", limit)
	}
}
