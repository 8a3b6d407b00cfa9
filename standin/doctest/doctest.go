// Package doctest extracts the shell examples from a documentation page. Its test runs them as
// printed against a deployment that package testbed starts.
package doctest

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Example is one shell example. Line is the line number of its first command, counted from 1.
type Example struct {
	Line   int
	Script string
}

const (
	openingFence = "```sh"
	closingFence = "```"
)

// Examples returns the fenced sh blocks of a Markdown file. It returns an error if the file can't
// be read or a block has no closing fence.
func Examples(path string) ([]Example, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading examples")
	}
	var out []Example
	var current *Example
	for i, line := range strings.Split(string(text), "\n") {
		switch {
		case current == nil && line == openingFence:
			current = &Example{Line: i + 2}
		case current != nil && line == closingFence:
			out = append(out, *current)
			current = nil
		case current != nil:
			current.Script += line + "\n"
		}
	}
	if current != nil {
		return nil, errors.Newf("%s: the example at line %d has no closing fence", path, current.Line)
	}
	return out, nil
}
