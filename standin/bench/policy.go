package main

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// namedPolicy is a policy to measure: a label and the policy settings to publish.
type namedPolicy struct {
	label    string
	settings map[string]string
}

// parsePolicies reads a comma-separated list of policies. Each is "default" or a value
// of policy.placement, followed by further settings as ":key=value".
func parsePolicies(list string) ([]namedPolicy, error) {
	var out []namedPolicy
	for _, label := range strings.Split(list, ",") {
		parts := strings.Split(label, ":")
		p := namedPolicy{label: label, settings: make(map[string]string)}
		if parts[0] != "default" {
			p.settings["placement"] = parts[0]
		}
		for _, setting := range parts[1:] {
			key, value, ok := strings.Cut(setting, "=")
			if !ok {
				return nil, errors.Newf("policy setting %q is not key=value", setting)
			}
			p.settings[key] = value
		}
		out = append(out, p)
	}
	return out, nil
}
