package testbed

import (
	"os/exec"
	"path/filepath"
	"runtime"

	"github.com/cockroachdb/errors"
)

// Root returns the root of the repository.
func Root() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..")
}

// Build builds the programs that a deployment needs into dir, for tests.
func Build(dir string) error {
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"./cmd/sesameledged", "./cmd/sesameledge", "./standin/platform", "./standin/minions")
	cmd.Dir = Root()
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "building: %s", out)
}
