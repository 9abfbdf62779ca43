package capacity

import (
	"reflect"
	"runtime"
	"strings"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// allocEvery is the sampling interval for allocations, in steps of a kind. Not every step
// is sampled because reading the counters takes longer than most steps.
const allocEvery = 97

// Kind is the measured cost of one kind of event.
type Kind struct {
	Steps  int
	Time   time.Duration
	Allocs uint64 // of the sampled steps
	Bytes  uint64 // of the sampled steps
	Sample int    // number of sampled steps
}

// PerStep returns the mean duration of a step in microseconds.
func (k Kind) PerStep() float64 {
	return float64(k.Time.Nanoseconds()) / 1000 / float64(max(1, k.Steps))
}

// AllocsPerStep returns the mean number of allocations of a step.
func (k Kind) AllocsPerStep() float64 { return float64(k.Allocs) / float64(max(1, k.Sample)) }

// Traffic counts the messages of one part of the protocol between hosts.
type Traffic struct{ Messages, Bytes int }

// Meter measures the steps, messages and requests of the hosts of the measured domain.
type Meter struct {
	Kinds      map[string]*Kind
	Parts      map[string]*Traffic
	deliveries int
	completed  int
	refused    map[node.Code]int
}

func newMeter() *Meter {
	return &Meter{Kinds: map[string]*Kind{}, Parts: map[string]*Traffic{}, refused: map[node.Code]int{}}
}

// Reset sets all counts to zero.
func (m *Meter) Reset() { *m = *newMeter() }

func kindOf(ev node.Event) string {
	if p, ok := ev.(node.PeerMessage); ok {
		return "PeerMessage " + partOf(p.Message)
	}
	return reflect.TypeOf(ev).Name()
}

// partOf returns the lower-case name of the first field that is set in a message.
func partOf(m node.Message) string {
	v := reflect.ValueOf(m)
	for i := range v.NumField() {
		if f := v.Field(i); !f.IsNil() {
			return strings.ToLower(v.Type().Field(i).Name)
		}
	}
	return "none"
}

func (m *Meter) step(n *node.Node, now time.Time, ev node.Event) []node.Effect {
	name := kindOf(ev)
	k := m.Kinds[name]
	if k == nil {
		k = &Kind{}
		m.Kinds[name] = k
	}
	if k.Steps%allocEvery == allocEvery-1 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		begin := time.Now()
		effects := n.Step(now, ev)
		k.add(time.Since(begin))
		runtime.ReadMemStats(&after)
		k.Allocs += after.Mallocs - before.Mallocs
		k.Bytes += after.TotalAlloc - before.TotalAlloc
		k.Sample++
		return effects
	}
	begin := time.Now()
	effects := n.Step(now, ev)
	k.add(time.Since(begin))
	return effects
}

func (k *Kind) add(d time.Duration) {
	k.Steps++
	k.Time += d
}

func (m *Meter) sent(msg node.Message, size int) {
	p := m.Parts[partOf(msg)]
	if p == nil {
		p = &Traffic{}
		m.Parts[partOf(msg)] = p
	}
	p.Messages++
	p.Bytes += size
}
