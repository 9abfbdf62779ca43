package driver

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

func TestDriver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "driver")
}

// countingEngine counts the calls that reach it and streams fixed chunks.
type countingEngine struct {
	calls  int
	chunks []engine.Chunk
	err    error
}

func (e *countingEngine) Prefill(context.Context, engine.PrefillRequest) (engine.PrefillResult, error) {
	e.calls++
	return engine.PrefillResult{}, e.err
}

func (e *countingEngine) Import(_ context.Context, r engine.ImportRequest) (engine.ImportResult, error) {
	e.calls++
	return engine.ImportResult{Checksum: r.Checksum + 1}, e.err
}

func (e *countingEngine) Decode(_ context.Context, _ engine.DecodeRequest, emit func(engine.Chunk) error) error {
	e.calls++
	for _, c := range e.chunks {
		if err := emit(c); err != nil {
			return err
		}
	}
	return e.err
}

func (e *countingEngine) Cancel(context.Context, ident.BackendRef) error {
	e.calls++
	return nil
}

func (e *countingEngine) Report(context.Context) (engine.Report, error) {
	return engine.Report{}, nil
}

func (e *countingEngine) Events(context.Context, uint64) ([]engine.CacheEvent, error) {
	return nil, nil
}

func (e *countingEngine) Order(context.Context, engine.Order) error {
	e.calls++
	return e.err
}

// oneEngine returns the same engine for every address.
type oneEngine struct{ *countingEngine }

func (b oneEngine) Engine(string) engine.Engine { return b.countingEngine }

func (b oneEngine) Forward(context.Context, string, ident.BackendRef, *ServiceRequest) (*Response, error) {
	b.calls++
	return nil, b.err
}

// newDriver returns a driver whose event loop does not run: its events stay in the
// channel, from which the test reads them.
func newDriver(e *countingEngine) (*Driver, *Call) {
	self := ident.Process{Host: "h", Incarnation: 1}
	d := New(DefaultConfig(node.DefaultConfig(self, "h:1", "d", 0)), zap.NewNop(), nil, oneEngine{e}, nil)
	d.ctx = context.Background()
	c := d.newCall()
	c.completion = &Completion{Prompt: "p"}
	c.service = &ServiceRequest{}
	return d, c
}

func (c *Call) ref() ident.BackendRef { return ident.BackendRef{Request: c.id, Attempt: 1} }

var _ = Describe("An effect whose deadline has passed", func() {
	past := time.Now().Add(-time.Second)

	DescribeTable("is not executed by a process that was paused",
		func(act func(d *Driver, c *Call)) {
			e := &countingEngine{}
			d, c := newDriver(e)
			act(d, c)
			Expect(e.calls).To(BeZero())
			var failed *node.CallError
			switch ev := (<-d.events).(type) {
			case node.PrefillEnded:
				failed = ev.Err
			case node.ImportEnded:
				failed = ev.Err
			case node.DecodeEnded:
				failed = ev.Err
			case node.ServiceEnded:
				failed = ev.Err
			case node.OrderEnded:
				failed = ev.Err
			}
			Expect(failed).NotTo(BeNil())
			Expect(failed.NotRun).To(BeTrue(), "nothing was sent")
		},
		Entry("prefill", func(d *Driver, c *Call) { d.prefill(node.Prefill{Ref: c.ref(), Deadline: past}) }),
		Entry("import", func(d *Driver, c *Call) { d.importKV(node.Import{Ref: c.ref(), Deadline: past}) }),
		Entry("decode", func(d *Driver, c *Call) { d.decode(node.Decode{Ref: c.ref(), Deadline: past}) }),
		Entry("service call", func(d *Driver, c *Call) { d.callService(node.CallService{Ref: c.ref(), Deadline: past}) }),
		Entry("order", func(d *Driver, _ *Call) { d.order(node.SendOrder{Deadline: past}) }),
	)
})

var _ = Describe("A stream", func() {
	decode := func(chunks ...engine.Chunk) (*Call, node.DecodeEnded) {
		GinkgoHelper()
		d, c := newDriver(&countingEngine{chunks: chunks})
		d.decode(node.Decode{Ref: c.ref(), Deadline: time.Now().Add(time.Minute)})
		for {
			if ended, ok := (<-d.events).(node.DecodeEnded); ok {
				return c, ended
			}
		}
	}

	It("delivers no token twice when chunks overlap", func() {
		c, ended := decode(
			engine.Chunk{Offset: 0, Tokens: []string{"a ", "b "}},
			engine.Chunk{Offset: 1, Tokens: []string{"b ", "c "}, Done: true},
		)
		Expect(ended.Err).To(BeNil())
		Expect(ended.Delivered).To(Equal(3))
		Expect(c.outputUntil(3)).To(Equal("a b c "))
	})

	It("ends with an error when tokens are missing", func() {
		_, ended := decode(
			engine.Chunk{Offset: 0, Tokens: []string{"a "}},
			engine.Chunk{Offset: 2, Tokens: []string{"c "}, Done: true},
		)
		Expect(ended.Err).NotTo(BeNil())
		Expect(ended.Delivered).To(Equal(1))
	})
})

var _ = Describe("A KV cache", func() {
	It("is not used for decoding when its checksum differs after the import", func() {
		d, c := newDriver(&countingEngine{})
		d.importKV(node.Import{Ref: c.ref(), Checksum: 7, Deadline: time.Now().Add(time.Minute)})
		ended := (<-d.events).(node.ImportEnded)
		Expect(ended.Err).NotTo(BeNil())
		Expect(ended.Err.Reason).To(ContainSubstring("checksum"))
		Expect(ended.Err.NotRun).To(BeFalse())
	})
})

var _ = Describe("A call", func() {
	It("ignores every result after the first", func() {
		_, c := newDriver(&countingEngine{})
		c.setEnd(End{Complete: true})
		c.setEnd(End{Refusal: &node.Refuse{}})
		Expect(c.End().Complete).To(BeTrue())
		Expect(c.End().Refusal).To(BeNil())
	})

	It("cancels its attempt contexts when it ends, since the parent context outlives it", func() {
		d, c := newDriver(&countingEngine{})
		ctx := c.attemptContext(d.ctx, 1)
		Expect(ctx.Err()).NotTo(HaveOccurred())
		d.end(c.id, End{Complete: true})
		Expect(ctx.Err()).To(HaveOccurred())
	})

	It("reports NotRun only when the backend server certainly did not start", func() {
		notRun := &engine.Error{Step: "prefill", Code: engine.CodeConnect, NotRun: true}
		Expect(callError(stepPrefill, notRun).NotRun).To(BeTrue())
		Expect(callError(stepPrefill, errors.Join(notRun)).NotRun).To(BeTrue())
		Expect(callError(stepPrefill, &engine.Error{Code: engine.CodeConnectionLost}).NotRun).To(BeFalse())
		Expect(callError(stepPrefill, errors.New("other")).NotRun).To(BeFalse())
		Expect(callError(stepPrefill, nil)).To(BeNil())
	})
})

var _ = Describe("An outbox", func() {
	It("drops messages beyond its limit, so that an unreachable peer uses bounded memory", func() {
		d, _ := newDriver(&countingEngine{})
		d.cfg.PeerQueue = 3
		box := &outbox{queue: make(chan node.Send, d.cfg.PeerQueue)}
		d.outboxes["b"] = box
		for range 10 {
			d.enqueue(node.Send{To: "b", Message: node.Message{HostList: &hostlist.Message{}}})
		}
		Expect(box.queue).To(HaveLen(3))
		Expect(box.dropped.Load()).To(Equal(uint64(7)))
	})
})
