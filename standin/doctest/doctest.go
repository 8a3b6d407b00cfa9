// Package doctest extracts the shell examples of a documentation page, so that a test
// can run them as printed.
package doctest

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Example is one shell example with the line of its first command.
type Example struct {
	Line   int
	Script string
}

const (
	fenceOpen  = "```sh"
	fenceClose = "```"
)

// Examples returns the fenced sh blocks of a Markdown file. It fails on a block without
// an end.
func Examples(path string) ([]Example, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading examples")
	}
	var out []Example
	var current *Example
	for i, line := range strings.Split(string(text), "\n") {
		switch {
		case current == nil && line == fenceOpen:
			current = &Example{Line: i + 2}
		case current != nil && line == fenceClose:
			out = append(out, *current)
			current = nil
		case current != nil:
			current.Script += line + "\n"
		}
	}
	if current != nil {
		return nil, errors.Newf("%s: the example at line %d has no end", path, current.Line)
	}
	return out, nil
}
