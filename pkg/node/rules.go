package node

import (
	"bytes"
	"fmt"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/limits"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

// readerTimeout is how long a host counts as a configuration reader after its last
// read. A reader renews its watch of 1.5 s at once and so remains one; a host that
// reads only once, for example at its start, soon no longer counts.
const readerTimeout = 5 * time.Second

// hostsRetryDelay is the delay after a failed read of the host list.
const hostsRetryDelay = time.Second

func (n *Node) configRead(e ConfigRead) {
	if e.Outcome.Err == nil {
		n.recordPlatformContact()
	}
	n.applyConfigSync(n.configSync.ReadDone(n.now, e.Outcome))
}

func (n *Node) applyConfigSync(r confsync.Result) {
	for _, e := range r.Envelopes {
		n.send(e.To, Message{Config: &e.Message})
	}
	for _, a := range r.Alarms {
		n.alarm("confsync", fmt.Sprintf("%s generation, revision %d: %s", a.Kind, a.Revision, a.Text))
	}
	if r.Accepted != nil {
		n.setRules(*r.Accepted)
	}
	if r.Read != nil {
		n.lastConfigRead = n.now
		n.emit(ReadConfig{Read: *r.Read})
	}
}

// parsedRules caches the rules that were parsed last, so that a generation is parsed
// once for its validation and its use: parsing a large one takes milliseconds.
type parsedRules struct {
	text  []byte
	rules *ruleset.Rules
}

// validate returns an error if a text is not valid as rules.
func (p *parsedRules) validate(text []byte) error {
	_, err := p.parse(text)
	return err
}

func (p *parsedRules) parse(text []byte) (*ruleset.Rules, error) {
	if p.rules != nil && bytes.Equal(p.text, text) {
		return p.rules, nil
	}
	rules, err := ruleset.Parse(text)
	if err != nil {
		return nil, err
	}
	p.text, p.rules = text, rules
	return rules, nil
}

// setRules puts a generation in force and applies it to the active requests.
func (n *Node) setRules(g confsync.Generation) {
	rules, err := n.parsed.parse(g.Text)
	if err != nil {
		n.alarm("ruleset", fmt.Sprintf("revision %d does not parse: %v", g.Revision, err))
		return
	}
	n.rules = rules
	n.revision = g.Revision
	n.emit(RulesInForce{Rules: rules, Revision: g.Revision})
	n.applyLimits(n.limits.SetPolicies(n.now, n.slotShare(), policies(rules)))
	n.applyPlacement(n.placer.SetRecall(n.now, placementRecall(rules)))
	n.refreshView()
	n.applyRulesToRequests()
	n.updateReady()
}

// slotShare is this host's share of every rate limit: one of all slots in the rules.
// A host whose slot is not in the rules mints no tokens.
func (n *Node) slotShare() float64 {
	for _, d := range n.rules.Domains() {
		if d.Name == n.cfg.Domain && int(n.cfg.Slot) < d.Slots {
			return 1 / float64(n.rules.SlotCount())
		}
	}
	return 0
}

func policies(rules *ruleset.Rules) map[ident.Organisation]limits.Policy {
	out := map[ident.Organisation]limits.Policy{}
	for _, o := range rules.Organisations() {
		out[o.Name] = limits.Policy{Rate: float64(o.Rate), Burst: float64(o.Burst)}
	}
	return out
}

func placementRecall(rules *ruleset.Rules) placement.Recall {
	var out placement.Recall
	for _, r := range rules.Recalls() {
		switch r.Kind {
		case ruleset.RecallVersion:
			out.Versions = append(out.Versions, placement.ModelVersion{Model: r.Model, Version: r.Version})
		case ruleset.RecallAdapter:
			out.Adapters = append(out.Adapters, r.Adapter)
		case ruleset.RecallEngines:
			out.Groups = append(out.Groups, r.Group)
		}
	}
	return out
}

// applyRulesToRequests ends requests whose key has been withdrawn, refuses waiting
// ones that are no longer allowed, and stops work on recalled engines.
func (n *Node) applyRulesToRequests() {
	for _, r := range n.sortedRequests() {
		switch {
		case r.key != "" && !n.keyInForce(r.key, r.org):
			n.terminate(r, CodeKeyWithdrawn, "the key was withdrawn")
		case r.phase.waiting() && r.call == nil && !n.rules.Allowed(r.org, r.model):
			n.terminate(r, CodeNotAllowed, "the organisation may no longer use the model")
		case r.booked && n.bookingRecalled(r):
			n.recall(r)
		case r.phase == booking && len(n.versions(r.model)) == 0:
			n.terminate(r, CodeRecalled, "all versions of the model are recalled")
		}
	}
}

func (n *Node) keyInForce(id ident.KeyID, org ident.Organisation) bool {
	k, ok := n.rules.Key(id)
	return ok && k.Organisation == org
}

func (n *Node) bookingRecalled(r *request) bool {
	p, d := r.booking.Prefill, r.booking.Decode
	return n.rules.Recalled(r.model, p.Version, r.adapter, p.Group) ||
		n.rules.Recalled(r.model, d.Version, r.adapter, d.Group)
}

// versions returns the versions of a model that are allowed and not recalled,
// preferred first.
func (n *Node) versions(model ident.Model) []ident.Version {
	m, ok := n.rules.Model(model)
	if !ok {
		return nil
	}
	var out []ident.Version
	for _, v := range m.Versions {
		if !n.rules.Recalled(model, v, "", "") {
			out = append(out, v)
		}
	}
	return out
}

// stale reports whether requests with a key must be refused because the
// configuration is older than the rules permit.
func (n *Node) stale() bool {
	s := n.rules.Stale()
	return s.Refuse && n.configSync.Age(n.now) > s.After
}
