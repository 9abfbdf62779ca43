package fairqueue

import (
	"cmp"
	"slices"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Decision is what a scan does with the item it was shown.
type Decision int

// Decisions of a scan.
const (
	// Take removes the item and charges its cost to its organisation.
	Take Decision = iota
	// Drop removes the item without a charge.
	Drop
	// Skip leaves the item and goes on with the next organisation.
	Skip
	// Stop leaves the item and ends the scan.
	Stop
)

// Item is one queued piece of work.
type Item[K comparable, T any] struct {
	Key          K
	Organisation ident.Organisation
	Weight       float64 // share of the organisation; values of zero or less count as one
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
	burst    float64
	weights  float64 // sum over flows
	virtual  float64 // start time of the item served last
	flows    map[ident.Organisation]*flow[K, T]
	active   []*flow[K, T] // flows with items, by start time and name
	items    map[K]*flow[K, T]
	sequence uint64
}

type flow[K comparable, T any] struct {
	organisation ident.Organisation
	weight       float64
	start        float64 // virtual start time of the next item
	cost         float64 // sum over items
	items        []Item[K, T]
}

// New returns an empty queue. burst is what all organisations together may save up
// in tokens while they send less than their share; each saves its share of it, and
// starts with nothing.
// Without it, an organisation close to its share waits long whenever another one
// keeps the queue full; a large one lets the others wait for its bursts.
func New[K comparable, T any](burst float64) *Queue[K, T] {
	return &Queue[K, T]{
		burst: burst,
		flows: map[ident.Organisation]*flow[K, T]{},
		items: map[K]*flow[K, T]{},
	}
}

// Len returns the number of queued items.
func (q *Queue[K, T]) Len() int { return len(q.items) }

// Organisations returns how many organisations are remembered, with or without
// queued items.
func (q *Queue[K, T]) Organisations() int { return len(q.flows) }

// Has tells whether an item is queued.
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

// Push adds an item. A key that is already queued is left as it is.
func (q *Queue[K, T]) Push(it Item[K, T]) bool {
	if q.Has(it.Key) {
		return false
	}
	if it.Weight <= 0 {
		it.Weight = 1
	}
	f := q.flow(it.Organisation)
	q.weights += it.Weight - f.weight
	f.weight = it.Weight
	if len(f.items) == 0 {
		f.start = max(f.start, q.earliest())
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

// Remove takes an item out without a charge.
func (q *Queue[K, T]) Remove(key K) (Item[K, T], bool) {
	f, ok := q.items[key]
	if !ok {
		return Item[K, T]{}, false
	}
	at := slices.IndexFunc(f.items, func(it Item[K, T]) bool { return it.Key == key })
	return q.removeAt(f, at), true
}

// Scan shows try the first item of each organisation, in order of service. It
// ends when every organisation with items was skipped, or with Stop.
func (q *Queue[K, T]) Scan(try func(Item[K, T]) Decision) {
	for i := 0; i < len(q.active); {
		f := q.active[i]
		switch try(f.items[0]) {
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

// Charge corrects what an organisation has been charged by tokens: positive when
// its work cost more than was known at Take, negative when it cost less.
func (q *Queue[K, T]) Charge(o ident.Organisation, tokens float64) {
	f, ok := q.flows[o]
	if !ok {
		return
	}
	start := max(f.start+tokens/f.weight, q.earliest())
	if len(f.items) == 0 {
		f.start = start
		return
	}
	q.deactivate(f)
	f.start = start
	q.activate(f)
}

// Ahead estimates the queued work that is served before a new item of an
// organisation: all of its own, and of every other one at most what its weight
// entitles it to in the same time.
func (q *Queue[K, T]) Ahead(o ident.Organisation, weight, cost float64) Load {
	if weight <= 0 {
		weight = 1
	}
	own := Load{}
	begin := q.virtual
	if f, ok := q.flows[o]; ok {
		own = Load{Items: float64(len(f.items)), Cost: f.cost}
		begin = max(q.earliest(), f.start)
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

// Longest returns the last item of the organisation with the largest backlog for
// its weight, the one to drop when the queue is full.
func (q *Queue[K, T]) Longest() (Item[K, T], bool) {
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

// serve charges and removes the first item of a flow.
func (q *Queue[K, T]) serve(f *flow[K, T]) {
	q.virtual = max(q.virtual, f.start)
	q.deactivate(f)
	it := f.items[0]
	f.start += it.Cost / f.weight
	q.drop(f, 0)
	if len(f.items) > 0 {
		q.activate(f)
	}
	q.purge()
}

func (q *Queue[K, T]) removeAt(f *flow[K, T], at int) Item[K, T] {
	it := f.items[at]
	if len(f.items) == 1 {
		q.deactivate(f)
	}
	q.drop(f, at)
	return it
}

func (q *Queue[K, T]) drop(f *flow[K, T], at int) {
	it := f.items[at]
	f.items = slices.Delete(f.items, at, at+1)
	f.cost -= it.Cost
	delete(q.items, it.Key)
}

// earliest is the start time of an organisation that has saved up all it may.
func (q *Queue[K, T]) earliest() float64 {
	return q.virtual - q.burst/max(q.weights, minWeights)
}

// minWeights keeps the start time finite before the first organisation is known.
const minWeights = 1e-6

func (q *Queue[K, T]) flow(o ident.Organisation) *flow[K, T] {
	f, ok := q.flows[o]
	if !ok {
		f = &flow[K, T]{organisation: o, weight: 1, start: q.virtual}
		q.flows[o] = f
		q.weights += f.weight
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

// idleFlows bounds the idle organisations that are remembered. Above it the half
// with the least debt is forgotten; a forgotten one starts with neither debt nor
// savings.
const idleFlows = 1024

// purge goes through the organisations in a fixed order, because the sum of the
// weights depends on the order by its rounding.
func (q *Queue[K, T]) purge() {
	if len(q.flows)-len(q.active) <= idleFlows {
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
		q.weights -= f.weight
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
