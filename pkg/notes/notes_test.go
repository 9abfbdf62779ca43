package notes_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/notes"
)

func TestNotes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Notes")
}

const (
	interval  = time.Second
	perSecond = 10.0
)

var _ = Describe("notes between hosts", func() {
	var (
		start    = time.Unix(1000, 0)
		sender   *notes.Carrier
		receiver *notes.Carrier
	)
	BeforeEach(func() {
		sender, receiver = notes.New(notes.DefaultConfig()), notes.New(notes.DefaultConfig())
	})
	put := func(now time.Time, kind notes.Kind, key string, body any) {
		GinkgoHelper()
		Expect(sender.Put(now, kind, key, body)).To(Succeed())
	}
	take := func(now time.Time) []notes.Note { return sender.Take(now, interval, perSecond) }

	// Guards against a note that is lost with one datagram, and one that is applied twice.
	It("repeats a note and delivers it once", func() {
		put(start, notes.Speed, "s1", 7)
		first, second := take(start), take(start.Add(interval))
		Expect(second).To(HaveLen(1))
		for _, datagram := range [][]notes.Note{second, first} {
			receiver.Apply(start.Add(interval), "a", datagram)
		}
		Expect(receiver.Apply(start.Add(interval), "a", second)).To(BeEmpty())
		Expect(take(start.Add(3 * interval))).To(BeEmpty())
	})

	// Guards against an overtaken datagram that replaces a newer value.
	It("does not deliver an older version after a newer one", func() {
		put(start, notes.Speed, "s1", 1)
		old := take(start)
		put(start, notes.Speed, "s1", 2)
		Expect(receiver.Apply(start, "a", take(start))).To(HaveLen(1))
		Expect(receiver.Apply(start, "a", old)).To(BeEmpty())
	})

	// Guards against a restarted sender whose versions start anew and are all taken for old.
	It("delivers the notes of a sender that has started again once it is forgotten", func() {
		put(start, notes.Speed, "s1", 1)
		datagram := take(start)
		receiver.Apply(start, "a", datagram)
		receiver.Forget("a")
		Expect(receiver.Apply(start, "a", datagram)).To(HaveLen(1))
	})

	// Guards against notes that occupy the link of a host of a large fleet.
	It("sends no more bytes than its bound, urgent kinds and new notes first", func() {
		for i := range 1000 {
			put(start, notes.Speed, fmt.Sprint("server-", i), strings.Repeat("x", 100))
		}
		put(start, notes.Leaving, "server-1", 0)
		sent := map[string]bool{}
		for range 5 {
			datagram := take(start)
			size := 0
			for _, n := range datagram {
				size += len(n.Key) + len(n.Body)
				sent[n.Key] = true
			}
			Expect(size).To(BeNumerically("<=", notes.DefaultConfig().BytesPerSecond/perSecond))
			Expect(datagram[0].Kind).To(Equal(notes.Leaving))
		}
		Expect(len(sent)).To(BeNumerically(">", 70), "notes that were not sent yet go before repeats")
	})

	// Guards against values that hold for ever after their sender has died.
	It("drops notes that are too old, of an unknown kind or too long", func() {
		for _, n := range []notes.Note{
			{Kind: notes.Unreachable, Key: "s", Version: 1, AgeMS: 2001},
			{Kind: notes.Unreachable, Key: "s", Version: 1, AgeMS: 1e13}, // overflows a time.Duration
			{Kind: 200, Key: "s", Version: 1},
			{Kind: notes.Unreachable, Key: strings.Repeat("k", 300), Version: 1},
			{Kind: notes.Unreachable, Key: "s", Version: 1, Body: make([]byte, 5000)},
		} {
			Expect(receiver.Apply(start, "a", []notes.Note{n})).To(BeEmpty())
		}
	})

	// Guards against memory that grows with hosts and keys that are gone.
	It("forgets versions after their lifetime", func() {
		put(start, notes.Unreachable, "s", 0)
		datagram := take(start)
		receiver.Apply(start, "a", datagram)
		receiver.Expire(start.Add(5 * time.Second))
		Expect(receiver.Apply(start, ident.HostID("a"), datagram)).To(HaveLen(1))
	})
})
