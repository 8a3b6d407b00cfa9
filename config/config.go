// Package config holds the configuration that operators publish, its validation, and the
// deterministic fold over the log that decides which revision is in force. The fold is
// the only judge: a record counts only if it is based on the current revision, so of
// operators who race each other one wins, and the same one on every host.
package config

import (
	"time"

	"sesameledge.dev/sesameledge/finding"
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
	MaxTasks    int `yaml:"max_tasks" json:"max_tasks"` // open tasks on one entry host
	MaxAttempts int `yaml:"max_attempts" json:"max_attempts"`
	// RetryDelay is the least pause before a refused task is offered again.
	RetryDelay time.Duration `yaml:"retry_delay" json:"retry_delay"`
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
	return parse(Schema, file, text, list)
}

// parse is Parse for a reader of schema versions up to newest.
func parse(newest int, file string, text []byte, list *finding.List) *Config {
	c := new(Config)
	doc := strictyaml.Decode(file, text, c, list)
	if !list.Empty() {
		return c
	}
	c.check(newest, func(field, format string, args ...any) {
		list.Add(doc.Place(field), field, format, args...)
	})
	return c
}
