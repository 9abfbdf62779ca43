package relay

import (
	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/catalog"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/notes"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// fullNote is the body of a note of kind notes.Full, whose key is the ID of an engine.
type fullNote struct {
	_         struct{} `cbor:",toarray"`
	StartedAt int64    // of the process, see backends.Entry
	Used      int64    // least memory in use when it refused a request, in tokens
}

// pickPaced picks a decode engine. While reservations of the queue are refused, only one
// request at a time asks an engine that may be full.
func (r *Relay) pickPaced(q *request, query backends.Query) (backends.Target, bool) {
	p := &r.queues[q.service.Name].pacer
	q.mayBeFull = !p.Slow() || r.backends.HasSpareCapacity(r.now, query)
	if q.mayBeFull {
		return r.backends.PickDecode(r.now, query)
	}
	query.Freed = true
	if to, ok := r.backends.PickDecode(r.now, query); ok {
		r.backends.UseFreed(to.ID, query.Need.Memory)
		r.log(Decision{Step: "freed_memory", RequestID: q.spec.RequestID, Backend: to.ID, Outcome: "reserves what this host knows to be free"})
		return to, true
	}
	if !p.Free(r.now) {
		return backends.Target{}, false
	}
	query.Freed = false
	to, ok := r.backends.PickDecode(r.now, query)
	if ok {
		q.mayBeFull = true
		p.Begin(r.now)
	}
	return to, ok
}

// maxOfferHops is the number of hosts that are offered the same memory one after the other.
const maxOfferHops = 10

// freedMemory records that an engine has freed the memory of a request that it has completed.
func (r *Relay) freedMemory(q *request) {
	if q.load.Memory <= 0 {
		return
	}
	r.backends.Freed(r.now, q.target.ID, q.load.Memory)
	r.offers = append(r.offers, Offer{Service: q.service.Name, Backend: q.target.ID, Memory: q.load.Memory, Hops: maxOfferHops})
}

// offerFreed passes memory that this host has no use for to another host while memory is
// short. The others would learn of it only with the next load report, all at about the same
// time.
func (r *Relay) offerFreed() {
	for _, o := range r.offers {
		engine := r.engineOf(o.Service)
		if o.Hops <= 0 || engine == nil || r.backends.HasSpareCapacity(r.now, backends.Query{
			Service: o.Service, Stage: backends.Decode, Need: backends.Load{Memory: o.Memory},
			MemoryPerServer: engine.MemoryTokens, UnseenRequests: r.unreportedRequests(o.Service),
		}) {
			continue
		}
		to := r.roster.Alive(r.now)
		if o.Memory = min(o.Memory, r.backends.TakeFreed(r.now, o.Backend)); o.Memory <= 0 || len(to) == 0 {
			continue
		}
		o.Hops--
		r.emit(Send{To: []string{to[r.rng.IntN(len(to))].Addr}, Message: Message{Heartbeat: roster.Heartbeat{From: r.cfg.Roster.Self}, Offers: []Offer{o}}})
	}
	r.offers = nil
}

// engineOf describes the engines of a service; nil if it has none.
func (r *Relay) engineOf(service ident.Route) *catalog.Engine {
	if r.snapshot == nil || r.snapshot.Services[service] == nil {
		return nil
	}
	return r.snapshot.Services[service].Engine
}

// applyOffers takes memory that another host offers. What this host does not use is offered on.
func (r *Relay) applyOffers(m Message) {
	for _, o := range m.Offers {
		e, listed := r.backends.Entry(o.Backend)
		engine := r.engineOf(o.Service)
		if listed && e.Service == o.Service && engine != nil && o.Memory > 0 && o.Memory <= engine.MemoryTokens {
			r.backends.Freed(r.now, o.Backend, o.Memory)
			o.Hops = min(o.Hops, maxOfferHops)
			r.offers = append(r.offers, o)
		}
	}
}

// reservationGranted records that an engine had memory for a request.
func (r *Relay) reservationGranted(q *request) {
	if qu := r.queues[q.service.Name]; qu != nil && q.mayBeFull {
		qu.pacer.Succeeded()
	}
}

// reservationRefused counts memory that the known loads do not explain at the engine that
// refused a request, and tells the other hosts.
func (r *Relay) reservationRefused(q *request) {
	if qu := r.queues[q.service.Name]; qu != nil && q.mayBeFull {
		qu.pacer.Refused(r.now)
	}
	refusal, isNew := r.backends.Refused(r.now, q.target.ID, q.service.Engine.MemoryTokens, q.load.Memory)
	if isNew {
		r.putNote(notes.Full, string(refusal.ID), fullNote{StartedAt: refusal.StartedAt, Used: refusal.Used})
	}
}

// applyRefusal applies a refusal that another host has met.
func (r *Relay) applyRefusal(n notes.Received) {
	var body fullNote
	if err := n.Decode(&body); err != nil {
		r.log(Decision{Step: "note", Peer: n.From, Outcome: err.Error()})
		return
	}
	refusal := backends.Refusal{ID: ident.BackendID(n.Key), StartedAt: body.StartedAt, Used: body.Used, At: n.At}
	e, _ := r.backends.Entry(refusal.ID)
	engine := r.engineOf(e.Service)
	if engine != nil && !r.backends.ApplyRefusal(r.now, refusal, engine.MemoryTokens) {
		r.log(Decision{Step: "note", Peer: n.From, Backend: refusal.ID, Outcome: "refusal by another process or out of range ignored"})
	}
}
