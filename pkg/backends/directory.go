package backends

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Directory is the set of known backend servers. It is not safe for concurrent
// use.
type Directory struct {
	cfg     Config
	servers map[ident.BackendID]*server
	byServ  map[ident.Route][]*server // sorted by id
	peers   map[ident.HostID]map[ident.BackendID]Load
	reading map[ident.Route]*line // time of prefills by their tokens
	rng     *rand.Rand
	found   []candidate // buffer
	urgent  bool        // see Urgent
}

type server struct {
	Entry
	own   Load
	peers Load
	trust trust
	speed speed

	goneAt time.Time // end of the grace of an entry that vanished; zero if listed
	fullAt time.Time // last refusal for want of room

	switchTo    Stage // wanted by an order
	switchUntil time.Time
}

// switching tells whether the server is about to change its stage.
func (s *server) switching(now time.Time) bool {
	return now.Before(s.switchUntil) && s.Stage != s.switchTo
}

// NewDirectory returns an empty directory.
func NewDirectory(cfg Config) *Directory {
	return &Directory{
		cfg:     cfg,
		servers: map[ident.BackendID]*server{},
		byServ:  map[ident.Route][]*server{},
		peers:   map[ident.HostID]map[ident.BackendID]Load{},
		reading: map[ident.Route]*line{},
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

// Put adds or updates an entry. An entry with a later start is a new process that
// knows nothing of the requests of the old one.
func (d *Directory) Put(e Entry) {
	s := d.servers[e.ID]
	if s == nil || s.Service != e.Service || s.Born != e.Born {
		d.Remove(e.ID)
		s = &server{Entry: e}
		d.servers[e.ID] = s
		d.index(s)
		d.recountPeers(s)
		return
	}
	if s.Addr != e.Addr || s.Stage != e.Stage {
		s.trust = trust{}
	}
	s.Entry = e
	s.goneAt = time.Time{}
}

func (d *Directory) index(s *server) {
	list := d.byServ[s.Service]
	at, _ := slices.BinarySearchFunc(list, s.ID, func(o *server, id ident.BackendID) int {
		return cmp.Compare(o.ID, id)
	})
	d.byServ[s.Service] = slices.Insert(list, at, s)
}

// Remove forgets an entry.
func (d *Directory) Remove(id ident.BackendID) {
	s := d.servers[id]
	if s == nil {
		return
	}
	delete(d.servers, id)
	d.byServ[s.Service] = slices.DeleteFunc(d.byServ[s.Service], func(o *server) bool { return o == s })
}

// Vanished notes that an entry left the list while the store could not be asked.
// It is removed after the grace unless it is put again.
func (d *Directory) Vanished(now time.Time, id ident.BackendID) {
	if s := d.servers[id]; s != nil && s.goneAt.IsZero() {
		s.goneAt = now.Add(d.cfg.AwayGrace)
	}
}

// Expire removes the entries whose grace has ended and returns their ids.
func (d *Directory) Expire(now time.Time) []ident.BackendID {
	var gone []ident.BackendID
	for id, s := range d.servers {
		if !s.goneAt.IsZero() && !now.Before(s.goneAt) {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		d.Remove(id)
	}
	return gone
}

// Size returns the number of known servers.
func (d *Directory) Size() int { return len(d.servers) }

// IDs returns all known ids in order.
func (d *Directory) IDs() []ident.BackendID {
	ids := make([]ident.BackendID, 0, len(d.servers))
	for id := range d.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Entry returns what is known of a backend server.
func (d *Directory) Entry(id ident.BackendID) (Entry, bool) {
	s := d.servers[id]
	if s == nil {
		return Entry{}, false
	}
	return s.Entry, true
}

// Count returns the number of listed servers of a service in a stage that take
// work. A server that changes its stage counts in the new one.
func (d *Directory) Count(now time.Time, service ident.Route, stage Stage) int {
	n := 0
	for _, s := range d.byServ[service] {
		at := s.Stage
		if s.switching(now) {
			at = s.switchTo
		}
		if at == stage && !s.Draining && s.goneAt.IsZero() && !s.dark(now) {
			n++
		}
	}
	return n
}

// Listed tells whether any server of a service in a stage is known and not leaving,
// reachable or not.
func (d *Directory) Listed(service ident.Route, stage Stage) bool {
	return slices.ContainsFunc(d.byServ[service], func(s *server) bool {
		return s.Stage == stage && !s.Draining
	})
}

// dark tells whether the server is suspended.
func (s *server) dark(now time.Time) bool {
	return s.trust.pause > 0 && now.Before(s.trust.suspended)
}

// Switch notes that a server has been told to change its stage and may get no work
// until it has.
func (d *Directory) Switch(id ident.BackendID, to Stage, until time.Time) {
	if s := d.servers[id]; s != nil {
		s.switchTo, s.switchUntil = to, until
	}
}

// Begin adds load of this host.
func (d *Directory) Begin(id ident.BackendID, l Load) {
	if s := d.servers[id]; s != nil {
		s.own.add(l)
	}
}

// End takes load of this host away.
func (d *Directory) End(id ident.BackendID, l Load) {
	s := d.servers[id]
	if s == nil {
		return
	}
	s.own.sub(l)
	s.own.Requests = max(0, s.own.Requests)
	s.own.Memory = max(0, s.own.Memory)
	s.own.Prompt = max(0, s.own.Prompt)
}

// Load returns the known work at a server.
func (d *Directory) Load(id ident.BackendID) Load {
	if s := d.servers[id]; s != nil {
		return s.load()
	}
	return Load{}
}

// Own returns the load of this host at each server that has any.
func (d *Directory) Own() map[ident.BackendID]Load {
	own := map[ident.BackendID]Load{}
	for id, s := range d.servers {
		if s.own != (Load{}) {
			own[id] = s.own
		}
	}
	return own
}

// SetPeer replaces what another host has under way.
func (d *Directory) SetPeer(host ident.HostID, loads map[ident.BackendID]Load) {
	for id, l := range d.peers[host] {
		if s := d.servers[id]; s != nil {
			s.peers.sub(l)
		}
	}
	if len(loads) == 0 {
		delete(d.peers, host)
		return
	}
	d.peers[host] = loads
	for id, l := range loads {
		if s := d.servers[id]; s != nil {
			s.peers.add(l)
		}
	}
}

// recountPeers sets the peers' load of a server that was just listed.
func (d *Directory) recountPeers(s *server) {
	s.peers = Load{}
	for _, loads := range d.peers {
		s.peers.add(loads[s.ID])
	}
}

func (s *server) load() Load {
	l := s.own
	l.add(s.peers)
	return l
}

func (s *server) target() Target {
	return Target{ID: s.ID, Addr: s.Addr, Domain: s.Domain}
}
