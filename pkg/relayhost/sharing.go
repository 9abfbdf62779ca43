package relayhost

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/cborcodec"
	"github.com/mulberrystream/mulberrystream/pkg/follow"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

const (
	listProcedure = "/mulberrystream.reader.v1.Reader/List"
	waitProcedure = "/mulberrystream.reader.v1.Reader/Wait"

	// readerWait is how long a reader holds a call while nothing changes. Such calls
	// do not load the platform, and a short wait keeps answers recent.
	readerWait = 500 * time.Millisecond
	// readerSlack is how much longer than its wait a reader's answer may take before this
	// host reads the platform itself.
	readerSlack = 400 * time.Millisecond
	// maxPageBytes limits an answer: a page of entries, or the configuration, which the
	// platform limits to 1 MiB.
	maxPageBytes = 4 << 20
)

type listRequest struct {
	Prefix string `cbor:"1,keyasint"`
	After  string `cbor:"2,keyasint"`
}

type waitRequest struct {
	Prefix string `cbor:"1,keyasint"`
	After  uint64 `cbor:"2,keyasint"`
	WaitMS int64  `cbor:"3,keyasint"`
	Era    uint64 `cbor:"4,keyasint,omitempty"` // of After
}

// sharedSource reads the platform's store through the reader of the failure domain that
// the relay selects, and directly if there is none or it fails.
type sharedSource struct {
	core   *core
	direct follow.Source
	http   *peerHTTP
	log    *zap.Logger

	mu      sync.Mutex
	era     uint64                   // latest era of the store that was seen
	readers map[string]*readerClient // by address
}

type readerClient struct {
	list *connect.Client[listRequest, follow.Page]
	wait *connect.Client[waitRequest, follow.Page]
}

func newSharedSource(c *core, direct follow.Source, log *zap.Logger) *sharedSource {
	return &sharedSource{
		core: c, direct: direct, log: log,
		http:    newPeerHTTP(),
		readers: map[string]*readerClient{},
	}
}

func (s *sharedSource) client(addr string) *readerClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.readers[addr]; c != nil {
		return c
	}
	options := connect.WithClientOptions(
		connect.WithCodec(cborcodec.Codec{}),
		connect.WithReadMaxBytes(maxPageBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
	)
	c := &readerClient{
		list: connect.NewClient[listRequest, follow.Page](s.http, "http://"+addr+listProcedure, options),
		wait: connect.NewClient[waitRequest, follow.Page](s.http, "http://"+addr+waitProcedure, options),
	}
	s.readers[addr] = c
	return c
}

// List reads a page of the keys under a prefix.
func (s *sharedSource) List(ctx context.Context, prefix, after string) (follow.Page, error) {
	if reader, ok := s.core.reader(); ok {
		call, cancel := context.WithTimeout(ctx, readerSlack)
		defer cancel()
		resp, err := s.client(reader.Addr).list.CallUnary(call, connect.NewRequest(&listRequest{prefix, after}))
		if err == nil {
			err = s.checkEra(*resp.Msg)
		}
		if err == nil {
			return *resp.Msg, nil
		}
		s.readerFailed(reader, err)
	}
	return s.readDirect(func() (follow.Page, error) { return s.direct.List(ctx, prefix, after) })
}

// checkEra returns an error for a page of an earlier era than one that was seen before:
// a reader may not have noticed yet that the store was restored.
func (s *sharedSource) checkEra(p follow.Page) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Era < s.era {
		return fmt.Errorf("page of era %d of the store, era %d has begun", p.Era, s.era)
	}
	s.era = p.Era
	return nil
}

// Wait waits for changes under a prefix.
func (s *sharedSource) Wait(ctx context.Context, prefix string, after follow.Position, wait time.Duration) (follow.Page, error) {
	var err error
	for range maxReaderTries {
		reader, ok := s.core.reader()
		if !ok {
			if err != nil {
				wait = 0 // the time has been spent at a reader
			}
			return s.waitDirect(ctx, prefix, after, s.core.readWait(wait))
		}
		var p follow.Page
		if p, err = s.waitAt(ctx, reader, prefix, after, min(wait, readerWait)); err == nil || errors.Is(err, follow.ErrCompacted) {
			return p, err
		}
		s.readerFailed(reader, err)
		if reader.InsteadOfPlatform {
			break
		}
	}
	return follow.Page{}, err
}

// maxReaderTries is the number of readers that one call tries: both of a domain, and one
// more that is asked instead of an unreachable store.
const maxReaderTries = 3

// waitAt waits for changes at a reader.
func (s *sharedSource) waitAt(ctx context.Context, reader relay.Reader, prefix string, after follow.Position, wait time.Duration) (follow.Page, error) {
	call, cancel := context.WithTimeout(ctx, wait+readerSlack)
	defer cancel()
	resp, err := s.client(reader.Addr).wait.CallUnary(call,
		connect.NewRequest(&waitRequest{prefix, after.Revision, wait.Milliseconds(), after.Era}))
	switch {
	case connect.CodeOf(err) == connect.CodeOutOfRange:
		return follow.Page{}, follow.ErrCompacted
	case err != nil:
		return follow.Page{}, err
	}
	if err := s.checkEra(*resp.Msg); err != nil {
		return follow.Page{}, err
	}
	s.core.readerAnswered(reader.Host, resp.Msg.Age)
	return *resp.Msg, nil
}

func (s *sharedSource) waitDirect(ctx context.Context, prefix string, after follow.Position, wait time.Duration) (follow.Page, error) {
	return s.readDirect(func() (follow.Page, error) { return s.direct.Wait(ctx, prefix, after, wait) })
}

// readDirect reads the store itself.
func (s *sharedSource) readDirect(read func() (follow.Page, error)) (follow.Page, error) {
	p, err := read()
	if err == nil {
		return p, s.checkEra(p)
	}
	if !errors.Is(err, follow.ErrCompacted) {
		s.core.directReadFailed()
	}
	return p, err
}

func (s *sharedSource) readerFailed(r relay.Reader, err error) {
	s.core.readerFailed(r.Host)
	s.log.Info("store: reader failed, reading directly", zap.String("peer", string(r.Host)), zap.Error(err))
}
