// Command experiments sends loads through real entry host processes to the fake
// backends of a deployment and reports the measured figure for each goal of
// docs/design.md. It writes JSON, CSV and SVG files to a directory and a table to
// standard output.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alexflint/go-arg"
)

type settings struct {
	Out         string   `arg:"--out" default:"out/experiments" help:"directory of the results"`
	Deployments []string `arg:"--deployments" help:"bagmati, adwenpa; both if none is named"`
	Seconds     int      `arg:"--seconds" default:"15" help:"length of each load"`
	Seed        uint64   `arg:"--seed" default:"1"`
	Only        []string `arg:"--only" help:"direct, loads, losses, limited; all if none is named"`
}

func main() {
	s := settings{}
	arg.MustParse(&s)
	if len(s.Deployments) == 0 {
		s.Deployments = []string{"bagmati", "adwenpa"}
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "experiments:", err)
		os.Exit(1)
	}
}

func run(s settings) error {
	if err := os.MkdirAll(s.Out, 0o755); err != nil {
		return err
	}
	var all []Round
	for _, name := range s.Deployments {
		rounds, err := runDeployment(s, name)
		all = append(all, rounds...)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	b, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(s.Out, "rounds.json"), append(b, '\n'), 0o644)
}

// selected reports whether the --only flag allows an experiment to run.
func (s settings) selected(what string) bool {
	for _, o := range s.Only {
		if o == what {
			return true
		}
	}
	return len(s.Only) == 0
}

// Round has the figures of one experiment.
type Round struct {
	Deployment string             `json:"deployment"`
	Name       string             `json:"name"`
	Load       string             `json:"load"` // one-minute load average of the machine
	Figures    map[string]float64 `json:"figures"`
	Order      []string           `json:"order"` // of the figures
}

func newRound(deployment, name string) Round {
	return Round{Deployment: deployment, Name: name, Load: loadAverage(), Figures: map[string]float64{}}
}

func (r *Round) set(name string, v float64) {
	if _, ok := r.Figures[name]; !ok {
		r.Order = append(r.Order, name)
	}
	r.Figures[name] = v
}

// print writes the round as a table row, so that it is visible while later rounds run.
func (r Round) print() {
	var parts []string
	for _, n := range r.Order {
		parts = append(parts, fmt.Sprintf("%s %.4g", n, r.Figures[n]))
	}
	fmt.Printf("| %s | %s | %s | %s |\n", r.Deployment, r.Name, strings.Join(parts, ", "), r.Load)
}

// loadAverage returns the one-minute load average of the machine.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	one, _, _ := strings.Cut(string(b), " ")
	return one
}
