package eventstream_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/eventstream"
)

func TestEventstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "eventstream")
}

// drain reads until an error and returns all bytes.
func drain(r *eventstream.Reader) ([]byte, error) {
	var out []byte
	for {
		b, err := r.Next()
		out = append(out, b...)
		if err != nil {
			return out, err
		}
	}
}

var _ = Describe("a reader", func() {
	const two = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

	It("returns complete events unchanged, however the source splits them", func() {
		for _, src := range []io.Reader{
			strings.NewReader(two),
			iotest.OneByteReader(strings.NewReader(two)),
			iotest.HalfReader(strings.NewReader(two)),
			iotest.DataErrReader(strings.NewReader(two)),
		} {
			r := eventstream.NewReader(src)
			out, err := drain(r)
			Expect(err).To(MatchError(io.EOF))
			Expect(string(out)).To(Equal(two))
			Expect(r.LastID()).To(Equal("2"))
		}
	})

	It("drops the event in which the source fails, so that it can be resent", func() {
		src := io.MultiReader(strings.NewReader(two+"id: 3\ndata: c"), iotest.ErrReader(errors.New("reset")))
		r := eventstream.NewReader(src)
		out, err := drain(r)
		Expect(err).To(MatchError("reset"))
		Expect(string(out)).To(Equal(two))
		Expect(r.LastID()).To(Equal("2"))
	})

	It("returns what follows the last event at the end of the source", func() {
		out, err := drain(eventstream.NewReader(strings.NewReader(two + ": bye")))
		Expect(err).To(MatchError(io.EOF))
		Expect(string(out)).To(Equal(two + ": bye"))
	})

	It("reads events that end with carriage returns", func() {
		r := eventstream.NewReader(strings.NewReader("id: 1\r\ndata: a\r\n\r\nid: 2"))
		b, err := r.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b)).To(Equal("id: 1\r\ndata: a\r\n\r\n"))
		Expect(r.LastID()).To(Equal("1"))
	})

	It("fails on an event that does not end within MaxEvent", func() {
		_, err := drain(eventstream.NewReader(strings.NewReader(strings.Repeat("x", eventstream.MaxEvent+1))))
		Expect(err).To(MatchError(eventstream.ErrTooLarge))
	})
})

func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n"), 3)
	f.Add([]byte("\n\n\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		if len(data) > eventstream.MaxEvent/2 || cut < 0 || cut > len(data) {
			t.Skip()
		}
		src := io.MultiReader(bytes.NewReader(data[:cut]), bytes.NewReader(data[cut:]))
		out, err := drain(eventstream.NewReader(src))
		if err != io.EOF || !bytes.Equal(out, data) {
			t.Fatalf("read %q, %v of %q", out, err, data)
		}
	})
}

// BenchmarkReader compares the reader with a plain copy of the same bytes; the
// difference is the cost of relaying complete events.
func BenchmarkReader(b *testing.B) {
	data := bytes.Repeat([]byte("id: 17\ndata: "+strings.Repeat("x", 80)+"\n\n"), 1000)
	b.Run("events", func(b *testing.B) {
		b.SetBytes(int64(len(data)))
		for b.Loop() {
			r := eventstream.NewReader(bytes.NewReader(data))
			for err := error(nil); err == nil; {
				_, err = r.Next()
			}
		}
	})
	b.Run("copy", func(b *testing.B) {
		b.SetBytes(int64(len(data)))
		for b.Loop() {
			_, _ = io.Copy(io.Discard, struct{ io.Reader }{bytes.NewReader(data)})
		}
	})
}
