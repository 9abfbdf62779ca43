package origin

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a wait that does not end, and against ticks for waits that have ended.
var _ = Describe("timeouts", func() {
	at := func(s int64) time.Time { return time.Unix(1000+s, 0) }

	It("come due in their order, each once", func() {
		var t timeouts
		t.add(at(1), 1)
		t.add(at(1), 2)
		t.add(at(2), 3)
		_, due := t.due(at(0))
		Expect(due).To(BeFalse())
		for want := range uint64(2) {
			id, due := t.due(at(1))
			Expect(due).To(BeTrue())
			Expect(id).To(Equal(want + 1))
		}
		_, due = t.due(at(1))
		Expect(due).To(BeFalse())
	})

	It("skip those that nobody waits for", func() {
		var t timeouts
		t.add(at(1), 1)
		t.add(at(2), 2)
		Expect(t.next(func(id uint64) bool { return id == 2 })).To(Equal(at(2)))
		Expect(t.next(func(uint64) bool { return false })).To(BeZero())
		Expect(t.queue).To(BeEmpty())
	})
})
