package backends

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// hiddenLoad is memory in use at an engine that the known loads do not explain: the engine has
// refused a request that they say fits.
type hiddenLoad struct {
	memory int64 // beyond known
	known  int64 // memory of the known loads at that time
	at     time.Time
}

// freedMemory is memory of this host's own requests that has become free at an engine. The
// other hosts learn of it with this host's next report.
type freedMemory struct {
	memory int64
	at     time.Time
}

// Refusal is the refusal of a request by a process for lack of memory.
type Refusal struct {
	ID        ident.BackendID
	StartedAt int64 // of the process, see Entry
	// Used is the least memory in use at that time, in tokens of KV cache.
	Used int64
	At   time.Time
}

// SetReportAge sets how old load reports become, which is how long a refusal says more than
// they do.
func (d *Directory) SetReportAge(age time.Duration) { d.reportAge = age }

// Refused records that an engine with this capacity refused a request of this host whose need
// is part of the known load, and returns what that says of the engine. It returns false for a
// refusal that the known loads explain, which says nothing new.
func (d *Directory) Refused(now time.Time, id ident.BackendID, capacity, need int64) (Refusal, bool) {
	s := d.servers[id]
	if s == nil {
		return Refusal{}, false
	}
	s.freed = freedMemory{}
	refusal := Refusal{ID: id, StartedAt: s.StartedAt, Used: max(0, capacity-need+1), At: now}
	return refusal, d.applyRefusal(now, s, refusal, s.totalLoad().Memory-need)
}

// ApplyRefusal applies a refusal that another host has met by an engine with this capacity. It
// returns false, and does nothing, if the process is not known or a value is out of range.
func (d *Directory) ApplyRefusal(now time.Time, r Refusal, capacity int64) bool {
	s := d.servers[r.ID]
	if s == nil || s.StartedAt != r.StartedAt || r.Used <= 0 || r.Used > capacity || r.At.After(now) {
		return false
	}
	d.applyRefusal(now, s, r, s.totalLoad().Memory)
	return true
}

// applyRefusal applies a refusal by an engine at which this much memory is known to be in use.
func (d *Directory) applyRefusal(now time.Time, s *server, r Refusal, known int64) (isNew bool) {
	memory := r.Used - known
	if memory <= s.hiddenMemory(r.At, d.reportAge) {
		return false
	}
	s.hidden = hiddenLoad{memory: memory, known: known, at: r.At}
	return s.hiddenMemory(now, d.reportAge) > 0
}

// hiddenMemory returns the memory in use that the known loads do not explain. Reports that
// arrive later explain a part of it, and within the age of the reports all of it is reported
// or free again.
func (s *server) hiddenMemory(now time.Time, age time.Duration) int64 {
	left := age - now.Sub(s.hidden.at)
	if s.hidden.memory == 0 || left <= 0 {
		return 0
	}
	unexplained := s.hidden.memory - max(0, s.totalLoad().Memory-s.hidden.known)
	return max(0, int64(float64(unexplained)*min(1, hiddenDecayFactor*float64(left)/float64(age))))
}

// freedFor is how long memory that was freed is expected to be free still. Later, hosts that
// have heard of it in a load report may have taken it.
const freedFor = 200 * time.Millisecond

// hiddenDecayFactor is the reciprocal of the part of the age of the reports at whose end hidden load
// decays. A load that decayed at once would let the same request ask again after the refusal.
const hiddenDecayFactor = 2

// Freed records that an engine has freed memory that no other host knows of.
func (d *Directory) Freed(now time.Time, id ident.BackendID, memory int64) {
	if s := d.servers[id]; s != nil {
		s.freed = freedMemory{memory: s.freedMemory(now) + memory, at: now}
	}
}

// UseFreed records that a request of this host is about to use freed memory.
func (d *Directory) UseFreed(id ident.BackendID, memory int64) {
	if s := d.servers[id]; s != nil {
		s.freed.memory = max(0, s.freed.memory-memory)
	}
}

// TakeFreed returns the memory at an engine that this host knows to be free, and forgets it.
func (d *Directory) TakeFreed(now time.Time, id ident.BackendID) int64 {
	s := d.servers[id]
	if s == nil {
		return 0
	}
	memory := s.freedMemory(now)
	s.freed = freedMemory{}
	return memory
}

// freedMemory returns the memory that is free as this host alone knows.
func (s *server) freedMemory(now time.Time) int64 {
	if now.Sub(s.freed.at) >= freedFor {
		return 0
	}
	return s.freed.memory
}

const (
	// freedShare is the part of a request's need that must have been freed: engines usually
	// have some memory left besides.
	freedShare = 0.9
	// spareFactor is how many places there must be for each request that other hosts may have
	// placed unseen. Below it, most engines that seem to have room have none: they are those
	// whose loads are reported late.
	spareFactor = 1.5
)

// places returns how many requests like the one of a query the engines have room for.
func (d *Directory) places(now time.Time, q Query) float64 {
	if q.Need.Memory <= 0 {
		return 0
	}
	n := int64(0)
	for _, s := range d.byService[q.Service] {
		if d.eligible(now, s, q) {
			n += max(0, (q.MemoryPerServer-s.totalLoad().Memory-s.hiddenMemory(now, d.reportAge))/q.Need.Memory)
		}
	}
	return float64(n)
}

// HasSpareCapacity reports whether the engines have room for more requests like the one of a query than
// other hosts may have placed unseen.
func (d *Directory) HasSpareCapacity(now time.Time, q Query) bool {
	return d.places(now, q) > spareFactor*q.UnseenRequests
}

// Pacer paces the attempts of one queue to reserve memory while all engines seem full. Without
// it, every waiting request of every host asks again and again. It is not safe for concurrent use.
type Pacer struct {
	pause   time.Duration // before the next attempt; 0 while attempts succeed
	until   time.Time
	waiting bool // for the answer to an attempt
}

const (
	// minPause and maxPause bound the pause after refused attempts.
	minPause = fullBackoff
	maxPause = 2 * time.Second
	// pauseGrowth is the factor between the pauses after successive refusals. With 2, 77 hosts at
	// the capacity of their engines make more than 0.3 refused reservations a request.
	pauseGrowth = 4
	// maxAttemptTime is how long the answer to an attempt is waited for.
	maxAttemptTime = 500 * time.Millisecond
)

// Slow reports whether attempts are being refused.
func (p *Pacer) Slow() bool { return p.pause > 0 }

// Free reports whether a request may ask an engine that may be full. Otherwise it may ask only
// those where it is sure of a place.
func (p *Pacer) Free(now time.Time) bool {
	return p.pause == 0 || !now.Before(p.until)
}

// Begin records an attempt at an engine that may be full.
func (p *Pacer) Begin(now time.Time) {
	if p.pause > 0 {
		p.until = now.Add(max(p.pause, maxAttemptTime))
		p.waiting = true
	}
}

// Refused records the refusal of an attempt. Attempts that began together and are refused
// together count once.
func (p *Pacer) Refused(now time.Time) {
	if now.Before(p.until) && !p.waiting {
		return
	}
	p.pause = min(max(minPause, pauseGrowth*p.pause), maxPause)
	p.until, p.waiting = now.Add(p.pause), false
}

// Succeeded records the success of an attempt at an engine that might have been full.
func (p *Pacer) Succeeded() {
	p.pause, p.waiting = p.pause/2, false
	if p.pause < minPause {
		p.pause = 0
	}
}
