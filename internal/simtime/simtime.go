// Package simtime is a discrete-event scheduler with a simulated clock, for tests
// of code that takes the time as an argument.
package simtime

import (
	"container/heap"
	"time"
)

// Queue holds pending events in order of time. The zero value is an empty queue at
// time zero.
type Queue struct {
	now      time.Duration
	events   events
	sequence int
}

// Now returns the simulated time.
func (q *Queue) Now() time.Duration { return q.now }

// At schedules run at time t, or at the current time if t has passed. Events with
// the same time run in the order in which they were scheduled.
func (q *Queue) At(t time.Duration, run func()) {
	q.sequence++
	heap.Push(&q.events, event{at: max(t, q.now), sequence: q.sequence, run: run})
}

// After schedules run after a delay of d.
func (q *Queue) After(d time.Duration, run func()) { q.At(q.now+d, run) }

// Every schedules run at the current time and then repeatedly at the interval.
func (q *Queue) Every(interval time.Duration, run func()) {
	var tick func()
	tick = func() {
		run()
		q.After(interval, tick)
	}
	q.After(0, tick)
}

// Run executes all events up to and including the given time and advances the
// clock to it.
func (q *Queue) Run(until time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= until {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
	q.now = until
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
