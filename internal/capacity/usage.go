package capacity

import (
	"runtime"
	"sort"
	"time"
)

// Usage is what one host of the measured domain used in a second.
type Usage struct {
	Core       float64 // share of one core, of the reducer alone
	Messages   float64 // to other hosts
	Bytes      float64 // encoded messages, without framing
	Wire       float64 // with the estimated framing of each delivery
	Completed  int     // of all hosts over the whole time
	Refused    int
	Deliveries float64
}

// Usage returns what a host used since the last reset of the meter, d ago.
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
func (m *Meter) KindNames() []string { return Names(m.Kinds) }

// PartNames returns the parts that sent messages, sorted.
func (m *Meter) PartNames() []string { return Names(m.Parts) }

// Names returns the keys of a map, sorted.
func Names[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// collect frees garbage. The first round leaves what pools hold.
func collect() {
	runtime.GC()
	runtime.GC()
}

// HeapBytes returns the bytes that f's result keeps in use.
func HeapBytes[T any](f func() T) (T, uint64) {
	var before, after runtime.MemStats
	collect()
	runtime.ReadMemStats(&before)
	v := f()
	collect()
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
