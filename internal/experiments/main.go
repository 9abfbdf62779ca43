// Command experiments runs loads through real entry host processes before the
// stand-ins of a deployment and writes each goal of docs/design.md with its
// measured figure. Results go to a directory as JSON, CSV and SVG, and as a table
// to standard output.
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
		rounds, err := deployment(s, name)
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

// wants reports whether an experiment is to run.
func (s settings) wants(what string) bool {
	for _, o := range s.Only {
		if o == what {
			return true
		}
	}
	return len(s.Only) == 0
}

// Round is one figure of an experiment.
type Round struct {
	Deployment string             `json:"deployment"`
	Name       string             `json:"name"`
	Load       string             `json:"load"` // average of the machine
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

// print writes the round as a row, so that it is seen while later ones run.
func (r Round) print() {
	var parts []string
	for _, n := range r.Order {
		parts = append(parts, fmt.Sprintf("%s %.4g", n, r.Figures[n]))
	}
	fmt.Printf("| %s | %s | %s | %s |\n", r.Deployment, r.Name, strings.Join(parts, ", "), r.Load)
}

// loadAverage returns that of the machine over one minute.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	one, _, _ := strings.Cut(string(b), " ")
	return one
}
