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
	// defaultMaxBodyBytes limits bodies until the first configuration arrives.
	defaultMaxBodyBytes = 1 << 20
	// smallBodyBytes is the size up to which a body is read without a reservation. The
	// operators' connection limit bounds the total of small bodies.
	smallBodyBytes = 64 << 10
	// bodyBudgetShare is the share of the memory limit that larger bodies may use in
	// total. The runtime needs about as much again until it has freed them.
	bodyBudgetShare = 0.25
	// minBodyBudget lets at least one body of the largest common size be read.
	minBodyBudget = 4 << 20
	// bodyBudgetWait is how long a request waits for memory. A longer wait leaves less
	// of its deadline for the answer.
	bodyBudgetWait = 500 * time.Millisecond
	// bodyTimeout limits how long a larger body may take to arrive, so that callers
	// that stop sending do not hold its memory.
	bodyTimeout = 15 * time.Second
)

// errBodyBudget is returned when the memory for request bodies is in use.
var errBodyBudget = errors.New("request body memory exhausted")

// bodyBudget limits the total memory of large request bodies. Without it, thirty callers
// that announce 4 MB each would get a host with 112 MB killed for lack of memory.
type bodyBudget struct {
	capacity  int64 // bytes; 0 if the host has no memory limit
	available *semaphore.Weighted
}

func newBodyBudget(memory int64) *bodyBudget {
	if memory <= 0 {
		return &bodyBudget{}
	}
	capacity := max(minBodyBudget, int64(float64(memory)*bodyBudgetShare))
	return &bodyBudget{capacity: capacity, available: semaphore.NewWeighted(capacity)}
}

// reserve reserves n bytes, at most the capacity, and returns a function that releases
// them.
func (b *bodyBudget) reserve(ctx context.Context, n int64) (release func(), err error) {
	if b.capacity == 0 {
		return func() {}, nil
	}
	n = min(n, b.capacity)
	ctx, cancel := context.WithTimeout(ctx, bodyBudgetWait)
	defer cancel()
	if err := b.available.Acquire(ctx, n); err != nil {
		return nil, fmt.Errorf("%w: need %d of %d bytes", errBodyBudget, n, b.capacity)
	}
	return func() { b.available.Release(n) }, nil
}

// readBody reads a request's body. The caller must call release after use.
func (h *Host) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), err error) {
	limit := int64(defaultMaxBodyBytes)
	if l, ok := h.core.limits(); ok && l.BodyBytes > 0 {
		limit = l.BodyBytes
	}
	src := http.MaxBytesReader(w, r.Body, limit)
	var buf bytes.Buffer
	if r.ContentLength > 0 {
		buf.Grow(int(min(r.ContentLength, smallBodyBytes)) + bytes.MinRead)
	}
	switch _, err := io.CopyN(&buf, src, smallBodyBytes); {
	case errors.Is(err, io.EOF):
		return buf.Bytes(), func() {}, nil
	case err != nil:
		return nil, nil, err
	}
	need := limit
	if r.ContentLength > 0 {
		need = min(r.ContentLength, limit)
	}
	release, err = h.bodyBudget.reserve(r.Context(), need)
	if err != nil {
		return nil, nil, err
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		release()
		return nil, nil, fmt.Errorf("relayhost: set body read deadline: %w", err)
	}
	buf.Grow(int(need) - buf.Len() + bytes.MinRead)
	if _, err := buf.ReadFrom(src); err != nil {
		release()
		return nil, nil, err
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		release()
		return nil, nil, fmt.Errorf("relayhost: clear body read deadline: %w", err)
	}
	return buf.Bytes(), release, nil
}
