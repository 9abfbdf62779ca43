package origin_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/origin"
)

// benchmarkStreams returns streams with request ids of the usual length.
func benchmarkStreams(n int) []origin.Stream {
	out := make([]origin.Stream, n)
	for i := range out {
		out[i] = stream(uuid.New().String())
	}
	return out
}

// BenchmarkBegin measures the record of a stream at the host that relays it. With two
// versions it includes the notes and the first acknowledgement.
func BenchmarkBegin(b *testing.B) {
	streams := benchmarkStreams(1 << 16)
	v1, v2 := serving("s1", 1, "v1"), serving("s2", 1, "v2")
	b.Run("one version", func(b *testing.B) {
		t := settled(v1)
		t.SetPeers(start, peers(1700, domains(19)...))
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			t.Begin(start.Add(time.Duration(i)*time.Millisecond), streams[i%len(streams)], v1.Process, "v1")
			i++
		}
	})
	for _, hosts := range []int{8, 195, 1700} {
		b.Run(fmt.Sprintf("two versions, %d hosts", hosts), func(b *testing.B) {
			t := settled(v1, v2)
			t.SetPeers(start, peers(hosts, domains(min(hosts, 19))...))
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now := start.Add(time.Duration(i) * time.Millisecond)
				t.Begin(now, streams[i%len(streams)], v1.Process, "v1")
				m := t.Take().Messages[0]
				t.Receive(now, m.To, origin.Message{Acks: []uint64{m.Message.Notes[0].ID}})
				t.Take()
				i++
			}
		})
	}
}

func domains(n int) []ident.FailureDomain {
	var out []ident.FailureDomain
	for i := range n {
		out = append(out, ident.FailureDomain(fmt.Sprint("d", i)))
	}
	return out
}

// BenchmarkMessages reports the sizes of the messages as hosts encode them.
func BenchmarkMessages(b *testing.B) {
	s := origin.Stream{RequestID: "22156001813d17cc", Service: "mulberry-lm"}
	note := origin.Note{ID: uint64(time.Now().UnixNano()), RequestID: s.RequestID, Service: s.Service,
		Backend: "i-1e8792cfc7", StartedAt: time.Now().UnixMilli(), Version: "v1.2", AgeMS: 1200}
	batch := make([]origin.Note, 80)
	for i := range batch {
		batch[i] = note
		batch[i].ID = 0
	}
	for _, c := range []struct {
		name string
		m    origin.Message
	}{
		{"note", origin.Message{Notes: []origin.Note{note}}},
		{"ack", origin.Message{Acks: []uint64{note.ID}}},
		{"ask", origin.Message{Asks: []origin.Ask{{ID: note.ID, RequestID: s.RequestID, Service: s.Service}}}},
		{"answer", origin.Message{Answers: []origin.Answer{{ID: note.ID, Basis: origin.Told, Backend: note.Backend,
			StartedAt: note.StartedAt, Version: note.Version, AgeMS: note.AgeMS}}}},
		{"80 notes", origin.Message{Notes: batch}},
	} {
		b.Run(c.name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := cbor.Marshal(c.m)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}

// BenchmarkBookMemory reports the memory of a full book of notes that were received.
func BenchmarkBookMemory(b *testing.B) {
	cfg := origin.DefaultConfig("h0", "a")
	var messages [][]byte
	for i := range cfg.Capacity {
		data, err := cbor.Marshal(origin.Message{Notes: []origin.Note{{RequestID: fmt.Sprintf("%016x", i), Service: "mulberry-lm",
			Backend: "i-1e8792cfc7", StartedAt: 1780000000000, Version: "v1.2"}}})
		if err != nil {
			b.Fatal(err)
		}
		messages = append(messages, data)
	}
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := settled()
		for _, data := range messages {
			var m origin.Message
			if err := cbor.Unmarshal(data, &m); err != nil {
				b.Fatal(err)
			}
			t.Receive(start, "h1", m)
		}
		t.Take()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(cfg.Capacity), "B/record")
		runtime.KeepAlive(t)
	}
}
