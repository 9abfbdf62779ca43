package relay_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/quota"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/roster"
)

// FuzzMessage checks that no datagram stops a host, and that it goes on to admit requests.
func FuzzMessage(f *testing.F) {
	from := roster.Host{ID: "peer", Incarnation: 1, Addr: "peer", Domain: "a"}
	for _, m := range []relay.Message{
		{Heartbeat: roster.Heartbeat{From: from, Sequence: 1}, Used: map[ident.Organisation]int64{"org": 5}, Version: 1},
		{Heartbeat: roster.Heartbeat{From: from}, Relayed: []quota.RelayedUse{{Host: "peer", Incarnation: 1, Sequence: 2, Organisation: "org", Used: 7}}},
	} {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m relay.Message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		h := newHost().ready()
		h.step(relay.MessageReceived{Message: m})
		h.step(relay.MessageReceived{Message: m})
		h.wait(time.Second)
		h.platformRead()
		h.submit("/open/1", relay.RequestSpec{})
		if _, ok := find[relay.Call](h); !ok {
			t.Fatal("a request on an open route is not served")
		}
	})
}
