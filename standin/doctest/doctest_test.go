package doctest

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/standin/testbed"
)

// pageConfig has the teams and kinds that the examples in docs/api.md use.
const pageConfig = `schema: 1
teams: {association: {weight: 1}, abzeichenwerk: {weight: 1}}
kinds:
  price-check: {group: demo, idempotent: true, default_deadline: 10s}
  badge-award: {group: demo, idempotent: false, default_deadline: 20s}
groups: {demo: {endpoints: minion}}
`

// TestAPIPage runs every example in docs/api.md. It guards against examples that do not
// work as printed.
func TestAPIPage(t *testing.T) {
	examples, err := Examples(filepath.Join(testbed.Root(), "docs", "api.md"))
	if err != nil {
		t.Fatal(err)
	}
	if len(examples) < 4 {
		t.Fatalf("found %d examples, want at least 4", len(examples))
	}
	bin := t.TempDir()
	if err := testbed.Build(bin); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	bed, err := testbed.Start(ctx, testbed.Spec{
		BinDir: bin, Dir: t.TempDir(), Zones: []string{"ernakulam", "malabar"},
		Hosts: 2, Minions: 4, Group: "demo", Seed: 1, Config: pageConfig,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer bed.Stop()
	for _, e := range examples {
		cmd := exec.CommandContext(ctx, "bash", "-e", "-u", "-o", "pipefail", "-c", e.Script)
		cmd.Env = append(os.Environ(), "HOST="+bed.Hosts[0].CallersURL(), "OPERATOR="+bed.Hosts[0].OperatorsURL())
		if output, err := cmd.CombinedOutput(); err != nil {
			t.Errorf("the example at line %d failed: %v\n%s", e.Line, err, output)
		}
	}
}
