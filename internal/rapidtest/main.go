// Package rapidtest holds helpers for tests that use rapid or other randomised checks: fixed seeds, so
// that each run gives the same result, and checks that are expected to fail.
package rapidtest

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package with the seed 1, unless the command line gives a seed, as make fuzz
// does. defaults holds values of further rapid flags, such as "checks", that apply unless the command
// line sets them. Main does not return.
func Main(m *testing.M, defaults map[string]string) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	values := map[string]string{"seed": "1", "nofailfile": "true"}
	for name, value := range defaults {
		values[name] = value
	}
	for name, value := range values {
		if flagName := "rapid." + name; !given[flagName] {
			_ = flag.Set(flagName, value)
		}
	}
	os.Exit(m.Run())
}
