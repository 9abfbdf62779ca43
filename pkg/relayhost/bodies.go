package relayhost

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// defaultBodyBytes bounds bodies before the first configuration.
	defaultBodyBytes = 1 << 20
	// smallBody is the size up to which a body is read without a share of bodyRoom. The
	// operators' limit on connections bounds the sum of small ones.
	smallBody = 64 << 10
	// bodyRoomShare is the part of the allowed memory that larger bodies may take
	// together. The runtime needs about as much again until it has freed them.
	bodyRoomShare = 0.25
	// bodyRoomLeast lets at least one body of the largest usual size be read.
	bodyRoomLeast = 4 << 20
	// bodyWait is how long a request waits for memory. A longer wait leaves less of its
	// time for the answer.
	bodyWait = 500 * time.Millisecond
	// bodyTimeout bounds the time in which a larger body has to arrive, so that callers
	// that went silent do not keep its memory.
	bodyTimeout = 15 * time.Second
)

// errNoBodyRoom says that the memory for bodies is in use.
var errNoBodyRoom = errors.New("no memory for the body")

// bodyRoom bounds the memory that large request bodies take together: a host with 112 MB
// could otherwise be ended by thirty callers that announce 4 MB each.
type bodyRoom struct {
	all  int64 // bytes; 0 if the host's memory is not bounded
	left *semaphore.Weighted
}

func newBodyRoom(memory int64) *bodyRoom {
	if memory <= 0 {
		return &bodyRoom{}
	}
	all := max(bodyRoomLeast, int64(float64(memory)*bodyRoomShare))
	return &bodyRoom{all: all, left: semaphore.NewWeighted(all)}
}

// take reserves memory and returns the function that gives it back.
func (b *bodyRoom) take(ctx context.Context, n int64) (release func(), err error) {
	if b.all == 0 {
		return func() {}, nil
	}
	n = min(n, b.all)
	ctx, cancel := context.WithTimeout(ctx, bodyWait)
	defer cancel()
	if err := b.left.Acquire(ctx, n); err != nil {
		return nil, fmt.Errorf("%w: %d of %d bytes", errNoBodyRoom, n, b.all)
	}
	return func() { b.left.Release(n) }, nil
}

// readBody reads a request's body. The caller has to release its memory after use.
func (h *Host) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), err error) {
	most := int64(defaultBodyBytes)
	if l, ok := h.core.limits(); ok && l.BodyBytes > 0 {
		most = l.BodyBytes
	}
	src := http.MaxBytesReader(w, r.Body, most)
	var buf bytes.Buffer
	if r.ContentLength > 0 {
		buf.Grow(int(min(r.ContentLength, smallBody)) + bytes.MinRead)
	}
	switch _, err := io.CopyN(&buf, src, smallBody); {
	case errors.Is(err, io.EOF):
		return buf.Bytes(), func() {}, nil
	case err != nil:
		return nil, nil, err
	}
	need := most
	if r.ContentLength > 0 {
		need = min(r.ContentLength, most)
	}
	release, err = h.bodies.take(r.Context(), need)
	if err != nil {
		return nil, nil, err
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		release()
		return nil, nil, fmt.Errorf("relayhost: bound the time of a body: %w", err)
	}
	buf.Grow(int(need) - buf.Len() + bytes.MinRead)
	if _, err := buf.ReadFrom(src); err != nil {
		release()
		return nil, nil, err
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		release()
		return nil, nil, fmt.Errorf("relayhost: lift the bound on the time of a body: %w", err)
	}
	return buf.Bytes(), release, nil
}
