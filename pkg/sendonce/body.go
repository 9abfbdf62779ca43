package sendonce

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// newBody returns a reader of the body that follows a head. It returns io.EOF only at the end
// of a complete body.
func newBody(br *bufio.Reader, h responseHead) io.Reader {
	switch h.framing {
	case byLength:
		return &lengthBody{br: br, left: h.length}
	case byChunks:
		return &chunkedBody{br: br}
	case byClose:
		return br
	}
	return bytes.NewReader(nil)
}

// cutShort returns the error of a read that ends within a response once it has begun.
func cutShort(err error, begun bool) error {
	if begun && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// lengthBody is a body whose length is known.
type lengthBody struct {
	br   *bufio.Reader
	left int64
}

func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.br.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, cutShort(err, true)
}

// chunkedBody is a body in chunks. Its trailer is checked and dropped.
type chunkedBody struct {
	br   *bufio.Reader
	left int64 // of the current chunk
	err  error // of the body so far, io.EOF at its end
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err == nil && b.left == 0 {
		b.err = b.beginChunk()
	}
	if b.err != nil || len(p) == 0 {
		return 0, b.err
	}
	n, err := b.br.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	b.err = cutShort(err, true)
	if b.err == nil && b.left == 0 {
		b.err = b.endChunk()
	}
	if n > 0 && !errors.Is(b.err, io.EOF) {
		return n, nil // an error is returned by the next call
	}
	return n, b.err
}

// beginChunk reads the size of a chunk, and after the last one the trailer. It returns io.EOF
// at the end of the body.
func (b *chunkedBody) beginChunk() error {
	line, err := b.line()
	if err != nil {
		return err
	}
	size, extension, _ := bytes.Cut(line, []byte(";"))
	b.left, err = parseChunkSize(size)
	if err != nil {
		return err
	}
	if !isFieldValue(extension) {
		return malformed("chunk extension %.64q", extension)
	}
	if b.left == 0 {
		return b.readTrailer()
	}
	return nil
}

// endChunk reads the end of a chunk.
func (b *chunkedBody) endChunk() error {
	line, err := b.line()
	if err == nil && len(line) > 0 {
		err = malformed("%.64q after a chunk", line)
	}
	return err
}

func (b *chunkedBody) readTrailer() error {
	for {
		line, err := b.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		if _, _, err := parseField(line); err != nil {
			return err
		}
	}
}

// line reads a line and returns it without its end.
func (b *chunkedBody) line() ([]byte, error) {
	line, err := b.br.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, fmt.Errorf("line in chunks: %w", ErrTooLong)
	case err != nil:
		return nil, cutShort(err, true)
	}
	line, ok := bytes.CutSuffix(line, crlf)
	if !ok || bytes.IndexByte(line, '\r') >= 0 {
		return nil, malformed("line %.64q in chunks", line)
	}
	return line, nil
}

// maxChunkDigits is that of the largest chunk size that fits into 63 bits.
const maxChunkDigits = 15

func parseChunkSize(b []byte) (int64, error) {
	for _, c := range b {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return 0, malformed("chunk size %.64q", b)
		}
	}
	if len(b) == 0 || len(b) > maxChunkDigits {
		return 0, malformed("chunk size %.64q", b)
	}
	n, err := strconv.ParseInt(string(b), 16, 64)
	if err != nil {
		return 0, malformed("chunk size %.64q", b)
	}
	return n, nil
}

const (
	// firstPiece and maxPiece are the sizes in bytes of the pieces in which a body is read.
	firstPiece = 2 << 10
	maxPiece   = 64 << 10
)

// readAll reads a body of up to limit bytes. Memory is taken in pieces as bytes arrive, whatever
// length the head states: a buffer that grows would take several times what has arrived.
func readAll(body io.Reader, h responseHead, limit int) ([]byte, error) {
	if h.framing == byLength && h.length > int64(limit) {
		return nil, fmt.Errorf("body of %d bytes: %w", h.length, ErrTooLong)
	}
	var (
		pieces [][]byte
		piece  = make([]byte, 0, firstPiece)
		total  int
	)
	for {
		n, err := body.Read(piece[len(piece):cap(piece)])
		piece, total = piece[:len(piece)+n], total+n
		switch {
		case total > limit:
			return nil, fmt.Errorf("body: %w", ErrTooLong)
		case errors.Is(err, io.EOF):
			if len(pieces) == 0 {
				return piece, nil
			}
			return bytes.Join(append(pieces, piece), nil), nil
		case err != nil:
			return nil, err
		}
		if len(piece) == cap(piece) {
			pieces = append(pieces, piece)
			piece = make([]byte, 0, min(2*cap(piece), maxPiece))
		}
	}
}
