package slo

import "math"

// bucket has the counts of one interval. Counts saturate at the largest uint32
// instead of wrapping to a small value.
type bucket struct {
	requests      uint32
	firstInTarget uint32
	gaps          uint32
	gapsInTarget  uint32
	failed        uint32
	refused       uint32
}

func (b *bucket) add(o bucket) {
	b.requests = saturatingAdd(b.requests, o.requests)
	b.firstInTarget = saturatingAdd(b.firstInTarget, o.firstInTarget)
	b.gaps = saturatingAdd(b.gaps, o.gaps)
	b.gapsInTarget = saturatingAdd(b.gapsInTarget, o.gapsInTarget)
	b.failed = saturatingAdd(b.failed, o.failed)
	b.refused = saturatingAdd(b.refused, o.refused)
}

func saturatingAdd(a, b uint32) uint32 {
	if a > math.MaxUint32-b {
		return math.MaxUint32
	}
	return a + b
}

func saturatingUint32(n int) uint32 {
	return uint32(min(n, math.MaxUint32))
}

// ring is a ring buffer of the latest buckets, the newest being number head. It is
// allocated at the first observation.
type ring struct {
	head    int64
	buckets []bucket
}

// add adds n to the bucket with that number. A number a whole ring or more below
// head means that the clock was set back. The ring is then cleared, since it would
// otherwise ignore observations until the clock catches up.
func (r *ring) add(number int64, size int, n bucket) {
	switch {
	case r.buckets == nil:
		r.buckets = make([]bucket, size)
		r.head = number
	case number > r.head:
		r.advance(number)
	case number <= r.head-int64(size):
		clear(r.buckets)
		r.head = number
	}
	r.at(number).add(n)
}

func (r *ring) advance(number int64) {
	if number-r.head >= int64(len(r.buckets)) {
		clear(r.buckets)
		r.head = number
		return
	}
	for r.head < number {
		r.head++
		*r.at(r.head) = bucket{}
	}
}

func (r *ring) at(number int64) *bucket {
	n := int64(len(r.buckets))
	return &r.buckets[(number%n+n)%n]
}

// total adds up the buckets of the window that ends with the bucket current.
func (r *ring) total(current int64) Counts {
	var c Counts
	if r.buckets == nil {
		return c
	}
	size := int64(len(r.buckets))
	first := max(current-size+1, r.head-size+1)
	for n := first; n <= min(current, r.head); n++ {
		c.add(r.at(n).counts())
	}
	return c
}

func (b bucket) counts() Counts {
	return Counts{
		Requests: uint64(b.requests), FirstInTarget: uint64(b.firstInTarget),
		Gaps: uint64(b.gaps), GapsInTarget: uint64(b.gapsInTarget),
		Failed: uint64(b.failed), Refused: uint64(b.refused),
	}
}
