package slo_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/slo"
)

// full returns a tracker with one observation for each pair of 410 organisations
// and 37 models.
func full() *slo.Tracker {
	t := slo.New(slo.Config{})
	for o := range 410 {
		organisation := ident.Organisation(fmt.Sprintf("org-%d", o))
		for m := range 37 {
			x := observation(0, 100, 99)
			x.Organisation, x.Model = organisation, models[m]
			t.Observe(start, x)
		}
	}
	return t
}

var models = func() []ident.Model {
	out := make([]ident.Model, 37)
	for i := range out {
		out[i] = ident.Model(fmt.Sprintf("model-%d", i))
	}
	return out
}()

// BenchmarkMemory reports the live heap of a tracker with all series in use.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := full()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(t)
	}
	held := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	b.ReportMetric(held/1e6, "MB")
	b.ReportMetric(held/(410*37), "bytes/series")
}

func BenchmarkObserve(b *testing.B) {
	t := full()
	x := observation(0, 100, 99)
	x.Organisation, x.Model = "org-7", "model-7"
	b.ReportAllocs()
	for b.Loop() {
		t.Observe(start, x)
	}
}

func BenchmarkReport(b *testing.B) {
	t := full()
	size := 0
	for b.Loop() {
		body, err := json.Marshal(t.Report(start).Compact())
		if err != nil {
			b.Fatal(err)
		}
		size = len(body)
	}
	b.ReportMetric(float64(size)/1e6, "MB")
}
