package origin_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/origin"
)

// Guards against taking a version for the only one while another one can have begun a
// stream.
var _ = Describe("the only version of a service", func() {
	s1, s2, s3 := serving("s1", 1, "v1"), serving("s2", 1, "v2"), serving("s3", 1, "v1")
	var t *origin.Tracker

	sole := func(s float64) ident.Version {
		v, ok := t.Sole(at(s), service)
		if !ok {
			return "none"
		}
		return v
	}
	fresh := func() { t = origin.New(origin.DefaultConfig("h0", "a"), start) }

	It("is known once the list has been followed for Life and Linger", func() {
		fresh()
		Expect(sole(0)).To(BeEquivalentTo("none"))
		t.Listed(start, []origin.Serving{s1})
		Expect(sole(19.999)).To(BeEquivalentTo("none"))
		Expect(sole(20)).To(BeEquivalentTo("v1"))
	})

	It("is known at once from a history of Life and Linger", func() {
		fresh()
		Expect(t.NeedsHistory(start, service)).To(BeFalse(), "without a list")
		t.Listed(start, []origin.Serving{s1})
		Expect(t.NeedsHistory(start, service)).To(BeTrue())
		t.Past(start, 20*time.Second, []origin.Serving{s1, s3})
		Expect(t.NeedsHistory(start, service)).To(BeFalse())
		Expect(sole(0)).To(BeEquivalentTo("v1"))
	})

	It("is known later from a shorter history, which is not read again", func() {
		fresh()
		t.Listed(start, []origin.Serving{s1})
		t.Past(start, 12*time.Second, []origin.Serving{s1})
		Expect(t.NeedsHistory(start, service)).To(BeFalse())
		Expect(sole(7.999)).To(BeEquivalentTo("none"))
		Expect(sole(8)).To(BeEquivalentTo("v1"))
	})

	It("is unknown while a history shows a version that has left", func() {
		fresh()
		t.Listed(start, []origin.Serving{s1})
		t.Past(at(1), 20*time.Second, []origin.Serving{s1, s2})
		Expect(sole(20)).To(BeEquivalentTo("none"))
		Expect(sole(20.001)).To(BeEquivalentTo("v1"))
	})

	It("is unknown from the arrival of another version until its last server has left for Life and Linger", func() {
		t = settled(s1)
		Expect(sole(0)).To(BeEquivalentTo("v1"))
		t.Changed(at(1), s2)
		t.Changed(at(2), serving("s4", 1, "v2"))
		t.Removed(at(3), "s2")
		Expect(sole(30)).To(BeEquivalentTo("none"))
		t.Removed(at(40), "s4")
		t.Tick(at(55))
		Expect(sole(60)).To(BeEquivalentTo("none"))
		Expect(sole(60.001)).To(BeEquivalentTo("v1"))
	})

	It("is unknown after a server has started again with another version", func() {
		t = settled(s1)
		t.Changed(at(1), serving("s1", 2, "v2"))
		Expect(sole(21)).To(BeEquivalentTo("none"))
		Expect(sole(21.001)).To(BeEquivalentTo("v2"))
	})

	It("remains known when servers of the version come and go", func() {
		t = settled(s1)
		t.Changed(at(1), s3)
		t.Removed(at(2), "s1")
		t.Changed(at(3), serving("s3", 2, "v1"))
		Expect(sole(3)).To(BeEquivalentTo("v1"))
	})

	It("may be that no server has a version", func() {
		t = settled(serving("s1", 1, ""))
		Expect(sole(0)).To(BeEquivalentTo(""))
		t.Changed(at(1), s2)
		Expect(sole(1)).To(BeEquivalentTo("none"))
	})

	It("does not depend on other services", func() {
		other := s2
		other.Service = "other"
		t = settled(s1, other)
		Expect(sole(0)).To(BeEquivalentTo("v1"))
	})

	It("is unknown again after a gap in which a version may have come and gone", func() {
		t = settled(s1)
		t.Changed(at(1), s3)
		t.Listed(at(3), []origin.Serving{s1})
		Expect(sole(3)).To(BeEquivalentTo("v1"), "shorter than any entry is listed")
		t.Listed(at(8), []origin.Serving{s1})
		Expect(sole(27)).To(BeEquivalentTo("none"))
		Expect(t.NeedsHistory(at(27), service)).To(BeTrue())
		Expect(sole(28)).To(BeEquivalentTo("v1"))
	})

	It("counts servers that vanished in a gap as removed after it", func() {
		t = settled(s1, s2)
		t.Listed(at(8), []origin.Serving{s1})
		t.Past(at(8), 20*time.Second, []origin.Serving{s1, s2})
		Expect(sole(28)).To(BeEquivalentTo("none"))
		Expect(sole(28.001)).To(BeEquivalentTo("v1"))
	})

	It("is unknown while a view that is usually confirmed is not", func() {
		t = settled(s1)
		t.Confirmed(at(1), at(0.5))
		Expect(sole(3.5)).To(BeEquivalentTo("v1"))
		Expect(sole(3.501)).To(BeEquivalentTo("none"))
		Expect(t.NeedsHistory(at(4), service)).To(BeFalse(), "a history is of no use")
		t.Confirmed(at(4), at(3.9))
		Expect(sole(4)).To(BeEquivalentTo("v1"))
	})
})
