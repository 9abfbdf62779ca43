package placement_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

// BenchmarkWire measures the encoding of one request's messages between client and
// owner, and reports their size.
func BenchmarkWire(b *testing.B) {
	p := ident.Process{Host: "teku-0", Incarnation: 1_796_000_000_000}
	ref := ident.BackendRef{Request: ident.NewRequestID(p, 1_000_000), Attempt: 1}
	var prefix []uint64
	for i := range uint64(6) {
		prefix = append(prefix, 1<<63+i)
	}
	messages := []placement.Message{
		{Book: &placement.Book{Pool: placement.Pool{Model: model, Domain: teku}, Round: 1, Ref: ref,
			Organisation: "organisation", Weight: 0.35, PromptTokens: 6000, MaxTokens: 1000, Prefix: prefix, Budget: 950_000_000}},
		{Queued: &placement.Queued{Ref: ref, Round: 1}},
		{Booked: &placement.Booked{Ref: ref, Round: 1, Prefill: "teku-prefill-0", Decode: "teku-decode-0", Version: "v1"}},
		{Prefill: &placement.Prefilled{Ref: ref}},
		{Release: &placement.Release{Ref: ref, Round: 1, Output: 300}},
	}
	var bytes int
	for b.Loop() {
		bytes = 0
		for _, m := range messages {
			data, err := cbor.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(data)
		}
	}
	b.ReportMetric(float64(bytes), "B/request")
}
