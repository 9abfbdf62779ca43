package load

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/checker"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// demoKey returns the API key that the files in examples define for a key id.
func demoKey(id string) string { return id + ".demo-secret-" + id }

// organisation returns an organisation as defined in the example rules.
func organisation(name ident.Organisation, key string, rate, burst float64, prompt, output Range) Organisation {
	return Organisation{Name: name, Key: demoKey(key), Rate: rate, Burst: burst, Prompt: prompt, Output: output}
}

// preset returns a workload with the settings common to all presets.
func preset(name string, model ident.Model) Workload {
	return Workload{
		Name:         name,
		Model:        model,
		Duration:     30 * time.Second,
		Load:         1,
		Prefixes:     4,
		PrefixTokens: 1000,
		PrefixShare:  0.5,
		CancelShare:  0.02,
		StopShare:    0.25,
		Seed:         1,
	}
}

// Bagmati returns a workload of long inspection reports with short verdicts and the
// calls of the counter application. It matches examples/bagmati.rules.
func Bagmati() Workload {
	report, note, verdict := Range{200, 16_000}, Range{30, 2_000}, Range{20, 200}
	w := preset("bagmati", "inspect-lm")
	w.Organisations = []Organisation{
		organisation("everest-formwork", "everest-1", 9000, 60_000, report, verdict),
		organisation("himal-towers", "himal-1", 7000, 50_000, report, verdict),
		organisation("kathmandu-clips", "kathmandu-1", 2000, 20_000, note, verdict),
		organisation("lalitpur-repairs", "lalitpur-1", 1500, 20_000, note, verdict),
		organisation("newar-restoration", "newar-1", 1500, 20_000, note, verdict),
	}
	w.Calls = []Call{
		{Path: "/counter/refunds", NonIdempotent: true, PerSec: 2},
		{Path: "/counter/returns", NonIdempotent: true, PerSec: 2},
		{Path: "/counter/balances", PerSec: 4},
	}
	return w
}

// Adwenpa returns a workload of long ledgers with short summaries and the calls of
// the refill desk. It matches examples/adwenpa.rules.
func Adwenpa() Workload {
	ledger, page, summary := Range{1000, 30_000}, Range{100, 6_000}, Range{20, 150}
	w := preset("adwenpa", "mulberry-lm")
	w.Organisations = []Organisation{
		organisation("akosombo-clinics", "akosombo-1", 5000, 80_000, ledger, summary),
		organisation("cape-coast-coop", "cape-1", 4000, 60_000, ledger, summary),
		organisation("kumasi-market", "kumasi-1", 1500, 40_000, page, summary),
		organisation("tamale-schools", "tamale-1", 1200, 40_000, page, summary),
		organisation("volta-ferries", "volta-1", 1200, 40_000, page, summary),
	}
	w.Calls = []Call{
		{Path: "/desk/pickups", NonIdempotent: true, PerSec: 2},
		{Path: "/desk/dues", NonIdempotent: true, PerSec: 1},
		{Path: "/desk/ledger", PerSec: 2},
	}
	return w
}

// Preset returns the workload with the given name.
func Preset(name string) (Workload, error) {
	switch name {
	case "bagmati":
		return Bagmati(), nil
	case "adwenpa":
		return Adwenpa(), nil
	}
	return Workload{}, fmt.Errorf("unknown workload %q", name)
}

// ScaleRates multiplies the rates and bursts of all organisations.
func (w *Workload) ScaleRates(factor float64) {
	for i := range w.Organisations {
		w.Organisations[i].Rate *= factor
		w.Organisations[i].Burst *= factor
	}
}

// organisationRule matches the rate and burst of an organisation rule.
var organisationRule = regexp.MustCompile(`(?m)^(organisation\s+\S+\s+rate\s+)(\d+)(\s+burst\s+)(\d+)`)

// ScaleRates multiplies the rates and bursts of the organisations in a rules file, to
// fit a fleet of another size.
func ScaleRates(rules string, factor float64) (string, error) {
	if factor <= 0 {
		return "", fmt.Errorf("rate scale %g: want a positive number", factor)
	}
	scaled := func(number string) string {
		n, _ := strconv.ParseFloat(number, 64)
		return strconv.FormatFloat(max(1, math.Round(n*factor)), 'f', 0, 64)
	}
	return organisationRule.ReplaceAllStringFunc(rules, func(rule string) string {
		m := organisationRule.FindStringSubmatch(rule)
		return m[1] + scaled(m[2]) + m[3] + scaled(m[4])
	}), nil
}

// SetFactor sets the multiple of its rate that an organisation sends.
func (w *Workload) SetFactor(name ident.Organisation, factor float64) error {
	for i := range w.Organisations {
		if w.Organisations[i].Name == name {
			w.Organisations[i].Factor = factor
			return nil
		}
	}
	return fmt.Errorf("unknown organisation %q", name)
}

// CheckConfig returns the checker configuration for a run of the workload, with the
// bounds of docs/design.md.
func (w Workload) CheckConfig() checker.Config {
	c := checker.DefaultConfig()
	c.Organisations = map[ident.Organisation]checker.RateLimit{}
	c.Keys = map[ident.KeyID]checker.Key{}
	for _, o := range w.Organisations {
		_, secret, _ := strings.Cut(o.Key, ".")
		c.Organisations[o.Name] = checker.RateLimit{Rate: o.Rate, Burst: o.Burst}
		c.Keys[o.KeyID()] = checker.Key{Organisation: o.Name, Secret: secret}
	}
	return c
}
