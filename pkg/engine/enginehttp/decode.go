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

// maxLine bounds one line of a decode stream, in bytes.
const maxLine = 1 << 20

// drainTimeout bounds the wait for the end of the body after the last chunk. The
// answer is complete by then, so a slow end costs only the connection.
const drainTimeout = 20 * time.Millisecond

// maxErrorBody bounds an error answer, in bytes.
const maxErrorBody = 64 << 10

// Decode streams tokens to emit until the stream is complete. A chunk of another
// attempt is dropped; one that repeats or skips tokens ends the stream with an
// error, because the caller must get each token exactly once.
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
	if s.Status < 200 || s.Status > 299 {
		body, _ := io.ReadAll(io.LimitReader(s, maxErrorBody))
		return statusError("decode", c.conn.Addr(), s.Status, body)
	}
	return c.relay(s, r, emit)
}

func (c *Client) relay(s *sendonce.Stream, r engine.DecodeRequest, emit func(engine.Chunk) error) error {
	next := r.Offset
	lines := bufio.NewScanner(s)
	lines.Buffer(make([]byte, 0, 4<<10), maxLine)
	lines.Split(wholeLines)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue // keep-alive
		}
		var ch engine.Chunk
		if err := json.Unmarshal(lines.Bytes(), &ch); err != nil {
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
	if err := lines.Err(); err != nil {
		return connError("decode", c.conn.Addr(), err)
	}
	return c.decodeError(engine.CodeIncomplete, io.ErrUnexpectedEOF)
}

// wholeLines splits like bufio.ScanLines but never returns a last line without its
// end. Such a line was cut off by the connection and is not an answer.
func wholeLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if atEOF && bytes.IndexByte(data, '\n') < 0 {
		return 0, nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

func (c *Client) decodeError(code string, err error) *engine.Error {
	return &engine.Error{Step: "decode", Peer: c.conn.Addr(), Code: code, Err: err}
}
