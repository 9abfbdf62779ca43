package limits

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// maxWaiting bounds the reservations that wait for loans on one host.
	maxWaiting = 1024
	// maxLoans bounds the loans that one host has granted and not yet got back.
	maxLoans = 1 << 15
	// maxBrokered bounds the borrow requests that one host brokers at a time.
	maxBrokered = 4096
)

// Config holds the settings of a Limiter. All hosts should use the same values.
// ContactTimeout + LoanTTL + LoanMargin must not exceed Quarantine: a replaced
// process and the loans it granted must have ended before its successor mints.
type Config struct {
	Self   ident.Process
	Domain ident.FailureDomain
	// Quarantine is how long a new process waits before it mints. Longer values
	// tolerate a later notice of a replacement; the slot's share is unused meanwhile.
	Quarantine time.Duration
	// ContactTimeout is how long a process keeps its tokens without an
	// acknowledgement from a peer or an answer from the platform.
	ContactTimeout time.Duration
	// LoanTTL is how long a borrower may use a loan. With longer values long
	// requests can still give tokens back; the lender is without the capacity for
	// that time.
	LoanTTL time.Duration
	// LoanMargin is what a lender adds to LoanTTL before it uses the capacity
	// again. It covers clocks that run at different speeds.
	LoanMargin time.Duration
	// BorrowTimeout is how long a reservation waits for a loan. Longer values
	// cause fewer refusals under message loss and delay the refusals.
	BorrowTimeout time.Duration
}

// DefaultConfig returns the default settings. They leave 750 ms for the notice of
// a replacement to reach the replaced process's peers.
func DefaultConfig(self ident.Process, domain ident.FailureDomain) Config {
	return Config{
		Self:           self,
		Domain:         domain,
		Quarantine:     5 * time.Second,
		ContactTimeout: 3 * time.Second,
		LoanTTL:        time.Second,
		LoanMargin:     250 * time.Millisecond,
		BorrowTimeout:  200 * time.Millisecond,
	}
}

// Validate returns an error for settings under which organisations could exceed
// their rate and burst.
func (c Config) Validate() error {
	if c.LoanTTL <= 0 || c.LoanMargin <= 0 || c.ContactTimeout <= 0 || c.BorrowTimeout <= 0 {
		return errors.New("limits: contact timeout, loan TTL, loan margin and borrow timeout must be positive")
	}
	if sum := c.ContactTimeout + c.LoanTTL + c.LoanMargin; sum > c.Quarantine {
		return fmt.Errorf("limits: contact timeout, loan TTL and loan margin add up to %v, more than the quarantine of %v", sum, c.Quarantine)
	}
	return nil
}

// Policy is the rate and burst that the rules allow an organisation over the whole
// fleet.
type Policy struct {
	Rate  float64 `cbor:"1,keyasint"` // tokens per second
	Burst float64 `cbor:"2,keyasint"` // tokens
}

// Peer is a live host that can be asked for tokens.
type Peer struct {
	Host   ident.HostID
	Domain ident.FailureDomain
}

// Outcome says whether a reservation was granted or refused.
type Outcome uint8

// The outcomes of a reservation.
const (
	Granted Outcome = iota + 1
	Refused
)

// Reason says why a reservation was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonNoPolicy   Reason = "the organisation has no rate in the rules"
	ReasonTooLarge   Reason = "the request is larger than the organisation's burst"
	ReasonAboveRate  Reason = "the organisation is above its rate"
	ReasonStarting   Reason = "the host may not use its share yet and got no loan"
	ReasonNoContact  Reason = "the host has no contact with peers or platform"
	ReasonQueueFull  Reason = "too many reservations wait for loans"
	ReasonDraining   Reason = "the host is shutting down"
	ReasonSuperseded Reason = "a newer process holds the slot"
	ReasonPaused     Reason = "the process was paused"
	ReasonDuplicate  Reason = "the request already holds a reservation"
)

// Decision answers one Reserve.
type Decision struct {
	Request ident.RequestID
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the time after which the request may succeed; zero if it never
	// can or if that time is unknown.
	RetryAfter time.Duration
}

// Envelope is a message with its destination.
type Envelope struct {
	To      ident.HostID
	Message Message
}

// Result holds the messages to send and the decisions made.
type Result struct {
	Envelopes []Envelope
	Decisions []Decision
}

func (r *Result) send(to ident.HostID, m Message) {
	r.Envelopes = append(r.Envelopes, Envelope{To: to, Message: m})
}

// Limiter decides about reservations on one host.
type Limiter struct {
	cfg   Config
	slot  slot
	share share

	orgs         map[ident.Organisation]*bucket
	active       []*bucket // buckets with work for Tick, sorted by organisation
	reservations map[ident.RequestID]*reservation
	waiters      map[ident.RequestID]*waiter

	peers   []ident.HostID // hosts of this host's domain including itself, sorted
	remotes []remoteDomain // other domains, sorted

	lastNumber uint64 // last number given to a loan or borrow request
	borrows    map[ID]*borrowRequest
	lent       lentLoans
	hub        hub
}

// remoteDomain is a failure domain other than our own with its reachable hosts.
type remoteDomain struct {
	domain ident.FailureDomain
	hosts  []ident.HostID
}

// New returns a Limiter without policies and peers. It starts in quarantine.
func New(cfg Config, now time.Time) *Limiter {
	return &Limiter{
		cfg:          cfg,
		slot:         newSlot(cfg, now),
		orgs:         map[ident.Organisation]*bucket{},
		reservations: map[ident.RequestID]*reservation{},
		waiters:      map[ident.RequestID]*waiter{},
		peers:        []ident.HostID{cfg.Self.Host},
		borrows:      map[ID]*borrowRequest{},
		lent:         newLentLoans(),
		hub:          newHub(),
	}
}

// SetPolicies applies the policies of a configuration generation. share is the part
// of every rate and burst that belongs to this host's slot; with zero the host does
// not mint. A larger share than before takes effect only after the quarantine,
// because other hosts may still use the old division.
func (l *Limiter) SetPolicies(now time.Time, share float64, ps map[ident.Organisation]Policy) Result {
	var res Result
	l.advance(now)
	l.setShare(share)
	for name, p := range ps {
		if _, ok := l.orgs[name]; !ok {
			l.orgs[name] = l.newBucket(name, p)
		}
	}
	for _, name := range l.sortedNames() {
		p, ok := ps[name]
		b := l.orgs[name]
		if ok && p == b.policy {
			continue
		}
		l.changePolicy(b, p, &res)
	}
	return res
}

// changePolicy invalidates the loans of the old policy and shrinks the bucket to the
// new one.
func (l *Limiter) changePolicy(b *bucket, p Policy, res *Result) {
	l.refresh(b)
	b.invalidateLoans()
	l.cancelBorrow(b)
	b.policy = p
	b.borrowBackoffUntil = time.Time{}
	b.shrinkTo(l.capacity(b))
	l.activate(b)
	l.serve(b, res)
}

// SetPeers replaces the list of live peers: all of this host's failure domain and
// delegates of the other domains.
func (l *Limiter) SetPeers(now time.Time, peers []Peer) Result {
	var res Result
	l.advance(now)
	own := []ident.HostID{l.cfg.Self.Host}
	others := map[ident.FailureDomain][]ident.HostID{}
	for _, p := range peers {
		switch {
		case p.Host == l.cfg.Self.Host:
		case p.Domain == l.cfg.Domain:
			own = append(own, p.Host)
		default:
			others[p.Domain] = append(others[p.Domain], p.Host)
		}
	}
	slices.Sort(own)
	l.peers = slices.Compact(own)
	l.remotes = nil
	for d, hosts := range others {
		slices.Sort(hosts)
		l.remotes = append(l.remotes, remoteDomain{domain: d, hosts: slices.Compact(hosts)})
	}
	slices.SortFunc(l.remotes, func(a, b remoteDomain) int { return compare(a.domain, b.domain) })
	l.hub.dropAbsent(l)
	l.querySlot(&res)
	return res
}

// Tick expires loans, borrow requests and waiting reservations and returns unused
// loans. It must be called several times per LoanTTL.
func (l *Limiter) Tick(now time.Time) Result {
	var res Result
	l.advance(now)
	l.querySlot(&res)
	l.tickHub(&res)
	l.expireBorrows()
	l.expireReleases()
	returns := returnBatch{}
	kept := l.active[:0]
	for _, b := range l.active {
		l.refresh(b)
		l.tickWaiting(b, &res)
		l.returnLoans(b, returns)
		if b.needsTick() {
			kept = append(kept, b)
			continue
		}
		b.active = false
		if b.policy == (Policy{}) {
			delete(l.orgs, b.name)
		}
	}
	clear(l.active[len(kept):])
	l.active = kept
	returns.send(&res)
	return res
}

// Receive handles a message from another limiter.
func (l *Limiter) Receive(now time.Time, from ident.HostID, m Message) Result {
	var res Result
	l.advance(now)
	switch {
	case m.Borrow != nil:
		l.receiveBorrow(from, *m.Borrow, &res)
	case m.Loan != nil:
		l.receiveLoan(from, *m.Loan, &res)
	case m.Report != nil:
		l.receiveReport(from, *m.Report, &res)
	case m.Return != nil:
		l.receiveReturn(*m.Return, &res)
	case m.SlotQuery != nil:
		l.receiveSlotQuery(from, *m.SlotQuery, &res)
	case m.SlotReleased != nil:
		l.receiveSlotReleased(*m.SlotReleased, &res)
	}
	return res
}

func (l *Limiter) sortedNames() []ident.Organisation {
	names := make([]ident.Organisation, 0, len(l.orgs))
	for n := range l.orgs {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// activate adds the bucket to the list that Tick visits.
func (l *Limiter) activate(b *bucket) {
	if b.active {
		return
	}
	b.active = true
	i, _ := slices.BinarySearchFunc(l.active, b.name, func(x *bucket, n ident.Organisation) int { return compare(x.name, n) })
	l.active = slices.Insert(l.active, i, b)
}

func (l *Limiter) nextID() ID {
	l.lastNumber++
	return ID{Process: l.cfg.Self, Number: l.lastNumber}
}
