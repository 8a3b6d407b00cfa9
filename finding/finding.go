// Package finding collects problems found in an input together with their place, so
// that one report names them all instead of the first one only.
package finding

import (
	"fmt"
	"strings"
)

// Place is where a finding was made. Line and Column count from 1; 0 means unknown.
type Place struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String renders the place as file:line:column, leaving out what is unknown.
func (p Place) String() string {
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

// Finding is one problem: its place, the field it is about, and a sentence.
type Finding struct {
	Place   Place  `json:"place"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String renders the finding on one line.
func (f Finding) String() string {
	parts := make([]string, 0, 3)
	if p := f.Place.String(); p != "" {
		parts = append(parts, p)
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

// Add records a finding about field at place.
func (l *List) Add(place Place, field, format string, args ...any) {
	l.findings = append(l.findings, Finding{Place: place, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Findings returns what was collected, in the order of collection.
func (l *List) Findings() []Finding { return l.findings }

// Empty reports whether nothing was found.
func (l *List) Empty() bool { return len(l.findings) == 0 }

// Err returns nil if nothing was found, otherwise an *Error with every finding.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{Findings: l.findings}
}

// Error reports all findings of one input.
type Error struct {
	Findings []Finding
}

// Error renders one finding a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
