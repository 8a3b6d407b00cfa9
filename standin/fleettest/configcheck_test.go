package fleettest

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sesameledge.dev/sesameledge/command"
)

// TestConfigCheckReadsStore guards against a check that does not find the version in force or the workers in
// the platform's store, and against hosts that take a questionable configuration without a word.
func TestConfigCheckReadsStore(t *testing.T) {
	d, _ := startThreeHosts(t)
	file := filepath.Join(t.TempDir(), "next.json")
	next := `{"version":90,"routes":[{"name":"r0","host":"jobs.example","pathPrefix":"/quotes/","service":"other"}],"services":[{"name":"other"}]}`
	if err := os.WriteFile(file, []byte(next), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	code := command.Main([]string{"config", "check", file, "--store", d.storeAddr, "--workers", d.storeAddr}, command.Env{Out: &out, Err: &errOut})
	if code != command.ExitOK {
		t.Errorf("code %d: %s", code, errOut.String())
	}
	for _, want := range []string{
		fmt.Sprintf("warning: %s:1:%d: routes[0].service: no worker", file, strings.Index(next, `"other"`)+1),
		`no worker offers service "other"`,
		"changes from version 3, in force, to version 90",
		"~ route r0  service: desk -> other",
		"- service desk",
		"+ service other",
		"0 errors, 1 warnings",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
	d.publishConfig(prefix, prefix)
	d.waitUntil("the finding is logged", func() bool {
		return strings.Contains(d.hosts["n1"].log.String(), `msg="configuration is questionable" version=6 level=error field=routes[1].prefix`)
	})
}
