package backends_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
	"github.com/mulberrystream/mulberrystream/pkg/serverspeed"
)

var _ = Describe("servers of different speed", func() {
	now := time.Unix(1000, 0)
	// directory has eight servers of a stage, of which s0 takes the given factor on times.
	directory := func(stage backends.Stage, k serverspeed.Kind, factor float64) *backends.Directory {
		d := backends.NewDirectory(backends.DefaultConfig("a"))
		for i := range 8 {
			d.Put(backends.Entry{ID: ident.BackendID(fmt.Sprint("s", i)), Service: "x", Stage: stage, Slots: 4, StartedAt: 1, Domain: "a"})
		}
		for i := range 160 {
			seconds := 0.02
			if i%8 == 0 {
				seconds *= factor
			}
			p := serverlimit.Process{ID: ident.BackendID(fmt.Sprint("s", i%8)), StartedAt: 1}
			d.Speeds().Record(now, p, serverspeed.Class{Kind: k, Name: "x"}, seconds)
		}
		return d
	}
	stream := func(expected time.Duration) backends.Query {
		return backends.Query{
			Service: "x", Stage: backends.Decode, MemoryPerServer: 10_000, SlotsPerServer: 64,
			Need: backends.Load{Requests: 1, Memory: 1000}, Expected: expected, TimeLeft: 14 * time.Second,
		}
	}
	load := func(d *backends.Directory, except string, l backends.Load) {
		for i := range 8 {
			if id := ident.BackendID(fmt.Sprint("s", i)); string(id) != except {
				d.Begin(id, l)
			}
		}
	}

	// Guards against a long stream at a slow engine, which ends at its deadline, and against slow
	// engines that stand idle.
	It("get short streams where memory is free, and long ones only if they are fast", func() {
		d := directory(backends.Decode, serverspeed.Token, 2)
		load(d, "s0", backends.Load{Requests: 5, Memory: 5000})
		short, ok := d.PickDecode(now, stream(time.Second))
		Expect(ok).To(BeTrue())
		Expect(short.ID).To(Equal(ident.BackendID("s0")))
		long, ok := d.PickDecode(now, stream(9*time.Second))
		Expect(ok).To(BeTrue())
		Expect(long.ID).NotTo(Equal(ident.BackendID("s0")))
		only := stream(9 * time.Second)
		load(d, "s0", backends.Load{Memory: 4500})
		last, ok := d.PickDecode(now, only)
		Expect(ok).To(BeTrue(), "a slow engine is better than none")
		Expect(last.ID).To(Equal(ident.BackendID("s0")))
	})

	// Guards against plain servers that are chosen by free slots although each of them takes long.
	It("get plain calls by the expected wait", func() {
		d := directory(backends.Plain, serverspeed.Call, 3)
		query := backends.Query{Service: "x", Stage: backends.Plain}
		load(d, "s0", backends.Load{Requests: 4})
		to, _ := d.PickPlain(now, query)
		Expect(to.ID).NotTo(Equal(ident.BackendID("s0")), "one call there takes three, two take two elsewhere")
		load(d, "s0", backends.Load{Requests: 6})
		to, _ = d.PickPlain(now, query)
		Expect(to.ID).To(Equal(ident.BackendID("s0")))
	})

	// Guards against refusals on the word of a few engines.
	It("are known to be too slow only if all of them are known", func() {
		d := directory(backends.Decode, serverspeed.Token, 2)
		factor, supported := d.FastestDecode(now, stream(0))
		Expect(factor).To(Equal(1.0))
		Expect(supported).To(BeTrue())
		d.Put(backends.Entry{ID: "new", Service: "x", Stage: backends.Decode, StartedAt: 1})
		_, supported = d.FastestDecode(now, stream(0))
		Expect(supported).To(BeFalse())
	})
})
