package keyring

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

const (
	secretBytes = 32
	saltBytes   = 16

	// maxPresentedLength bounds how many bytes an unauthenticated caller can make the
	// host hash.
	maxPresentedLength = 512
)

// Errors of Split and Verify. An unknown key id and a wrong secret return the same
// error, so that callers cannot find out which key ids exist.
var (
	ErrMissing   = errors.New("no key presented")
	ErrMalformed = errors.New("key malformed: want <key id>.<secret>")
	ErrUnknown   = errors.New("key not accepted")
)

// Hash returns SHA-256 of the salt followed by the secret.
func Hash(salt []byte, secret string) [32]byte {
	buf := make([]byte, 0, len(salt)+len(secret))
	buf = append(buf, salt...)
	buf = append(buf, secret...)
	return sha256.Sum256(buf)
}

// Split returns the id and the secret of a presented key. The secret is everything
// after the first dot.
func Split(presented string) (ident.KeyID, string, error) {
	if presented == "" {
		return "", "", ErrMissing
	}
	if len(presented) > maxPresentedLength {
		return "", "", ErrMalformed
	}
	id, secret, _ := strings.Cut(presented, ".")
	if secret == "" || !ruleset.ValidKeyID(id) || !printable(secret) {
		return "", "", ErrMalformed
	}
	return ident.KeyID(id), secret, nil
}

// printable reports whether s consists of visible ASCII characters, which is
// what an HTTP header can carry unchanged.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// dummyKey is hashed and compared when the key id is unknown, so that the response
// time does not reveal which ids exist.
var dummyKey = ruleset.Key{Salt: strings.Repeat("\x00", saltBytes)}

// Verify returns the key in the rules that the presented key matches. Its errors are
// ErrMissing, ErrMalformed and ErrUnknown.
func Verify(r *ruleset.Rules, presented string) (ruleset.Key, error) {
	id, secret, err := Split(presented)
	if err != nil {
		return ruleset.Key{}, err
	}
	key, known := r.Key(id)
	if !known {
		key = dummyKey
	}
	hash := Hash([]byte(key.Salt), secret)
	equal := subtle.ConstantTimeCompare(hash[:], key.Hash[:]) == 1
	if !equal || !known {
		return ruleset.Key{}, ErrUnknown
	}
	return key, nil
}

// Generate creates a key with a secret of 256 random bits. The presented form must
// be given to the caller only; the rules publish id, salt and hash.
func Generate(rand io.Reader, id ident.KeyID) (presented string, salt []byte, hash [32]byte, err error) {
	if !ruleset.ValidKeyID(string(id)) {
		return "", nil, hash, fmt.Errorf("generate key: id %q: want %s", id, ruleset.KeyIDForm)
	}
	buf := make([]byte, secretBytes+saltBytes)
	if _, err := io.ReadFull(rand, buf); err != nil {
		return "", nil, hash, fmt.Errorf("generate key %s: read random bytes: %w", id, err)
	}
	secret := base64.RawURLEncoding.EncodeToString(buf[:secretBytes])
	salt = buf[secretBytes:]
	return string(id) + "." + secret, salt, Hash(salt, secret), nil
}
