package ruleset

import (
	"fmt"
	"strings"
)

// Error is one error in a rules text.
type Error struct {
	Line   int    `json:"line"`   // from 1
	Column int    `json:"column"` // from 1, in characters
	Cause  string `json:"cause"`
	Fix    string `json:"fix"`
}

// Error returns the error on one line.
func (e Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s; fix: %s", e.Line, e.Column, e.Cause, e.Fix)
}

// Errors lists all errors of a rules text, ordered by position.
type Errors []Error

// Error returns one line for each error.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.As find a single Error.
func (es Errors) Unwrap() []error {
	out := make([]error, len(es))
	for i, e := range es {
		out[i] = e
	}
	return out
}
