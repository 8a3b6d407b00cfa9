// Package config holds the configuration that operators publish, its validation, and Fold,
// which replays the records of the config stream and decides which revision is in force.
// Replay is deterministic and nothing else decides: a record is accepted only if it is based
// on the latest revision. If several operators publish at once, one of them wins, and it is
// the same one on every host.
//
// The package does no I/O. The daemon reads and appends the records of the stream, exchanges
// snapshots with other hosts, and passes the configuration in force to the other packages.
package config

import (
	"time"

	"sesameledge.dev/sesameledge/finding"
	"sesameledge.dev/sesameledge/strictyaml"
)

// Schema is the newest configuration schema version that this build can apply.
const Schema = 1

// Config is the content of a configuration.
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
	MaxTasks int     `yaml:"max_tasks" json:"max_tasks"` // open tasks on all entry hosts together; 0 means no limit
}

// Kind holds the settings of a kind of jobs.
type Kind struct {
	Group           string        `yaml:"group" json:"group"`
	Idempotent      bool          `yaml:"idempotent" json:"idempotent"`
	DefaultDeadline time.Duration `yaml:"default_deadline" json:"default_deadline"`
	MaxTasks        int           `yaml:"max_tasks" json:"max_tasks"` // tasks in a job; 0 means no limit
}

// Group is a group of endpoints that run jobs of the same kinds.
type Group struct {
	Endpoints string `yaml:"endpoints" json:"endpoints"` // minion or worker
}

// Policy holds settings of the dispatcher. Zero values take the built-in defaults.
type Policy struct {
	MaxTasks    int `yaml:"max_tasks" json:"max_tasks"` // open tasks on one entry host
	MaxAttempts int `yaml:"max_attempts" json:"max_attempts"`
	// RetryDelay is the least time before a refused task is offered again.
	RetryDelay time.Duration `yaml:"retry_delay" json:"retry_delay"`
	// Placement is the placement strategy: adaptive (the default) or, for comparison,
	// random, round_robin, least_outstanding or two_choices.
	Placement string `yaml:"placement" json:"placement,omitempty"`
	// MessageWeight, from 0 to 1, says what placement minimises: the response time (0) or
	// wasted messages (1). If absent, it is DefaultMessageWeight.
	MessageWeight *float64 `yaml:"message_weight" json:"message_weight,omitempty"`
	// MaxWait limits the queued work of a team on one host, as the time it takes to do it.
	MaxWait time.Duration `yaml:"max_wait" json:"max_wait,omitempty"`
	// RetryShare limits refused attempts, as a share of first attempts.
	RetryShare float64 `yaml:"retry_share" json:"retry_share,omitempty"`
	// MaxEjected limits the share of a group's endpoints that are ejected at a time.
	MaxEjected float64 `yaml:"max_ejected" json:"max_ejected,omitempty"`
}

// DefaultMessageWeight gives response time and wasted messages equal weight.
const DefaultMessageWeight = 0.5

// Weight returns MessageWeight or its default.
func (p *Policy) Weight() float64 {
	if p.MessageWeight == nil {
		return DefaultMessageWeight
	}
	return *p.MessageWeight
}

// Parse decodes and checks the YAML text of a configuration. It adds every problem to list
// with its line and column in file. The result is valid only if list is empty afterwards.
func Parse(file string, text []byte, list *finding.List) *Config {
	return parse(Schema, file, text, list)
}

// parse is Parse for a build that can apply schema versions up to newestSchema.
func parse(newestSchema int, file string, text []byte, list *finding.List) *Config {
	c := new(Config)
	doc := strictyaml.Decode(file, text, c, list)
	if !list.Empty() {
		return c
	}
	c.check(newestSchema, func(field, format string, args ...any) {
		list.Add(doc.Position(field), field, format, args...)
	})
	return c
}
