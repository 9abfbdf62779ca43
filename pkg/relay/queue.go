package relay

import (
	"maps"
	"slices"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/fairqueue"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// queue holds the requests of a model service that wait for memory.
type queue struct {
	items *fairqueue.Queue[ID, *request]
	// pinned holds the requests that wait for memory at one of several versions. They must
	// neither block nor wait for those that can go elsewhere.
	pinned map[ident.Version]*fairqueue.Queue[ID, *request]
	// freeRate is the rate at which finished requests of this host free KV cache, in
	// tokens per second.
	freeRate rate
	pacer    backends.Pacer
}

func newQueue() *queue {
	return &queue{items: fairqueue.New[ID, *request](0), pinned: map[ident.Version]*fairqueue.Queue[ID, *request]{}}
}

func (qu *queue) len() int {
	n := qu.items.Len()
	for _, p := range qu.pinned {
		n += p.Len()
	}
	return n
}

func (qu *queue) push(it fairqueue.Item[ID, *request], apart bool) {
	if !apart {
		qu.items.Push(it)
		return
	}
	p := qu.pinned[it.Value.version]
	if p == nil {
		p = fairqueue.New[ID, *request](0)
		qu.pinned[it.Value.version] = p
	}
	p.Push(it)
}

func (qu *queue) remove(id ID) {
	qu.items.Remove(id)
	for v, p := range qu.pinned {
		if p.Remove(id); p.Len() == 0 {
			delete(qu.pinned, v)
		}
	}
}

// each calls visit for every request.
func (qu *queue) each(visit func(*request)) {
	for _, v := range qu.versions() {
		qu.pinned[v].Each(func(it fairqueue.Item[ID, *request]) { visit(it.Value) })
	}
	qu.items.Each(func(it fairqueue.Item[ID, *request]) { visit(it.Value) })
}

// all returns every request.
func (qu *queue) all() []*request {
	var all []*request
	qu.each(func(q *request) { all = append(all, q) })
	return all
}

func (qu *queue) versions() []ident.Version { return slices.Sorted(maps.Keys(qu.pinned)) }

// start starts the requests for which start returns true, those that are pinned to a
// version first: they have fewer servers to go to.
func (qu *queue) start(start func(*request) bool) {
	for _, v := range qu.versions() {
		p := qu.pinned[v]
		p.Scan(func(it fairqueue.Item[ID, *request]) fairqueue.Decision {
			if !start(it.Value) {
				return fairqueue.Stop
			}
			qu.items.Charge(it.Organisation, it.Cost)
			return fairqueue.Take
		})
		if p.Len() == 0 {
			delete(qu.pinned, v)
		}
	}
	qu.items.Scan(func(it fairqueue.Item[ID, *request]) fairqueue.Decision {
		switch {
		case start(it.Value):
			return fairqueue.Take
		case it.Value.pinned || it.Value.allowed != nil:
			return fairqueue.Skip
		}
		return fairqueue.Stop
	})
}
