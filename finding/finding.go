// Package finding collects the problems found in an input, each with its position, so that one report lists
// all of them and not only the first. The packages that decode and check configuration and settings add
// the findings.
package finding

import (
	"fmt"
	"strings"
)

// Position is the position of a finding in an input. Line and Column count from 1; 0 means unknown.
type Position struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String renders the position as file:line:column and omits the parts that are unknown.
func (p Position) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Line > 0 && p.Column > 0 {
		fmt.Fprintf(&b, ":%d", p.Column)
	}
	return strings.TrimPrefix(b.String(), ":")
}

// Finding is one problem: its position, the field that it concerns, and a message for people.
type Finding struct {
	Position Position `json:"place"`
	Field    string   `json:"field,omitempty"`
	Message  string   `json:"message"`
}

// String renders the finding as "position: field: message" and omits the parts that are empty.
func (f Finding) String() string {
	parts := make([]string, 0, 3)
	if position := f.Position.String(); position != "" {
		parts = append(parts, position)
	}
	if f.Field != "" {
		parts = append(parts, f.Field)
	}
	parts = append(parts, f.Message)
	return strings.Join(parts, ": ")
}

// List collects findings. The zero value is ready to use.
type List struct {
	findings []Finding
}

// Add adds a finding about field at position. The message is formatted as by fmt.Sprintf.
func (l *List) Add(position Position, field, format string, args ...any) {
	l.findings = append(l.findings, Finding{Position: position, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Findings returns the findings in the order in which they were added.
func (l *List) Findings() []Finding { return l.findings }

// Empty reports whether the list has no findings.
func (l *List) Empty() bool { return len(l.findings) == 0 }

// Err returns nil if the list is empty, otherwise an *Error with all findings.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{Findings: l.findings}
}

// Error is an error that holds all findings of one input.
type Error struct {
	Findings []Finding
}

// Error renders the findings, one on each line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
