// Package rapidtest is shared by the tests that use rapid: fixed seeds, so that each run
// gives the same verdict, and checks that are expected to fail.
package rapidtest

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package with the seed 1, unless the command line gives a seed;
// make fuzz gives a fresh one. defaults are further flags of rapid, such as "checks", for
// what the command line leaves open.
func Main(m *testing.M, defaults map[string]string) {
	flag.Parse()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	values := map[string]string{"seed": "1", "nofailfile": "true"}
	for name, value := range defaults {
		values[name] = value
	}
	for name, value := range values {
		if flagName := "rapid." + name; !set[flagName] {
			_ = flag.Set(flagName, value)
		}
	}
	os.Exit(m.Run())
}
