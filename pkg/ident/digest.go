package ident

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
)

// digestBytes is the length of the hashes below. It rules out accidental collisions and keeps
// messages between hosts small.
const digestBytes = 16

// HashContent returns the hash of the path and body of a request.
func HashContent(path string, body []byte) ContentHash {
	h := sha256.New()
	_, _ = io.WriteString(h, path) // a hash accepts all bytes
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return ContentHash(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}

// NewDigest returns the digest of a request from its organisation and the hash of its
// content.
func NewDigest(org Organisation, content ContentHash) Digest {
	sum := sha256.Sum256([]byte(string(org) + "\x00" + string(content)))
	return Digest(hex.EncodeToString(sum[:digestBytes]))
}
