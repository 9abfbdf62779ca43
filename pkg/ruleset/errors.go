package ruleset

import (
	"fmt"
	"strings"
)

// Error is one fault in a rules text.
type Error struct {
	Line   int    `json:"line"`   // from 1
	Column int    `json:"column"` // from 1, in characters
	Cause  string `json:"cause"`
	Fix    string `json:"fix"`
}

// Error returns the fault on one line.
func (e Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s; fix: %s", e.Line, e.Column, e.Cause, e.Fix)
}

// Errors are all faults of a rules text in the order of their positions.
type Errors []Error

// Error returns one line for each fault.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults for errors.As.
func (es Errors) Unwrap() []error {
	out := make([]error, len(es))
	for i, e := range es {
		out[i] = e
	}
	return out
}
