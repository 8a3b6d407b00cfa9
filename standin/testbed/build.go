package testbed

import (
	"os/exec"
	"path/filepath"
	"runtime"

	"github.com/cockroachdb/errors"
)

// Root returns the root directory of the repository.
func Root() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..")
}

// Build compiles the programs that a deployment needs, and the command line, into dir.
// The error includes the output of the compiler.
func Build(dir string) error {
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"./cmd/sesameledged", "./cmd/sesameledge", "./standin/platform", "./standin/minions")
	cmd.Dir = Root()
	output, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "building: %s", output)
}
