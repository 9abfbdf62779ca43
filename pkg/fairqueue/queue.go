package fairqueue

import (
	"cmp"
	"slices"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Decision tells Scan what to do with the current item.
type Decision int

// Decisions of a scan.
const (
	// Take removes the item and charges its cost to its organisation.
	Take Decision = iota
	// Drop removes the item without a charge.
	Drop
	// Skip leaves the item and continues with the next organisation.
	Skip
	// Stop leaves the item and ends the scan.
	Stop
)

// Item is a queued request.
type Item[K comparable, T any] struct {
	Key          K
	Organisation ident.Organisation
	Weight       float64 // weight of the organisation; zero or less counts as one
	Cost         float64 // tokens
	Priority     int     // higher first, within the organisation only
	Value        T

	sequence uint64
}

// Load is an amount of queued work.
type Load struct {
	Items float64
	Cost  float64 // tokens
}

// Queue is a weighted fair queue. K identifies an item.
type Queue[K comparable, T any] struct {
	burst       float64
	weightSum   float64 // sum over flows
	virtualTime float64 // start time of the item served last
	flows       map[ident.Organisation]*flow[K, T]
	active      []*flow[K, T] // flows with items, by start time and name
	items       map[K]*flow[K, T]
	sequence    uint64
}

// flow holds the queued items of one organisation.
type flow[K comparable, T any] struct {
	organisation ident.Organisation
	weight       float64
	start        float64 // virtual start time of the next item
	cost         float64 // sum over items
	items        []Item[K, T]
}

// New returns an empty queue. burst is the credit in tokens that all organisations
// together may accumulate while they send less than their share. Each accumulates its
// share of it and starts without credit.
//
// Without credit, an organisation close to its share waits long whenever another one
// keeps the queue full. With a large burst, the others wait long while one organisation
// uses its credit.
func New[K comparable, T any](burst float64) *Queue[K, T] {
	return &Queue[K, T]{
		burst: burst,
		flows: map[ident.Organisation]*flow[K, T]{},
		items: map[K]*flow[K, T]{},
	}
}

// Len returns the number of queued items.
func (q *Queue[K, T]) Len() int { return len(q.items) }

// Organisations returns the number of organisations whose state is kept, with or without
// queued items.
func (q *Queue[K, T]) Organisations() int { return len(q.flows) }

// Has reports whether an item is queued.
func (q *Queue[K, T]) Has(key K) bool {
	_, ok := q.items[key]
	return ok
}

// Get returns a queued item's value.
func (q *Queue[K, T]) Get(key K) (value T, ok bool) {
	f, ok := q.items[key]
	if !ok {
		return value, false
	}
	at := slices.IndexFunc(f.items, func(it Item[K, T]) bool { return it.Key == key })
	return f.items[at].Value, true
}

// Push adds an item. It returns false and changes nothing if the key is already queued.
func (q *Queue[K, T]) Push(it Item[K, T]) bool {
	if q.Has(it.Key) {
		return false
	}
	if it.Weight <= 0 {
		it.Weight = 1
	}
	f := q.flow(it.Organisation)
	q.weightSum += it.Weight - f.weight
	f.weight = it.Weight
	if len(f.items) == 0 {
		f.start = max(f.start, q.minStart())
		q.activate(f)
	}
	it.sequence = q.sequence
	q.sequence++
	at, _ := slices.BinarySearchFunc(f.items, it, compareItems[K, T])
	f.items = slices.Insert(f.items, at, it)
	f.cost += it.Cost
	q.items[it.Key] = f
	return true
}

// Remove removes an item without charging its organisation.
func (q *Queue[K, T]) Remove(key K) (Item[K, T], bool) {
	f, ok := q.items[key]
	if !ok {
		return Item[K, T]{}, false
	}
	at := slices.IndexFunc(f.items, func(it Item[K, T]) bool { return it.Key == key })
	return q.removeAt(f, at), true
}

// Scan calls decide with the first item of each organisation, in order of service. It
// starts over after Take, and ends once every organisation with items was skipped, or
// with Stop.
func (q *Queue[K, T]) Scan(decide func(Item[K, T]) Decision) {
	for i := 0; i < len(q.active); {
		f := q.active[i]
		switch decide(f.items[0]) {
		case Take:
			q.serve(f)
			i = 0
		case Drop:
			if q.removeAt(f, 0); len(f.items) > 0 {
				continue
			}
		case Skip:
			i++
		case Stop:
			return
		}
	}
}

// Each calls visit for every item, in order of service of the organisations.
func (q *Queue[K, T]) Each(visit func(Item[K, T])) {
	for _, f := range q.active {
		for _, it := range f.items {
			visit(it)
		}
	}
}

// Charge adjusts an organisation's charge by the difference between actual and estimated
// cost: positive if its work cost more than estimated at Take, negative if less.
func (q *Queue[K, T]) Charge(o ident.Organisation, tokens float64) {
	f, ok := q.flows[o]
	if !ok {
		return
	}
	start := max(f.start+tokens/f.weight, q.minStart())
	if len(f.items) == 0 {
		f.start = start
		return
	}
	q.deactivate(f)
	f.start = start
	q.activate(f)
}

// Ahead estimates the queued work that is served before a new item of an organisation:
// all of its own, and for every other organisation at most what its weight entitles it to
// in the same time.
func (q *Queue[K, T]) Ahead(o ident.Organisation, weight, cost float64) Load {
	if weight <= 0 {
		weight = 1
	}
	own := Load{}
	begin := q.virtualTime
	if f, ok := q.flows[o]; ok {
		own = Load{Items: float64(len(f.items)), Cost: f.cost}
		begin = max(q.minStart(), f.start)
	}
	start := begin + own.Cost/weight
	sum := own
	for _, f := range q.active {
		if f.organisation == o {
			continue
		}
		entitled := (start - f.start) * f.weight
		share := min(1, max(0, entitled)/max(f.cost, 1))
		sum.Items += share * float64(len(f.items))
		sum.Cost += share * f.cost
	}
	return sum
}

// DropCandidate returns the item to drop when the queue is full: the last one of the
// organisation with the largest backlog relative to its weight.
func (q *Queue[K, T]) DropCandidate() (Item[K, T], bool) {
	var best *flow[K, T]
	for _, f := range q.active {
		if best == nil || f.cost/f.weight > best.cost/best.weight {
			best = f
		}
	}
	if best == nil {
		return Item[K, T]{}, false
	}
	return best.items[len(best.items)-1], true
}

// serve removes the first item of a flow and charges its cost.
func (q *Queue[K, T]) serve(f *flow[K, T]) {
	q.virtualTime = max(q.virtualTime, f.start)
	q.deactivate(f)
	it := f.items[0]
	f.start += it.Cost / f.weight
	q.deleteItem(f, 0)
	if len(f.items) > 0 {
		q.activate(f)
	}
	q.evictIdle()
}

func (q *Queue[K, T]) removeAt(f *flow[K, T], at int) Item[K, T] {
	it := f.items[at]
	if len(f.items) == 1 {
		q.deactivate(f)
	}
	q.deleteItem(f, at)
	return it
}

func (q *Queue[K, T]) deleteItem(f *flow[K, T], at int) {
	it := f.items[at]
	f.items = slices.Delete(f.items, at, at+1)
	f.cost -= it.Cost
	delete(q.items, it.Key)
}

// minStart returns the start time of an organisation with the most credit allowed.
func (q *Queue[K, T]) minStart() float64 {
	return q.virtualTime - q.burst/max(q.weightSum, minWeightSum)
}

// minWeightSum avoids a division by zero before the first organisation is known.
const minWeightSum = 1e-6

func (q *Queue[K, T]) flow(o ident.Organisation) *flow[K, T] {
	f, ok := q.flows[o]
	if !ok {
		f = &flow[K, T]{organisation: o, weight: 1, start: q.virtualTime}
		q.flows[o] = f
		q.weightSum += f.weight
	}
	return f
}

func (q *Queue[K, T]) activate(f *flow[K, T]) {
	at, _ := slices.BinarySearchFunc(q.active, f, compareFlows[K, T])
	q.active = slices.Insert(q.active, at, f)
}

func (q *Queue[K, T]) deactivate(f *flow[K, T]) {
	if at, ok := slices.BinarySearchFunc(q.active, f, compareFlows[K, T]); ok {
		q.active = slices.Delete(q.active, at, at+1)
	}
}

// maxIdleFlows bounds the organisations without queued items whose state is kept. Above
// it, the half with the earliest start times, which owe least, is evicted. An evicted
// organisation starts again with neither debt nor credit.
const maxIdleFlows = 1024

// evictIdle evicts organisations without queued items if there are more than
// maxIdleFlows. It subtracts their weights in a fixed order, because the rounding of
// weightSum depends on the order.
func (q *Queue[K, T]) evictIdle() {
	if len(q.flows)-len(q.active) <= maxIdleFlows {
		return
	}
	var idle []*flow[K, T]
	for _, f := range q.flows {
		if len(f.items) == 0 {
			idle = append(idle, f)
		}
	}
	slices.SortFunc(idle, compareFlows[K, T])
	for _, f := range idle[:len(idle)/2] {
		delete(q.flows, f.organisation)
		q.weightSum -= f.weight
	}
}

func compareFlows[K comparable, T any](a, b *flow[K, T]) int {
	if c := cmp.Compare(a.start, b.start); c != 0 {
		return c
	}
	return cmp.Compare(a.organisation, b.organisation)
}

func compareItems[K comparable, T any](a, b Item[K, T]) int {
	if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}
