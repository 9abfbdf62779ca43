package confsync

import (
	"bytes"
	"encoding/binary"
	"errors"
)

// A delta is a list of operations. An operation starts with a varint: twice the
// length for bytes that follow, or twice the length plus one for a copy, whose
// offset in the old text follows as a varint. Copies cover whole lines.

var errDelta = errors.New("delta is malformed, does not match the base text or exceeds the size limit")

// makeDelta returns the operations that turn the old text into the new one, in linear
// time. It matches a line with the one after the last copy or with its first occurrence
// in the old text, which suffices because lines of rules seldom repeat.
func makeDelta(old, text []byte) []byte {
	at := map[string]int{}
	for pos := 0; pos < len(old); {
		line := nextLine(old[pos:])
		if _, ok := at[string(line)]; !ok {
			at[string(line)] = pos
		}
		pos += len(line)
	}
	var out []byte
	var copyFrom, copyLen, insertFrom int
	flush := func(to int) {
		if copyLen > 0 {
			out = binary.AppendUvarint(out, uint64(copyLen)<<1|1)
			out = binary.AppendUvarint(out, uint64(copyFrom))
			copyLen = 0
		}
		if to > insertFrom {
			out = binary.AppendUvarint(out, uint64(to-insertFrom)<<1)
			out = append(out, text[insertFrom:to]...)
		}
		insertFrom = to
	}
	for pos := 0; pos < len(text); {
		line := nextLine(text[pos:])
		next := copyFrom + copyLen
		first, known := at[string(line)]
		switch {
		case copyLen > 0 && bytes.Equal(line, nextLine(old[next:])):
			copyLen += len(line)
			insertFrom = pos + len(line)
		case known:
			flush(pos)
			copyFrom, copyLen = first, len(line)
			insertFrom = pos + len(line)
		default:
			if copyLen > 0 {
				flush(pos)
			}
		}
		pos += len(line)
	}
	flush(len(text))
	return out
}

// nextLine returns the bytes up to and including the first newline.
func nextLine(b []byte) []byte {
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		return b[:i+1]
	}
	return b
}

// applyDelta returns the new text, or an error if the delta is malformed or the text
// would exceed limit bytes.
func applyDelta(old, d []byte, limit int) ([]byte, error) {
	var out []byte
	for len(d) > 0 {
		head, n := binary.Uvarint(d)
		if n <= 0 {
			return nil, errDelta
		}
		d = d[n:]
		from := d
		if head&1 == 1 {
			start, n := binary.Uvarint(d)
			if n <= 0 || start > uint64(len(old)) {
				return nil, errDelta
			}
			d = d[n:]
			from = old[start:]
		}
		size := head >> 1
		if size > uint64(len(from)) || uint64(len(out))+size > uint64(limit) {
			return nil, errDelta
		}
		out = append(out, from[:size]...)
		if head&1 == 0 {
			d = d[size:]
		}
	}
	return out, nil
}
