package operator

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/status"
)

type topCommand struct {
	hostOptions
	Interval time.Duration `arg:"--interval" default:"2s" help:"time between reports, such as 500ms or 2s"`
	Count    int           `arg:"--count" default:"0" help:"number of reports; 0 means until interrupted"`
}

type topReport struct {
	Hosts  []topHost  `json:"hosts"`  // most requests in flight first
	Models []topModel `json:"models"` // longest queue first
}

type topHost struct {
	Address          string  `json:"address"`
	Error            string  `json:"error,omitempty"`
	InFlight         int     `json:"in_flight"`
	RefusedPerSecond float64 `json:"refused_per_second"`
	Refused          uint64  `json:"refused"` // since the start of the host
}

// topModel is the sum over all pools of a model.
type topModel struct {
	Model  ident.Model `json:"model"`
	Pools  int         `json:"pools"`
	Free   int         `json:"free"`
	Queued int         `json:"queued"`
}

// sample is the refusal count of one process at the time of a report.
type sample struct {
	incarnation ident.Incarnation
	refused     uint64
}

func (c *topCommand) run(ctx context.Context, s *session) error {
	if c.Interval <= 0 || c.Count < 0 {
		return usageError{fmt.Errorf("top: want a positive --interval and --count of 0 or more")}
	}
	ticker := time.NewTicker(c.Interval)
	defer ticker.Stop()
	var last map[string]sample
	var lastAt time.Time
	for n := 1; ; n++ {
		rows := readStatus(ctx, c.hostOptions)
		if ctx.Err() != nil {
			return nil
		}
		now := time.Now()
		report := newTopReport(rows, last, now.Sub(lastAt))
		if err := s.print(report, report.String()); err != nil {
			return err
		}
		s.problems = slices.ContainsFunc(report.Hosts, func(h topHost) bool { return h.Error != "" })
		last, lastAt = samples(rows), now
		if n == c.Count {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func samples(rows []hostStatus) map[string]sample {
	out := map[string]sample{}
	for _, r := range rows {
		if r.Status != nil {
			out[r.Address] = sample{r.Status.Incarnation, refusedTotal(r.Status)}
		}
	}
	return out
}

func refusedTotal(s *status.Status) uint64 {
	total := uint64(0)
	for _, n := range s.Refused {
		total += n
	}
	return total
}

// newTopReport computes rates from the samples of the previous report. A process
// without a previous sample, such as a restarted one, has the rate 0, since its
// counter started from another value.
func newTopReport(rows []hostStatus, last map[string]sample, elapsed time.Duration) topReport {
	models := map[ident.Model]topModel{}
	report := topReport{Hosts: make([]topHost, len(rows))}
	for i, r := range rows {
		h := &report.Hosts[i]
		h.Address, h.Error = r.Address, r.Error
		if r.Status == nil {
			continue
		}
		h.InFlight, h.Refused = r.Status.InFlight, refusedTotal(r.Status)
		previous, ok := last[r.Address]
		if ok && previous.incarnation == r.Status.Incarnation && h.Refused >= previous.refused && elapsed > 0 {
			h.RefusedPerSecond = float64(h.Refused-previous.refused) / elapsed.Seconds()
		}
		addPools(models, r.Status.Pools)
	}
	slices.SortStableFunc(report.Hosts, func(a, b topHost) int {
		return cmp.Compare(b.InFlight, a.InFlight)
	})
	report.Models = slices.SortedFunc(maps.Values(models), func(a, b topModel) int {
		return cmp.Or(cmp.Compare(b.Queued, a.Queued), cmp.Compare(a.Free, b.Free), cmp.Compare(a.Model, b.Model))
	})
	return report
}

func addPools(models map[ident.Model]topModel, pools []status.Pool) {
	for _, p := range pools {
		m := models[p.Model]
		m.Model = p.Model
		m.Pools++
		m.Free += p.Free
		m.Queued += p.Queued
		models[p.Model] = m
	}
}

// String returns the report as two tables.
func (r topReport) String() string {
	hosts := table("ADDRESS\tIN FLIGHT\tREFUSED/S\tREFUSED", r.Hosts, func(h topHost) string {
		if h.Error != "" {
			return fmt.Sprintf("%s\tunreachable: %s", h.Address, h.Error)
		}
		return fmt.Sprintf("%s\t%d\t%.1f\t%d", h.Address, h.InFlight, h.RefusedPerSecond, h.Refused)
	})
	models := table("MODEL\tPOOLS\tFREE\tQUEUED", r.Models, func(m topModel) string {
		return fmt.Sprintf("%s\t%d\t%d\t%d", m.Model, m.Pools, m.Free, m.Queued)
	})
	return hosts + "\n" + models + "\n"
}
