// Package eventstream splits a stream of server-sent events into complete events, so
// that an interrupted stream can resume at another engine between two events.
package eventstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// MaxEvent is the largest event in bytes.
const MaxEvent = 256 << 10

// ErrTooLarge is returned for an event larger than MaxEvent.
var ErrTooLarge = errors.New("event too large")

// initialBufferSize is the initial size of the read buffer; typical events have a few
// hundred bytes.
const initialBufferSize = 4 << 10

// Reader reads events. It returns the bytes of the source unchanged.
type Reader struct {
	src      io.Reader
	buf      []byte
	returned int // bytes at the start of buf that Next has returned
	filled   int
	err      error
	lastID   string
	idCount  int // id fields in the last result of Next
}

// NewReader returns a Reader that reads from src.
func NewReader(src io.Reader) *Reader {
	return &Reader{src: src, buf: make([]byte, initialBufferSize)}
}

// LastID returns the last event id in the results of Next so far.
func (r *Reader) LastID() string { return r.lastID }

// Count returns the number of events with an id in the last result of Next.
func (r *Reader) Count() int { return r.idCount }

// Next returns the complete events received so far, at least one, or an error. The bytes
// are valid until the next call. At the end of the source, Next returns what follows the
// last complete event with io.EOF; if the source fails, that remainder is dropped.
func (r *Reader) Next() ([]byte, error) {
	r.compact()
	for {
		if n := completeLength(r.buf[:r.filled]); n > 0 {
			r.returned = n
			r.recordIDs(r.buf[:n])
			return r.buf[:n], nil
		}
		if r.err != nil {
			return r.remainder()
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

func (r *Reader) remainder() ([]byte, error) {
	if !errors.Is(r.err, io.EOF) {
		return nil, r.err
	}
	r.returned = r.filled
	r.idCount = 0
	return r.buf[:r.filled], io.EOF
}

func (r *Reader) compact() {
	copy(r.buf, r.buf[r.returned:r.filled])
	r.filled -= r.returned
	r.returned = 0
}

func (r *Reader) fill() error {
	if r.filled == len(r.buf) {
		if len(r.buf) >= MaxEvent {
			return fmt.Errorf("eventstream: after event %q: %w", r.lastID, ErrTooLarge)
		}
		r.buf = append(r.buf, make([]byte, len(r.buf))...)
	}
	n, err := r.src.Read(r.buf[r.filled:])
	r.filled += n
	r.err = err
	return nil
}

// completeLength returns the length of the complete events at the start of b. An event
// ends with an empty line.
func completeLength(b []byte) int {
	n := 0
	if at := bytes.LastIndex(b, []byte("\n\n")); at >= 0 {
		n = at + 2
	}
	if at := bytes.LastIndex(b, []byte("\n\r\n")); at >= 0 {
		n = max(n, at+3)
	}
	return n
}

// recordIDs counts the id fields of complete events and keeps the last one.
func (r *Reader) recordIDs(b []byte) {
	r.idCount = 0
	for line := range bytes.Lines(b) {
		value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if ok {
			r.idCount++
			r.lastID = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}
