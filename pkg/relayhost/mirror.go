package relayhost

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/mulberrystream/mulberrystream/pkg/cborcodec"
	"github.com/mulberrystream/mulberrystream/pkg/follow"
)

const (
	// maxReadRequest limits a call of another host, which holds two short keys at most.
	maxReadRequest = 4 << 10
	// maxMirrorBytes leaves room for the encoding of a page of maxPageBytes.
	maxMirrorBytes = maxPageBytes * 3 / 4
	// shortChangesBytes is what a mirror keeps at least beside the longest value, for the
	// entries of backend servers.
	shortChangesBytes = 256 << 10
	// mirrorMemoryShare is the share of the memory limit that changes which are kept for
	// other hosts may use.
	mirrorMemoryShare = 1.0 / 32
	// answersMemoryShare is the share of the memory limit that answers to other hosts may use
	// while they are sent.
	answersMemoryShare = 1.0 / 8
)

// mirrorBytes returns the bound of a mirror of a store whose values have up to valueBytes, in
// a process with a memory limit in bytes, or none if it is 0.
func mirrorBytes(memoryLimit, valueBytes int64) int {
	if memoryLimit <= 0 {
		return maxMirrorBytes
	}
	share := int64(float64(memoryLimit) * mirrorMemoryShare)
	return int(min(max(share, valueBytes+shortChangesBytes), maxMirrorBytes))
}

// mirrorServer serves this host's copy of the store to other hosts.
type mirrorServer struct {
	mirror  *follow.Mirror
	metrics *hostMetrics
	log     *zap.Logger
	// memory is for the answers that are being sent: each has its own copy of its items, and
	// slow links keep many of them at the same time.
	memory *semaphore.Weighted
}

var errNoMemory = errors.New("no memory for the answer")

// newMirrorServer returns the server of a mirror in a process with a memory limit in bytes, or
// none if it is 0.
func newMirrorServer(m *follow.Mirror, memoryLimit int64, metrics *hostMetrics, log *zap.Logger) *mirrorServer {
	bound := int64(math.MaxInt64)
	if memoryLimit > 0 {
		bound = max(int64(float64(memoryLimit)*answersMemoryShare), maxPageBytes)
	}
	return &mirrorServer{mirror: m, metrics: metrics, log: log, memory: semaphore.NewWeighted(bound)}
}

func (s *mirrorServer) handler() http.Handler {
	codec := connect.WithCodec(cborcodec.Codec{})
	mux := http.NewServeMux()
	mux.Handle(listProcedure, connect.NewUnaryHandler(listProcedure,
		func(ctx context.Context, req *connect.Request[listRequest]) (*connect.Response[follow.Page], error) {
			p, err := s.mirror.List(ctx, req.Msg.Prefix, req.Msg.After)
			return s.answer(ctx, req.Peer().Addr, p, err)
		}, codec))
	mux.Handle(waitProcedure, connect.NewUnaryHandler(waitProcedure,
		func(ctx context.Context, req *connect.Request[waitRequest]) (*connect.Response[follow.Page], error) {
			wait := time.Duration(req.Msg.WaitMS) * time.Millisecond
			after := follow.Position{Era: req.Msg.Era, Revision: req.Msg.After}
			p, err := s.mirror.Wait(ctx, req.Msg.Prefix, after, wait)
			return s.answer(ctx, req.Peer().Addr, p, err)
		}, codec))
	return s.releaseAfter(mux)
}

// memoryKey is the context key of the memory that an answer uses, a *int64 in bytes.
type memoryKey struct{}

// releaseAfter returns a handler that releases the memory of each answer once it is written.
func (s *mirrorServer) releaseAfter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		taken := new(int64)
		defer func() { s.memory.Release(*taken) }()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), memoryKey{}, taken)))
	})
}

// answer turns a page, or the error in its place, into the answer to a call of a peer. Without
// memory for the page, the peer has to read the store itself.
func (s *mirrorServer) answer(ctx context.Context, peer string, p follow.Page, err error) (*connect.Response[follow.Page], error) {
	switch {
	case errors.Is(err, follow.ErrCompacted):
		return nil, connect.NewError(connect.CodeOutOfRange, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	bytes := p.Bytes()
	if !s.memory.TryAcquire(bytes) {
		s.metrics.refusedReaders.Inc()
		s.log.Warn("store: refused a reader", zap.String("peer", peer), zap.Int64("bytes", bytes), zap.Error(errNoMemory))
		return nil, connect.NewError(connect.CodeUnavailable, errNoMemory)
	}
	*ctx.Value(memoryKey{}).(*int64) = bytes
	return connect.NewResponse(&p), nil
}
