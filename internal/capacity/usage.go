package capacity

import (
	"runtime"
	"sort"
	"time"
)

// Usage is the resource usage of one host of the measured domain per second.
type Usage struct {
	Core       float64 // share of one core, for the reducer alone
	Messages   float64 // to other hosts
	Bytes      float64 // encoded messages, without framing
	Wire       float64 // with the estimated framing of each delivery
	Completed  int     // requests of all hosts over the whole measurement
	Refused    int     // requests of all hosts over the whole measurement
	Deliveries float64
}

// Usage returns the mean usage of a host since the last reset of the meter, d ago.
func (c *Cluster) Usage(d time.Duration) Usage {
	per := d.Seconds() * float64(c.Shape.Hosts)
	u := Usage{Completed: c.Meter.completed, Deliveries: float64(c.Meter.deliveries) / per}
	for _, k := range c.Meter.Kinds {
		u.Core += k.Time.Seconds() / per
	}
	for _, t := range c.Meter.Parts {
		u.Messages += float64(t.Messages) / per
		u.Bytes += float64(t.Bytes) / per
	}
	u.Wire = u.Bytes + u.Deliveries*batchBytes
	for _, n := range c.Meter.refused {
		u.Refused += n
	}
	return u
}

// KindNames returns the kinds of events seen, sorted.
func (m *Meter) KindNames() []string { return SortedKeys(m.Kinds) }

// PartNames returns the parts that sent messages, sorted.
func (m *Meter) PartNames() []string { return SortedKeys(m.Parts) }

// SortedKeys returns the keys of a map, sorted.
func SortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// collectGarbage frees unused memory. It takes two collections, since the first one keeps
// the contents of sync.Pools.
func collectGarbage() {
	runtime.GC()
	runtime.GC()
}

// HeapBytes returns the result of f and the heap bytes that it keeps in use.
func HeapBytes[T any](f func() T) (T, uint64) {
	var before, after runtime.MemStats
	collectGarbage()
	runtime.ReadMemStats(&before)
	v := f()
	collectGarbage()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return v, after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
}

// Refusals returns the number of refusals of each code.
func (m *Meter) Refusals() map[string]int {
	out := map[string]int{}
	for code, n := range m.refused {
		out[string(code)] = n
	}
	return out
}
