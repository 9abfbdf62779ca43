package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// maxLineBytes is the maximum length of a line in a decode stream.
const maxLineBytes = 1 << 20

// drainTimeout bounds the wait for the end of the body after the last chunk. The
// answer is already complete, so after a timeout only the connection is lost.
const drainTimeout = 20 * time.Millisecond

// maxErrorBodyBytes is the maximum number of bytes read from an error answer.
const maxErrorBodyBytes = 64 << 10

// Decode passes chunks of tokens to emit until the stream is complete. A chunk of
// another attempt is dropped; one that repeats or skips tokens ends the stream
// with an error, because the caller must get each token exactly once.
func (c *Client) Decode(ctx context.Context, r engine.DecodeRequest, emit func(engine.Chunk) error) error {
	req, err := c.post("decode", r)
	if err != nil {
		return err
	}
	s, err := c.conn.Stream(ctx, req, c.opt.ChunkTimeout)
	if err != nil {
		return connError("decode", c.conn.Addr(), err)
	}
	defer s.Close()
	s.Progress(c.opt.ChunkTimeout, maxLineBytes)
	if s.Status < 200 || s.Status > 299 {
		body, _ := io.ReadAll(io.LimitReader(s, maxErrorBodyBytes))
		return statusError("decode", c.conn.Addr(), s.Status, body)
	}
	return c.forwardChunks(s, r, emit)
}

// forwardChunks reads chunks from s, verifies them and passes them to emit.
func (c *Client) forwardChunks(s *sendonce.Stream, r engine.DecodeRequest, emit func(engine.Chunk) error) error {
	next := r.Offset
	scanner := bufio.NewScanner(s)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	scanner.Split(scanTerminatedLines)
	for scanner.Scan() {
		s.Progress(c.opt.ChunkTimeout, maxLineBytes)
		if len(scanner.Bytes()) == 0 {
			continue // keep-alive
		}
		var ch engine.Chunk
		if err := json.Unmarshal(scanner.Bytes(), &ch); err != nil {
			return c.decodeError(engine.CodeMalformed, err)
		}
		if ch.Ref != r.Ref {
			c.opt.OnStale("decode", ch.Ref)
			continue
		}
		if ch.Offset != next {
			return c.decodeError(engine.CodeWrongOffset, fmt.Errorf("chunk at %d, want %d", ch.Offset, next))
		}
		next += len(ch.Tokens)
		if err := emit(ch); err != nil {
			return err
		}
		if ch.Done {
			s.Drain(drainTimeout)
			return nil
		}
	}
	if err := scanner.Err(); err != nil {
		return connError("decode", c.conn.Addr(), err)
	}
	return c.decodeError(engine.CodeIncomplete, io.ErrUnexpectedEOF)
}

// scanTerminatedLines is a split function like bufio.ScanLines that never returns a
// last line without a newline. Such a line was truncated when the connection
// ended, so it must not be parsed as a chunk.
func scanTerminatedLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if atEOF && bytes.IndexByte(data, '\n') < 0 {
		return 0, nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

func (c *Client) decodeError(code string, err error) *engine.Error {
	return &engine.Error{Step: "decode", Peer: c.conn.Addr(), Code: code, Err: err}
}
