package baseline

import (
	"container/heap"
	"time"
)

// loop is a discrete-event loop: it runs events in order of virtual time, and events
// of the same time in order of scheduling.
type loop struct {
	now       time.Duration
	events    eventQueue
	scheduled int
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (l *loop) at(t time.Duration, run func()) {
	l.scheduled++
	heap.Push(&l.events, event{at: max(t, l.now), sequence: l.scheduled, run: run})
}

func (l *loop) after(d time.Duration, run func()) { l.at(l.now+d, run) }

// every runs f at a fixed period while more returns true.
func (l *loop) every(period time.Duration, more func() bool, f func()) {
	l.after(period, func() {
		if more() {
			f()
			l.every(period, more, f)
		}
	})
}

func (l *loop) run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}
