package origin_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/origin"
)

// Guards against a stream that goes on at the version of an entry that lagged behind a
// restart of its server.
var _ = Describe("streams of a server that starts again", func() {
	old, other := serving("s1", 1, "v1"), serving("s2", 1, "v2")
	var t *origin.Tracker

	begin := func(s float64, id string) { t.Begin(at(s), stream(id), old.Process, "v1") }
	version := func(s float64, id string) any {
		o, pending := t.Resolve(at(s), stream(id))
		Expect(pending).To(BeFalse())
		return string(o.Version)
	}
	BeforeEach(func() { t = settled(old, other) })

	It("are unknown if they began within EntryLag before it had another version", func() {
		begin(0, "before")
		begin(1, "within")
		t.Changed(at(5), serving("s1", 2, "v2"))
		begin(6, "after")
		Expect(version(6, "before")).To(Equal("v1"))
		Expect(version(6, "within")).To(BeEmpty())
		Expect(version(6, "after")).To(BeEmpty())
	})

	It("are unknown if only the version has changed", func() {
		begin(1, "within")
		t.Changed(at(5), serving("s1", 1, "v2"))
		Expect(version(6, "within")).To(BeEmpty())
	})

	It("are known if the version has not changed", func() {
		begin(1, "within")
		t.Changed(at(5), serving("s1", 2, "v1"))
		Expect(version(6, "within")).To(Equal("v1"))
	})

	It("are unknown if it may have had another version while this host was cut off", func() {
		t.Confirmed(start, start)
		begin(1, "within")
		t.Changed(at(5), serving("s1", 2, "v1"))
		Expect(version(6, "within")).To(BeEmpty())
	})

	It("are unknown if a restored store lists the earlier process again", func() {
		t = settled(serving("s1", 2, "v2"), other)
		t.Changed(at(5), old)
		begin(6, "r")
		Expect(version(6, "r")).To(BeEmpty())
	})

	It("are unknown if its entry expired before", func() {
		begin(0, "before")
		begin(1, "within")
		t.Removed(at(5), "s1")
		Expect(version(6, "within")).To(Equal("v1"))
		t.Changed(at(12), serving("s1", 2, "v2"))
		Expect(version(13, "before")).To(Equal("v1"))
		Expect(version(13, "within")).To(BeEmpty())
	})

	It("are unknown since EntryLag before the list was last known to be current", func() {
		t.Confirmed(start, start)
		begin(-4.001, "before")
		begin(-4, "within")
		t.Changed(at(8), serving("s1", 2, "v2"))
		Expect(version(9, "before")).To(Equal("v1"))
		Expect(version(9, "within")).To(BeEmpty())
	})

	note := func(s float64, id string, age time.Duration) {
		t.Receive(at(s), "h1", origin.Message{Notes: []origin.Note{{
			ID: 1, RequestID: id, Service: service, Backend: "s1", StartedAt: 1, Version: "v1", AgeMS: age.Milliseconds(),
		}}})
	}

	It("are unknown if another host tells of them later", func() {
		t.Changed(at(5), serving("s1", 2, "v2"))
		note(6, "before", 6*time.Second)
		note(6, "within", time.Second)
		Expect(version(6, "before")).To(Equal("v1"))
		Expect(version(6, "within")).To(BeEmpty())
	})

	It("are unknown if another host tells of a process that this one has never seen", func() {
		t = settled(serving("s1", 2, "v2"), other)
		note(6, "r", 5*time.Second)
		Expect(version(6, "r")).To(BeEmpty())
	})

	It("are unknown if this host has seen neither the process nor what followed it", func() {
		t = settled(serving("s1", 3, "v1"), other)
		note(6, "r", 5*time.Second)
		Expect(version(6, "r")).To(BeEmpty())
	})

	It("are unknown if a history shows the restart", func() {
		t = settled(serving("s1", 2, "v2"), other)
		t.Past(start, 10*time.Second, []origin.Serving{old})
		note(6, "r", 5*time.Second)
		Expect(version(6, "r")).To(BeEmpty())
	})

	It("are known if another host has seen the later process first", func() {
		t = settled(serving("s1", 0, "v0"), other)
		note(6, "r", 5*time.Second)
		Expect(version(6, "r")).To(Equal("v1"))
	})
})
