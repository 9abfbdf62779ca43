// Package simtime runs events on a simulated clock. It serves the tests of parts
// that take time as an argument.
package simtime

import (
	"container/heap"
	"time"
)

// Queue holds the events to come. The zero value is at time zero without events.
type Queue struct {
	now    time.Duration
	events events
	number int
}

// Now returns the simulated time.
func (q *Queue) Now() time.Duration { return q.now }

// At runs an event at a time, or at once if that has passed. Events of the same
// time run in the order in which they were added.
func (q *Queue) At(t time.Duration, run func()) {
	q.number++
	heap.Push(&q.events, event{at: max(t, q.now), number: q.number, run: run})
}

// After runs an event when d has passed.
func (q *Queue) After(d time.Duration, run func()) { q.At(q.now+d, run) }

// Every runs an event now and then at each interval.
func (q *Queue) Every(interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		q.After(interval, again)
	}
	q.After(0, again)
}

// Run runs the events up to and including a time.
func (q *Queue) Run(until time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= until {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
	q.now = until
}

type event struct {
	at     time.Duration
	number int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].number < e[j].number
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
