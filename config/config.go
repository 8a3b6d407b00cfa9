// Package config holds the configuration that operators publish, its validation, and the
// deterministic fold over the log that decides which revision is in force. The fold is
// the only judge: a record counts only if it is based on the current revision, so of
// operators who race each other one wins, and the same one on every host.
package config

import (
	"slices"
	"sort"
	"time"

	"sesameledge.dev/sesameledge/finding"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/strictyaml"
)

// Schema is the newest schema version of configuration that this build can apply.
const Schema = 1

// Config is one configuration.
type Config struct {
	Schema   int              `yaml:"schema" json:"schema"`
	Teams    map[string]Team  `yaml:"teams" json:"teams"`
	Kinds    map[string]Kind  `yaml:"kinds" json:"kinds"`
	Groups   map[string]Group `yaml:"groups" json:"groups"`
	Policy   Policy           `yaml:"policy" json:"policy"`
	LogLevel string           `yaml:"log_level" json:"log_level,omitempty"`
}

// Team is a customer whose jobs share a quota.
type Team struct {
	Weight   float64 `yaml:"weight" json:"weight"`       // share of the slots relative to other teams
	MaxTasks int     `yaml:"max_tasks" json:"max_tasks"` // open tasks over all entry hosts; 0 means no limit
}

// Kind is a job kind.
type Kind struct {
	Group           string        `yaml:"group" json:"group"`
	Idempotent      bool          `yaml:"idempotent" json:"idempotent"`
	DefaultDeadline time.Duration `yaml:"default_deadline" json:"default_deadline"`
	MaxTasks        int           `yaml:"max_tasks" json:"max_tasks"` // tasks in a job; 0 means no limit
}

// Group is a group of endpoints that serve the same kinds.
type Group struct {
	Endpoints string `yaml:"endpoints" json:"endpoints"` // minion or worker
}

// Policy holds settings of the dispatcher. Zero values take the built-in defaults.
type Policy struct {
	MaxTasks    int           `yaml:"max_tasks" json:"max_tasks"` // open tasks on one entry host
	MaxAttempts int           `yaml:"max_attempts" json:"max_attempts"`
	RetryDelay  time.Duration `yaml:"retry_delay" json:"retry_delay"`
	// Placement is adaptive (the default) or a baseline: random, round_robin,
	// least_outstanding, two_choices.
	Placement string `yaml:"placement" json:"placement,omitempty"`
	// MessageWeight, from 0 to 1, trades response time (0) against wasted messages (1).
	// Absent means DefaultMessageWeight.
	MessageWeight *float64 `yaml:"message_weight" json:"message_weight,omitempty"`
	// MaxWait bounds the waiting work of a team on one host by the time to do it.
	MaxWait time.Duration `yaml:"max_wait" json:"max_wait,omitempty"`
	// RetryShare bounds refused attempts relative to first attempts.
	RetryShare float64 `yaml:"retry_share" json:"retry_share,omitempty"`
	// MaxEjected bounds the ejected share of a group's endpoints.
	MaxEjected float64 `yaml:"max_ejected" json:"max_ejected,omitempty"`
}

// DefaultMessageWeight weighs response time and wasted messages alike.
const DefaultMessageWeight = 0.5

// Weight returns MessageWeight or its default.
func (p *Policy) Weight() float64 {
	if p.MessageWeight == nil {
		return DefaultMessageWeight
	}
	return *p.MessageWeight
}

// Parse decodes and checks the text of a configuration. Every problem is added to list
// with its line and column; the result is usable only if there is none.
func Parse(file string, text []byte, list *finding.List) *Config {
	c := new(Config)
	doc := strictyaml.Decode(file, text, c, list)
	if !list.Empty() {
		return c
	}
	c.check(func(field, format string, args ...any) {
		list.Add(doc.Place(field), field, format, args...)
	})
	return c
}

type report func(field, format string, args ...any)

func (c *Config) check(report report) {
	if c.Schema < 1 || c.Schema > Schema {
		report("schema", "must be between 1 and %d", Schema)
	}
	if len(c.Teams) == 0 {
		report("teams", "at least one team is required")
	}
	for _, name := range sortedKeys(c.Teams) {
		c.checkTeam("teams."+name, c.Teams[name], report)
	}
	for _, name := range sortedKeys(c.Kinds) {
		c.checkKind("kinds."+name, c.Kinds[name], report)
	}
	for _, name := range sortedKeys(c.Groups) {
		if e := c.Groups[name].Endpoints; e != "minion" && e != "worker" {
			report("groups."+name+".endpoints", "must be minion or worker")
		}
	}
	c.checkPolicy(report)
}

func (c *Config) checkTeam(field string, t Team, report report) {
	if t.Weight <= 0 {
		report(field+".weight", "must be positive")
	}
	if t.MaxTasks < 0 {
		report(field+".max_tasks", "must not be negative")
	}
}

func (c *Config) checkKind(field string, k Kind, report report) {
	if _, ok := c.Groups[k.Group]; !ok {
		report(field+".group", "group %q is not defined", k.Group)
	}
	if k.DefaultDeadline <= 0 {
		report(field+".default_deadline", "must be a positive duration")
	}
	if k.MaxTasks < 0 {
		report(field+".max_tasks", "must not be negative")
	}
}

func (c *Config) checkPolicy(report report) {
	if c.Policy.MaxTasks < 0 {
		report("policy.max_tasks", "must not be negative")
	}
	if c.Policy.MaxAttempts < 0 {
		report("policy.max_attempts", "must not be negative")
	}
	if c.Policy.RetryDelay < 0 {
		report("policy.retry_delay", "must not be negative")
	}
	if name := place.Placement(c.Policy.Placement); name != "" && !slices.Contains(place.Placements, name) {
		report("policy.placement", "must be one of %v", place.Placements)
	}
	c.checkShares(report)
	switch c.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		report("log_level", "must be debug, info, warn or error")
	}
}

func (c *Config) checkShares(report report) {
	if w := c.Policy.Weight(); w < 0 || w > 1 {
		report("policy.message_weight", "must be between 0 and 1")
	}
	if c.Policy.MaxWait < 0 {
		report("policy.max_wait", "must not be negative")
	}
	if s := c.Policy.RetryShare; s < 0 || s > 1 {
		report("policy.retry_share", "must be between 0 and 1")
	}
	if s := c.Policy.MaxEjected; s < 0 || s > 1 {
		report("policy.max_ejected", "must be between 0 and 1")
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
