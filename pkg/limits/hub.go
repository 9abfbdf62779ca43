package limits

import (
	"math"
	"slices"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

const (
	// lenderFanout and domainFanout bound the hosts that a hub asks at a time. A
	// hub first asks those that are expected to have most tokens.
	lenderFanout = 8
	domainFanout = 4
	// hubRounds bounds how often a hub asks again when hosts lend less than expected.
	hubRounds = 4
	// minLenderFraction is the fraction of its tokens that a lender is asked for at
	// least, if fewer lenders can cover the need.
	minLenderFraction = 0.25
	// refillSeconds is the time in which a hub assumes that a bucket fills up through
	// refunds and returns, which the hub does not see.
	refillSeconds = 0.25
)

// hub brokers loans between the hosts of its domain and with the hubs of other domains.
type hub struct {
	requests map[requestKey]*brokeredRequest
	queue    []*brokeredRequest // in the order in which they end
	// spare holds the tokens that hosts and remote hubs last reported to have left.
	spare map[ident.Organisation]map[ident.HostID]spareReport
}

func newHub() hub {
	return hub{requests: map[requestKey]*brokeredRequest{}, spare: map[ident.Organisation]map[ident.HostID]spareReport{}}
}

// spareReport is the number of tokens that a host reported, which grows by minting.
type spareReport struct {
	tokens float64
	at     time.Time
}

// brokeredRequest is a borrow request that this hub handles.
type brokeredRequest struct {
	msg           Borrow
	from          ident.HostID // sender of the request, which gets the Report
	need          float64      // tokens still to be found
	want          float64
	granted       float64
	asked         map[ident.HostID]bool
	pending       map[ident.HostID]uint8 // round of the unanswered request
	rounds        int
	roundDeadline time.Time // hosts that have not answered by then are not waited for
	end           time.Time
	done          bool
}

// receiveBorrow handles a request according to its step.
func (l *Limiter) receiveBorrow(from ident.HostID, m Borrow, res *Result) {
	if m.Step != ToLender {
		l.broker(from, m, res)
		return
	}
	granted := l.lend(m, res)
	res.send(from, Message{Report: &Report{Borrow: m.ID, Organisation: m.Organisation, Round: m.Round, Granted: granted, Spare: l.spareTokens(m.Organisation)}})
}

// spareTokens returns what this host could lend now.
func (l *Limiter) spareTokens(org ident.Organisation) int64 {
	b := l.orgs[org]
	if b == nil {
		return 0
	}
	return int64(l.lendable(b))
}

// broker starts the search for lenders. A repeated request is ignored.
func (l *Limiter) broker(from ident.HostID, m Borrow, res *Result) {
	if l.hub.requests[m.key()] != nil || len(l.hub.requests) >= maxBrokered {
		return
	}
	now := l.slot.now
	x := &brokeredRequest{
		msg:     m,
		from:    from,
		need:    float64(m.Need),
		want:    float64(m.Want),
		asked:   map[ident.HostID]bool{m.ID.Process.Host: true},
		pending: map[ident.HostID]uint8{},
		end:     now.Add(l.cfg.BorrowTimeout),
	}
	l.hub.requests[m.key()] = x
	l.hub.queue = append(l.hub.queue, x)
	if !x.asked[l.cfg.Self.Host] {
		x.asked[l.cfg.Self.Host] = true
		own := m
		own.Step = ToLender
		own.Round = x.wireRound()
		x.addGranted(float64(l.lend(own, res)))
	}
	l.continueSearch(x, res)
}

// wireRound numbers the requests of this hub. A remote hub's numbers differ for each
// round of the hub that asked it.
func (x *brokeredRequest) wireRound() uint8 { return x.msg.Round*(hubRounds+1) + uint8(x.rounds) }

func (x *brokeredRequest) addGranted(n float64) {
	x.granted += n
	x.need -= n
	x.want -= n
}

// continueSearch asks the next lenders, or ends the search when the need is covered
// or no host is left to ask.
func (l *Limiter) continueSearch(x *brokeredRequest, res *Result) {
	if x.done || len(x.pending) > 0 {
		return
	}
	b := l.orgs[x.msg.Organisation]
	if x.need <= 0 || x.rounds >= hubRounds || b == nil || b.policy != x.msg.Policy {
		l.finishSearch(x, res)
		return
	}
	x.rounds++
	x.roundDeadline = l.slot.now.Add(l.cfg.BorrowTimeout / hubRounds)
	shortfall := l.sendRequests(x, l.candidates(x, l.peers, b, 1), ToLender, lenderFanout, x.want, res)
	if x.msg.Step == ToHub && shortfall > 0 {
		l.sendRequests(x, l.remoteHubs(x, b), ToRemoteHub, domainFanout, shortfall, res)
	}
	if len(x.pending) == 0 {
		l.finishSearch(x, res)
	}
}

// candidate is a host that may be asked, with the tokens that it is expected to have.
type candidate struct {
	host   ident.HostID
	tokens float64
}

// sendRequests asks the best candidates and returns the tokens that they are not
// expected to cover. The amounts leave the lenders with equal levels, because a
// full bucket mints nothing.
func (l *Limiter) sendRequests(x *brokeredRequest, cs []candidate, step Step, fanout int, shortfall float64, res *Result) float64 {
	cs = cs[:min(len(cs), fanout)]
	n, level := waterFill(cs, shortfall)
	for _, c := range cs[:n] {
		m := x.msg
		m.Step = step
		m.Round = x.wireRound()
		m.Want = int64(math.Ceil(c.tokens - level))
		m.Need = min(m.Want, int64(math.Ceil(x.need)))
		x.asked[c.host] = true
		x.pending[c.host] = m.Round
		res.send(c.host, Message{Borrow: &m})
		shortfall -= c.tokens - level
	}
	return shortfall
}

// waterFill returns how many of the candidates, sorted by descending tokens, must lend,
// and the level that remains with each of them, to give shortfall tokens together.
func waterFill(cs []candidate, shortfall float64) (int, float64) {
	if shortfall <= 0 {
		return 0, 0
	}
	sum := 0.0
	for i, c := range cs {
		sum += c.tokens
		level := (sum - shortfall) / float64(i+1)
		small := shortfall/float64(i+2) < c.tokens*minLenderFraction
		if i+1 == len(cs) || level >= cs[i+1].tokens || level >= 0 && small {
			return i + 1, max(0, level)
		}
	}
	return 0, 0
}

// remoteHubs returns one hub of each other domain that has not been asked.
func (l *Limiter) remoteHubs(x *brokeredRequest, b *bucket) []candidate {
	hosts := make([]ident.HostID, 0, len(l.remotes))
	for _, r := range l.remotes {
		hosts = append(hosts, ident.Owner(hubKey(b.name), r.hosts))
	}
	return l.candidates(x, hosts, b, float64(len(l.peers)))
}

// candidates returns hosts that are expected to have a token, those with most tokens
// first. size is the number of slots that each host answers for.
func (l *Limiter) candidates(x *brokeredRequest, hosts []ident.HostID, b *bucket, size float64) []candidate {
	known := l.hub.spare[b.name]
	share := l.slotShare()
	cs := make([]candidate, 0, len(hosts))
	for _, h := range hosts {
		if x.asked[h] {
			continue
		}
		tokens := share * b.policy.Burst * size
		if s, ok := known[h]; ok {
			age := l.slot.now.Sub(s.at).Seconds()
			tokens = min(tokens, s.tokens+age*share*size*max(b.policy.Rate, b.policy.Burst/refillSeconds))
		}
		if tokens >= 1 {
			cs = append(cs, candidate{host: h, tokens: tokens})
		}
	}
	slices.SortFunc(cs, func(a, b candidate) int {
		if c := compare(b.tokens, a.tokens); c != 0 {
			return c
		}
		return compare(a.host, b.host)
	})
	return cs
}

// slotShare returns the share of a slot, or an estimate on a host without a slot.
func (l *Limiter) slotShare() float64 {
	if l.share.current > 0 {
		return l.share.current
	}
	return 1 / float64(len(l.peers)*(len(l.remotes)+1))
}

// receiveReport records what a lender or remote hub has left and continues the
// search. A report for a borrow request of this host says that its search has ended.
func (l *Limiter) receiveReport(from ident.HostID, m Report, res *Result) {
	l.hub.recordSpare(m.Organisation, from, spareReport{tokens: float64(m.Spare), at: l.slot.now})
	if x := l.hub.findPending(m.Borrow, from, m.Round); x != nil {
		delete(x.pending, from)
		x.addGranted(float64(m.Granted))
		if m.Granted > 0 && m.Spare > 0 {
			delete(x.asked, from) // it was asked for less than it has
		}
		l.continueSearch(x, res)
		return
	}
	if br := l.borrows[m.Borrow]; br != nil && m.Round == 0 {
		l.searchEnded(br, float64(m.Granted), res)
	}
}

// findPending returns the request for which the host's answer is outstanding.
func (h *hub) findPending(id ID, from ident.HostID, round uint8) *brokeredRequest {
	x := h.requests[requestKey{id: id, round: round / (hubRounds + 1)}]
	if x == nil || round == 0 || x.pending[from] != round {
		return nil
	}
	return x
}

func (h *hub) recordSpare(org ident.Organisation, host ident.HostID, s spareReport) {
	m := h.spare[org]
	if m == nil {
		m = map[ident.HostID]spareReport{}
		h.spare[org] = m
	}
	m[host] = s
}

// finishSearch reports the result: always to another hub, to a borrower only when
// its need is not covered, since it sees the loans.
func (l *Limiter) finishSearch(x *brokeredRequest, res *Result) {
	x.done = true
	if x.msg.Step == ToHub && x.need <= 0 {
		return
	}
	if x.from == l.cfg.Self.Host {
		if br := l.borrows[x.msg.ID]; br != nil {
			l.searchEnded(br, x.granted, res)
		}
		return
	}
	res.send(x.from, Message{Report: &Report{
		Borrow:       x.msg.ID,
		Organisation: x.msg.Organisation,
		Round:        x.msg.Round,
		Granted:      int64(x.granted),
		Spare:        int64(l.domainSpare(x)),
	}})
}

// domainSpare estimates what the hosts of this domain could still lend.
func (l *Limiter) domainSpare(x *brokeredRequest) float64 {
	b := l.orgs[x.msg.Organisation]
	if b == nil || b.policy != x.msg.Policy {
		return 0
	}
	sum := l.lendable(b)
	for _, c := range l.candidates(&brokeredRequest{asked: map[ident.HostID]bool{l.cfg.Self.Host: true}}, l.peers, b, 1) {
		sum += c.tokens
	}
	return sum
}

// tickHub stops waiting for hosts that do not answer and deletes requests whose end has
// passed. Until then, finished requests are kept, so that duplicates are recognised.
func (l *Limiter) tickHub(res *Result) {
	now := l.slot.now
	for len(l.hub.queue) > 0 && !now.Before(l.hub.queue[0].end) {
		delete(l.hub.requests, l.hub.queue[0].msg.key())
		l.hub.queue[0] = nil
		l.hub.queue = l.hub.queue[1:]
	}
	for _, x := range l.hub.queue {
		if !x.done && !now.Before(x.roundDeadline) {
			clear(x.pending)
			l.continueSearch(x, res)
		}
	}
}

// dropAbsent deletes what is known about hosts that left and organisations that
// no longer have a policy.
func (h *hub) dropAbsent(l *Limiter) {
	live := map[ident.HostID]bool{}
	for _, p := range l.peers {
		live[p] = true
	}
	for _, r := range l.remotes {
		for _, p := range r.hosts {
			live[p] = true
		}
	}
	for org, m := range h.spare {
		if l.orgs[org] == nil {
			delete(h.spare, org)
			continue
		}
		for host := range m {
			if !live[host] {
				delete(m, host)
			}
		}
	}
}
