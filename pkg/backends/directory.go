package backends

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/evacuation"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
	"github.com/mulberrystream/mulberrystream/pkg/serverspeed"
)

// Directory is the set of known backend servers with their load and health. It is
// not safe for concurrent use.
type Directory struct {
	cfg          Config
	servers      map[ident.BackendID]*server
	byService    map[ident.Route][]*server // sorted by id
	byAddr       map[string][]*server
	changes      uint64 // number of changes of addresses
	peerLoads    map[ident.HostID]map[ident.BackendID]Load
	prefillFits  map[ident.Route]*linearFit // prefill time as a function of tokens
	rng          *rand.Rand
	candidateBuf []candidate // reused by candidates
	newReport    bool        // see HasNewReport
	departed     map[ident.BackendID]departure
	leaving      map[ident.BackendID]announcement // see AnnounceLeaving
	waiting      map[ident.BackendID]waiting
	limits       *serverlimit.Limiter
	withheld     map[ident.BackendID]int64 // start times of the processes withheld after a restore
	withheldTill time.Time
	reportAge    time.Duration // see SetReportAge
}

type server struct {
	Entry
	addrChange uint64 // number of the change that gave it its address
	ownLoad    Load
	peerLoad   Load
	health     health
	throughput throughput

	removeAt    time.Time // end of the grace period of a missing entry; zero if listed
	unconfirmed bool      // missing after a restore of the store, so still in use until removeAt
	leaving     bool      // announced by the server itself
	waitUntil   time.Time // it wants nothing from this host until then, see AskForTime
	unusedUntil time.Time // the entry may be outdated until then, see StoreRestored
	lastFull    time.Time // last rejection for lack of capacity
	hidden      hiddenLoad
	freed       freedMemory

	switchTo    Stage // target stage of a pending switch
	switchUntil time.Time
}

// switching reports whether a change of the server's stage is pending.
func (s *server) switching(now time.Time) bool {
	return now.Before(s.switchUntil) && s.Stage != s.switchTo
}

// NewDirectory returns an empty directory.
func NewDirectory(cfg Config) *Directory {
	if cfg.Limits == nil {
		cfg.Limits = serverlimit.New(serverlimit.DefaultConfig("", cfg.Seed), time.Time{})
	}
	if cfg.Speeds == nil {
		cfg.Speeds = serverspeed.New()
	}
	if cfg.Evacuations == nil {
		cfg.Evacuations = evacuation.New(evacuation.DefaultConfig(), func(ident.FailureDomain) bool { return true })
	}
	return &Directory{
		cfg:         cfg,
		limits:      cfg.Limits,
		servers:     map[ident.BackendID]*server{},
		byService:   map[ident.Route][]*server{},
		byAddr:      map[string][]*server{},
		peerLoads:   map[ident.HostID]map[ident.BackendID]Load{},
		prefillFits: map[ident.Route]*linearFit{},
		departed:    map[ident.BackendID]departure{},
		leaving:     map[ident.BackendID]announcement{},
		waiting:     map[ident.BackendID]waiting{},
		rng:         rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

// Put adds or updates an entry. An entry with another start time, version or service is a new
// process that does not have the requests of the old one, so this host's load and the
// health state start anew. A changed address or stage resets only the health state.
func (d *Directory) Put(e Entry) {
	delete(d.withheld, e.ID)
	delete(d.departed, e.ID)
	s := d.servers[e.ID]
	if s == nil || s.Service != e.Service || s.StartedAt != e.StartedAt || s.Version != e.Version {
		d.Remove(e.ID)
		s = &server{Entry: e, leaving: d.hasAnnounced(e.ID, e.StartedAt), waitUntil: d.waitOf(e.ID, e.StartedAt)}
		d.servers[e.ID] = s
		d.index(s)
		d.setAddr(s, e.Addr)
		d.recountPeerLoad(s)
		return
	}
	if s.Addr != e.Addr || s.Stage != e.Stage {
		s.health = health{}
	}
	if s.Addr != e.Addr {
		d.setAddr(s, e.Addr)
	}
	s.Entry = e
	s.removeAt, s.unconfirmed, s.unusedUntil = time.Time{}, false, time.Time{}
}

func (d *Directory) index(s *server) {
	list := d.byService[s.Service]
	at, _ := slices.BinarySearchFunc(list, s.ID, func(o *server, id ident.BackendID) int {
		return cmp.Compare(o.ID, id)
	})
	d.byService[s.Service] = slices.Insert(list, at, s)
}

// Remove deletes an entry and its state.
func (d *Directory) Remove(id ident.BackendID) {
	s := d.servers[id]
	if s == nil {
		return
	}
	delete(d.servers, id)
	d.clearAddr(s)
	d.byService[s.Service] = slices.DeleteFunc(d.byService[s.Service], func(o *server) bool { return o == s })
}

// MarkMissing records that an entry left the list during a store outage. It gets no
// requests and is removed after MissingGrace unless Put is called for it again.
func (d *Directory) MarkMissing(now time.Time, id ident.BackendID) {
	if s := d.servers[id]; s != nil && s.removeAt.IsZero() {
		s.removeAt = now.Add(d.cfg.MissingGrace)
	}
}

// listed reports whether the server's entry is in the list and up to date, as far as is
// known.
func (s *server) listed(now time.Time) bool {
	return (s.removeAt.IsZero() || s.unconfirmed) && !now.Before(s.unusedUntil)
}

// ExpireMissing removes the entries whose grace period has ended and returns their ids.
func (d *Directory) ExpireMissing(now time.Time) []ident.BackendID {
	var gone []ident.BackendID
	for id, s := range d.servers {
		if !s.removeAt.IsZero() && !now.Before(s.removeAt) {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		d.Depart(now, id)
	}
	return gone
}

// Size returns the number of known servers.
func (d *Directory) Size() int { return len(d.servers) }

// IDs returns all known ids in ascending order.
func (d *Directory) IDs() []ident.BackendID {
	ids := make([]ident.BackendID, 0, len(d.servers))
	for id := range d.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Entry returns the entry of a backend server.
func (d *Directory) Entry(id ident.BackendID) (Entry, bool) {
	s := d.servers[id]
	if s == nil {
		return Entry{}, false
	}
	return s.Entry, true
}

// Count returns the number of listed servers of a service in a stage that accept
// requests. A server with a pending switch counts in its target stage.
func (d *Directory) Count(now time.Time, service ident.Route, stage Stage) int {
	n := 0
	for _, s := range d.byService[service] {
		at := s.Stage
		if s.switching(now) {
			at = s.switchTo
		}
		if at == stage && !d.excluded(s) && s.listed(now) && !s.suspended(now) {
			n++
		}
	}
	return n
}

// departing reports whether the server is about to stop, as the list or the server itself
// says.
func (s *server) departing() bool { return s.Draining || s.leaving }

// Listed reports whether any server of a service in a stage is known and not excluded,
// whether or not it is reachable.
func (d *Directory) Listed(service ident.Route, stage Stage) bool {
	return slices.ContainsFunc(d.byService[service], func(s *server) bool {
		return s.Stage == stage && !d.excluded(s)
	})
}

// ListedIn is like Listed for the servers of the failure domains that are allowed.
func (d *Directory) ListedIn(service ident.Route, stage Stage, allowed func(ident.FailureDomain) bool) bool {
	return slices.ContainsFunc(d.byService[service], func(s *server) bool {
		return s.Stage == stage && !d.excluded(s) && allowed(s.Domain)
	})
}

// suspended reports whether the server is in a back-off, see health.suspend.
func (s *server) suspended(now time.Time) bool {
	return s.health.backoff > 0 && now.Before(s.health.suspendedUntil)
}

// MarkSwitching records that a server was ordered to change its stage. It gets no
// requests until its stage has changed or the time until has passed.
func (d *Directory) MarkSwitching(id ident.BackendID, to Stage, until time.Time) {
	if s := d.servers[id]; s != nil {
		s.switchTo, s.switchUntil = to, until
	}
}

// Begin adds to this host's load at a server.
func (d *Directory) Begin(id ident.BackendID, l Load) {
	if s := d.servers[id]; s != nil {
		s.ownLoad.add(l)
	}
}

// End subtracts from this host's load at a server.
func (d *Directory) End(id ident.BackendID, l Load) {
	s := d.servers[id]
	if s == nil {
		return
	}
	s.ownLoad.sub(l)
	s.ownLoad.Requests = max(0, s.ownLoad.Requests)
	s.ownLoad.Memory = max(0, s.ownLoad.Memory)
	s.ownLoad.Prompt = max(0, s.ownLoad.Prompt)
}

// Load returns the load of a server from all hosts, as far as it is known.
func (d *Directory) Load(id ident.BackendID) Load {
	if s := d.servers[id]; s != nil {
		return s.totalLoad()
	}
	return Load{}
}

// OwnLoads returns this host's load at each server where it is not zero.
func (d *Directory) OwnLoads() map[ident.BackendID]Load {
	own := map[ident.BackendID]Load{}
	for id, s := range d.servers {
		if s.ownLoad != (Load{}) {
			own[id] = s.ownLoad
		}
	}
	return own
}

// SetPeerLoads replaces the load reported by another host.
func (d *Directory) SetPeerLoads(host ident.HostID, loads map[ident.BackendID]Load) {
	for id, l := range d.peerLoads[host] {
		if s := d.servers[id]; s != nil {
			s.peerLoad.sub(l)
		}
	}
	if len(loads) == 0 {
		delete(d.peerLoads, host)
		return
	}
	d.peerLoads[host] = loads
	for id, l := range loads {
		if s := d.servers[id]; s != nil {
			s.peerLoad.add(l)
		}
	}
}

// recountPeerLoad recomputes the peer load of a newly listed server from earlier reports.
func (d *Directory) recountPeerLoad(s *server) {
	s.peerLoad = Load{}
	for _, loads := range d.peerLoads {
		s.peerLoad.add(loads[s.ID])
	}
}

func (s *server) totalLoad() Load {
	l := s.ownLoad
	l.add(s.peerLoad)
	return l
}

func (d *Directory) target(s *server) Target {
	return Target{ID: s.ID, Addr: s.Addr, Domain: s.Domain, StartedAt: s.StartedAt, Version: s.Version, pickedAt: d.changes}
}
