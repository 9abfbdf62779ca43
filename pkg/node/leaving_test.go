package node_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// receiveHeartbeat delivers a heartbeat of a peer in slot 1.
func (s *session) receiveHeartbeat(peer ident.Process, sequence uint64, flags membership.Flags) {
	s.step(node.PeerMessage{From: peer.Host, Message: node.Message{Membership: &membership.Message{
		Heartbeat: &membership.Heartbeat{
			Incarnation: peer.Incarnation, Sequence: sequence, Domain: "d1", Slot: 1, Addr: "h1:1", Flags: flags,
		},
	}}})
}

var _ = Describe("A peer that leaves", func() {
	// Guards against a pool owner that cancels the running streams of a host which drains
	// and would still complete them.
	It("keeps the engine memory of its running requests", func() {
		s := newSession()
		s.quiet = true
		peer := ident.Process{Host: "h1", Incarnation: 5}
		s.receiveHeartbeat(peer, 1, membership.FlagReady)
		held := engine.HeldRequest{Ref: ident.BackendRef{Request: "h1@5#1", Attempt: 1}}
		report := engine.Report{
			ID: decode.ID, Sequence: 1, Start: 1, Role: decode.Role, Model: decode.Model, Version: decode.Version,
			Slots: decode.Slots, Running: 1, Held: []engine.HeldRequest{held},
		}
		s.step(node.EngineReported{Report: report})
		s.receiveHeartbeat(peer, 2, membership.FlagLeaving)
		for i := range uint64(10) {
			s.advance(200 * time.Millisecond)
			Expect(effects[node.CancelBackend](s)).To(BeEmpty())
			s.receiveHeartbeat(peer, 3+i, membership.FlagLeaving)
		}
	})
})
