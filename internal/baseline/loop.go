package baseline

import (
	"container/heap"
	"time"
)

// loop runs events in the order of virtual time.
type loop struct {
	now    time.Duration
	events events
	count  int
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (l *loop) at(t time.Duration, run func()) {
	l.count++
	heap.Push(&l.events, event{at: max(t, l.now), order: l.count, run: run})
}

func (l *loop) after(d time.Duration, run func()) { l.at(l.now+d, run) }

// every runs f at a fixed period until the end of the run.
func (l *loop) every(period, end time.Duration, f func()) {
	if l.now+period > end {
		return
	}
	l.after(period, func() {
		f()
		l.every(period, end, f)
	})
}

func (l *loop) run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}
