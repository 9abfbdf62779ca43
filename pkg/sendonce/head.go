package sendonce

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// ErrMalformed is returned when what a peer sends is no response by the grammar of RFC 9112.
// What became of the call is unknown.
var ErrMalformed = errors.New("malformed response")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// framing says what delimits the body of a response.
type framing int

const (
	noBody framing = iota
	byLength
	byChunks
	byClose // the end of the connection
)

// responseHead is what the head of a response says of its body.
type responseHead struct {
	status  int
	framing framing
	length  int64 // of the body if it is framed by it
	size    int   // of the head in bytes
}

// maxInterim limits the interim responses before the final one.
const maxInterim = 16

// readHead checks the head of the next final response and leaves it unread, for a parser that
// may accept more than the grammar. It skips interim responses. withoutBody is set for a call
// whose response has none whatever its head says.
func readHead(br *bufio.Reader, withoutBody bool) (responseHead, error) {
	for range maxInterim {
		h, err := peekHead(br)
		if err != nil {
			return h, err
		}
		if h.status >= 200 {
			if withoutBody {
				h.framing = noBody
			}
			return h, nil
		}
		if _, err := br.Discard(h.size); err != nil {
			return h, err
		}
	}
	return responseHead{}, ErrTooLong
}

// peekHead waits for a whole head, or for a line that belongs to none.
func peekHead(br *bufio.Reader) (responseHead, error) {
	for n := 1; ; n = br.Buffered() + 1 {
		if n > br.Size() {
			return responseHead{}, fmt.Errorf("head: %w", ErrTooLong)
		}
		if _, err := br.Peek(n); err != nil {
			return responseHead{}, cutShort(err, n > 1)
		}
		buffered, err := br.Peek(br.Buffered())
		if err != nil {
			return responseHead{}, err
		}
		if h, whole, err := parseHead(buffered); whole || err != nil {
			return h, err
		}
	}
}

// parseHead checks a head at the beginning of b. whole is false if more bytes are needed.
func parseHead(b []byte) (h responseHead, whole bool, err error) {
	line, rest, ok := cutLine(b)
	if !ok {
		return h, false, checkLine(b)
	}
	version10, err := h.parseStatusLine(line)
	if err != nil {
		return h, false, err
	}
	var f bodyFields
	for {
		if line, rest, ok = cutLine(rest); !ok {
			return h, false, checkLine(rest)
		}
		if len(line) == 0 {
			break
		}
		name, value, err := parseField(line)
		if err != nil {
			return h, false, err
		}
		f.add(name, value)
	}
	h.size = len(b) - len(rest)
	return h, true, h.setFraming(f, version10)
}

var crlf = []byte("\r\n")

// cutLine returns the line at the beginning of b without its end, and what follows.
func cutLine(b []byte) (line, rest []byte, ok bool) { return bytes.Cut(b, crlf) }

// checkLine returns an error for the beginning of a line that can no longer become one.
func checkLine(b []byte) error {
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		return malformed("line feed without carriage return")
	}
	return nil
}

// parseStatusLine reads "HTTP/1.1 200 OK".
func (h *responseHead) parseStatusLine(line []byte) (version10 bool, err error) {
	const versionLen, statusLen = len("HTTP/1.1"), len("200")
	if len(line) < versionLen+1+statusLen || line[versionLen] != ' ' {
		return false, malformed("status line %.64q", line)
	}
	switch string(line[:versionLen]) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		version10 = true
	default:
		return false, malformed("version %.64q", line)
	}
	code, reason := line[versionLen+1:versionLen+1+statusLen], line[versionLen+1+statusLen:]
	if len(reason) > 0 && reason[0] != ' ' || !isFieldValue(reason) {
		return false, malformed("status line %.64q", line)
	}
	h.status, err = strconv.Atoi(string(code))
	if err != nil || !isDigits(code) || h.status < 100 || h.status > 599 {
		return false, malformed("status %q", code)
	}
	if h.status == 101 {
		return false, malformed("status 101 to a call that asks for no other protocol")
	}
	return version10, nil
}

// parseField reads "Name: value" of a head or a trailer.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return nil, nil, malformed("field %.64q", line)
	}
	if !isFieldValue(value) {
		return nil, nil, malformed("value of field %.64q", name)
	}
	return name, bytes.Trim(value, " \t"), nil
}

// bodyFields are the fields of a head that frame the body.
type bodyFields struct{ lengths, codings [][]byte }

func (f *bodyFields) add(name, value []byte) {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.lengths = append(f.lengths, value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.codings = append(f.codings, value)
	}
}

// setFraming decides what delimits the body. Fields that contradict each other are an error,
// since what follows the body would be taken for a part of it or the reverse.
func (h *responseHead) setFraming(f bodyFields, version10 bool) error {
	switch {
	case len(f.lengths) > 1:
		return malformed("%d lengths", len(f.lengths))
	case len(f.codings) > 0 && (len(f.lengths) > 0 || version10 || len(f.codings) > 1 || !bytes.EqualFold(f.codings[0], []byte("chunked"))):
		return malformed("transfer coding %.64q, %d lengths", f.codings, len(f.lengths))
	case len(f.lengths) == 1:
		n, err := parseLength(f.lengths[0])
		if err != nil {
			return err
		}
		h.framing, h.length = byLength, n
	case len(f.codings) == 1:
		h.framing = byChunks
	default:
		h.framing = byClose
	}
	if h.status < 200 || h.status == 204 {
		if h.framing == byChunks || h.length > 0 {
			return malformed("body of a response with status %d", h.status)
		}
		h.framing = noBody
	}
	if h.status == 304 {
		h.framing = noBody
	}
	return nil
}

// maxLengthDigits is that of the longest length that fits into 63 bits.
const maxLengthDigits = 18

func parseLength(value []byte) (int64, error) {
	if !isDigits(value) || len(value) > maxLengthDigits {
		return 0, malformed("length %.64q", value)
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return 0, malformed("length %.64q", value)
	}
	return n, nil
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

// tokenBytes are the bytes that the name of a field may have.
var tokenBytes = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[c] = true
	}
	return t
}()

// isToken reports whether b may be the name of a field.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// isFieldValue reports whether b has no control bytes other than tabs.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
