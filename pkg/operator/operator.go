package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

// Exit codes of Run.
const (
	OK       = 0
	Problems = 1 // the command ran and found problems
	Usage    = 2 // the command line is wrong
)

// Env has the output streams and the random source of a command.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	Rand   io.Reader // source of key secrets
}

type arguments struct {
	Check   *checkCommand   `arg:"subcommand:check" help:"report all errors of a rules file"`
	Diff    *diffCommand    `arg:"subcommand:diff" help:"describe the changes between two rules files"`
	Explain *explainCommand `arg:"subcommand:explain" help:"show which rule decides whether an organisation may use a model"`
	Key     *keyCommand     `arg:"subcommand:key" help:"create caller keys"`
	Split   *splitCommand   `arg:"subcommand:split" help:"split a rules file into values for the configuration service"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show the state of entry hosts"`
	Top     *topCommand     `arg:"subcommand:top" help:"show the load of entry hosts repeatedly"`
	Burn    *burnCommand    `arg:"subcommand:burn" help:"show how fast the error budgets of the latency targets are used up"`

	JSON bool `arg:"--json" help:"print JSON instead of text"`
}

func (arguments) Description() string {
	return "mulberryctl checks and publishes rules and reports on entry hosts.\n" +
		"Exit codes: 0 ok, 1 problems found, 2 wrong command line."
}

// command is one subcommand. An error from run ends the command; problems that
// it reports itself set session.problems.
type command interface {
	run(ctx context.Context, s *session) error
}

// session is the state of one command execution.
type session struct {
	Env
	json     bool
	problems bool // problems were found and already printed
}

// usageError is an error in the command line. It sets the exit code to Usage.
type usageError struct{ error }

// Run executes a command line, without the program name, and returns the exit
// code.
func Run(ctx context.Context, args []string, env Env) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "mulberryctl"}, &a)
	if err != nil {
		return fail(env, err)
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(env.Stdout, parser.SubcommandNames()...)
		return OK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(env.Stderr, parser.SubcommandNames()...)
		return fail(env, usageError{err})
	}
	c, ok := parser.Subcommand().(command)
	if !ok {
		_ = parser.WriteHelpForSubcommand(env.Stderr, parser.SubcommandNames()...)
		return Usage
	}
	s := &session{Env: env, json: a.JSON}
	if err := c.run(ctx, s); err != nil {
		if s.json {
			_ = s.print(newFailure(err), "")
		}
		return fail(env, err)
	}
	if s.problems {
		return Problems
	}
	return OK
}

// failure is what --json prints when a command ends with an error.
type failure struct {
	Error  string         `json:"error"`
	File   string         `json:"file,omitempty"`
	Errors ruleset.Errors `json:"errors,omitempty"`
}

func newFailure(err error) failure {
	f := failure{Error: err.Error()}
	var invalid fileError
	if errors.As(err, &invalid) {
		f = failure{Error: "the rules file has errors", File: invalid.file, Errors: invalid.errs}
	}
	return f
}

func fail(env Env, err error) int {
	fmt.Fprintf(env.Stderr, "mulberryctl: %v\n", err)
	if errors.As(err, new(usageError)) {
		return Usage
	}
	return Problems
}

// print writes v as JSON if --json was given, and text otherwise.
func (s *session) print(v any, text string) error {
	if !s.json {
		_, err := io.WriteString(s.Stdout, text)
		return err
	}
	e := json.NewEncoder(s.Stdout)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// hostOptions are the options shared by commands that query entry hosts.
type hostOptions struct {
	Hosts   []string      `arg:"positional,required" placeholder:"HOST" help:"entry hosts as ADDRESS:PORT"`
	Timeout time.Duration `arg:"--timeout" default:"2s" help:"longest wait for the response of a host, such as 500ms or 2s"`
}
