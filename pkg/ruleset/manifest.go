package ruleset

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// MaxValueBytes is the size limit of a value in the platform's configuration
// service.
const MaxValueBytes = 1_000_000

// Manifest lists the chunks of one generation. It is stored as JSON in the value
// "manifest" of the configuration service.
type Manifest struct {
	Revision ident.Revision `json:"revision"`
	Chunks   []Chunk        `json:"chunks"`
}

// Chunk describes one value that holds a part of the rules text.
type Chunk struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"` // lower-case hex
	Bytes  int    `json:"bytes"`
}

// Digest returns the SHA-256 of a rules text.
func Digest(text []byte) [32]byte { return sha256.Sum256(text) }

// Split divides a rules text into chunks of at most maxBytes; 0 or less means
// MaxValueBytes. Chunk names contain the revision, so that publishing a new
// generation does not overwrite chunks that a reader of the old manifest still
// needs. The chunks share the memory of text.
func Split(rev ident.Revision, text []byte, maxBytes int) (Manifest, [][]byte) {
	if maxBytes <= 0 {
		maxBytes = MaxValueBytes
	}
	m := Manifest{Revision: rev, Chunks: []Chunk{}}
	var chunks [][]byte
	for len(text) > 0 {
		n := min(len(text), maxBytes)
		part := text[:n:n]
		text = text[n:]
		m.Chunks = append(m.Chunks, Chunk{
			Name:   fmt.Sprintf("rules-%d-%d", rev, len(chunks)),
			SHA256: hexDigest(part),
			Bytes:  n,
		})
		chunks = append(chunks, part)
	}
	return m, chunks
}

// Assemble joins the chunks of a manifest to the rules text. It returns an error
// unless the chunks are exactly those that the manifest names, in its order, so
// that parts of two generations are never mixed.
func Assemble(m Manifest, chunks [][]byte) ([]byte, error) {
	if len(chunks) != len(m.Chunks) {
		return nil, fmt.Errorf("assemble revision %d: got %d chunks, manifest names %d",
			m.Revision, len(chunks), len(m.Chunks))
	}
	var text []byte
	for i, c := range m.Chunks {
		if len(chunks[i]) != c.Bytes {
			return nil, fmt.Errorf("assemble revision %d: chunk %s has %d bytes, manifest says %d",
				m.Revision, c.Name, len(chunks[i]), c.Bytes)
		}
		if hexDigest(chunks[i]) != c.SHA256 {
			return nil, fmt.Errorf("assemble revision %d: chunk %s does not match its SHA-256",
				m.Revision, c.Name)
		}
		text = append(text, chunks[i]...)
	}
	return text, nil
}

func hexDigest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
