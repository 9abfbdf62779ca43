package operator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

type checkCommand struct {
	File string `arg:"positional,required" help:"rules file"`
}

type checkReport struct {
	File   string         `json:"file"`
	Valid  bool           `json:"valid"`
	Errors ruleset.Errors `json:"errors"`
}

func (c *checkCommand) run(_ context.Context, s *session) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("read rules: %w", err)
	}
	r, err := ruleset.Parse(text)
	report := checkReport{File: c.File, Valid: err == nil, Errors: ruleset.Errors{}}
	if err != nil && !errors.As(err, &report.Errors) {
		return err
	}
	s.problems = !report.Valid
	if !report.Valid {
		return s.print(report, formatErrors(c.File, report.Errors))
	}
	return s.print(report, fmt.Sprintf("%s: ok: %d organisations, %d models, %d routes, %d keys, %d slots\n",
		c.File, len(r.Organisations()), len(r.Models()), len(r.Routes()), len(r.Keys()), r.SlotCount()))
}

// formatErrors returns one line for each error in the FILE:LINE:COLUMN form, from
// which editors jump to the position.
func formatErrors(file string, errs ruleset.Errors) string {
	var b strings.Builder
	for _, e := range errs {
		fmt.Fprintf(&b, "%s:%d:%d: %s; %s\n", file, e.Line, e.Column, e.Cause, e.Fix)
	}
	return b.String()
}

// fileError lists all errors of a rules file.
type fileError struct {
	file string
	errs ruleset.Errors
}

// Error returns a heading and one line for each error.
func (e fileError) Error() string {
	return "the rules file has errors:\n" + strings.TrimSuffix(formatErrors(e.file, e.errs), "\n")
}

// readRules parses a rules file. For a file that does not parse, its error is a
// fileError with all errors.
func readRules(file string) (*ruleset.Rules, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("read rules: %w", err)
	}
	r, err := ruleset.Parse(text)
	var all ruleset.Errors
	if errors.As(err, &all) {
		return nil, nil, fileError{file, all}
	}
	return r, text, err
}

type diffCommand struct {
	Old string `arg:"positional,required" help:"rules file in force"`
	New string `arg:"positional,required" help:"rules file to publish"`
}

func (c *diffCommand) run(_ context.Context, s *session) error {
	before, _, err := readRules(c.Old)
	if err != nil {
		return err
	}
	after, _, err := readRules(c.New)
	if err != nil {
		return err
	}
	changes := ruleset.Diff(before, after)
	if len(changes) == 0 {
		return s.print([]ruleset.Change{}, "no rule differs\n")
	}
	var b strings.Builder
	for _, change := range changes {
		fmt.Fprintf(&b, "%s: %s%s\n", change.Kind, change.Text, formatPosition(change))
	}
	return s.print(changes, b.String())
}

func formatPosition(c ruleset.Change) string {
	switch {
	case c.OldLine == 0:
		return fmt.Sprintf(" (new line %d)", c.NewLine)
	case c.NewLine == 0:
		return fmt.Sprintf(" (old line %d)", c.OldLine)
	default:
		return fmt.Sprintf(" (old line %d, new line %d)", c.OldLine, c.NewLine)
	}
}

type explainCommand struct {
	File         string `arg:"positional,required" help:"rules file"`
	Organisation string `arg:"positional,required"`
	Model        string `arg:"positional,required" help:"model or service"`
}

func (c *explainCommand) run(_ context.Context, s *session) error {
	r, _, err := readRules(c.File)
	if err != nil {
		return err
	}
	e := r.Explain(ident.Organisation(c.Organisation), ident.Model(c.Model))
	return s.print(e, e.String())
}
