package backends_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

var _ = Describe("a directory whose store was restored from an older copy", func() {
	var (
		d   *backends.Directory
		now time.Time
	)

	entry := func(id ident.BackendID, startedAt int64, draining bool) backends.Entry {
		return backends.Entry{ID: id, Service: "app", Addr: string(id), Domain: "a", Slots: 2, StartedAt: startedAt, Draining: draining}
	}
	used := func() []ident.BackendID {
		var ids []ident.BackendID
		for range 4 {
			t, ok := d.PickPlain(now, backends.Query{Service: "app", Exclude: ids})
			if ok {
				ids = append(ids, t.ID)
			}
		}
		return ids
	}

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		d = backends.NewDirectory(backends.DefaultConfig("a"))
		d.Put(entry("stays", 1, false))
		d.Put(entry("leaves", 1, true))
		d.Put(entry("left", 1, false))
		d.Depart(now, "left")
		now = now.Add(3 * time.Second)
		d.StoreRestored(now)
		d.PutListed(entry("stays", 1, false))
		d.PutListed(entry("leaves", 1, false))
		d.PutListed(entry("left", 1, false))
	})

	It("does not use a server that is leaving or has left", func() {
		Expect(used()).To(ConsistOf(ident.BackendID("stays")))
		d.PutListed(entry("left", 1, false))
		Expect(used()).To(ConsistOf(ident.BackendID("stays")), "a second list of the same copy")
	})

	// Guards against an entry of an earlier process, whose software may have had another
	// version, that is taken for that of the present one.
	It("tells entries of processes after which others have registered", func() {
		d.Put(entry("again", 5, false))
		Expect(d.Outdated(now, entry("again", 4, false))).To(BeTrue())
		Expect(d.Outdated(now, entry("again", 5, false))).To(BeFalse())
		Expect(d.Outdated(now, entry("again", 6, false))).To(BeFalse())
		Expect(d.Outdated(now, entry("left", 0, false))).To(BeTrue())
		Expect(d.Outdated(now, entry("unknown", 1, false))).To(BeFalse())
		Expect(d.Outdated(now.Add(time.Minute), entry("again", 4, false))).To(BeFalse())
	})

	It("uses a server again that registers in the new era", func() {
		d.Put(entry("left", 1, false))
		Expect(used()).To(ConsistOf(ident.BackendID("stays"), ident.BackendID("left")))
	})

	It("uses a new process of a server that has left", func() {
		d.PutListed(entry("left", 2, false))
		Expect(used()).To(ConsistOf(ident.BackendID("stays"), ident.BackendID("left")))
	})

	It("uses a server whose entry has outlived the time in which that of a dead one expires", func() {
		now = now.Add(5 * time.Second)
		Expect(used()).To(ConsistOf(ident.BackendID("stays"), ident.BackendID("leaves"), ident.BackendID("left")))
	})

	It("keeps using a server that the copy does not have yet, for as long as it may take to register again", func() {
		d.MarkUnconfirmed(now, "stays")
		Expect(used()).To(ConsistOf(ident.BackendID("stays")))
		now = now.Add(1900 * time.Millisecond)
		Expect(d.ExpireMissing(now)).To(BeEmpty())
		now = now.Add(200 * time.Millisecond)
		Expect(d.ExpireMissing(now)).To(ConsistOf(ident.BackendID("stays")))
	})
})
