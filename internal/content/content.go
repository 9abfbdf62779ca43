// Package content derives the answer of a fake backend server from the request, so
// that a caller can verify each answer byte for byte.
//
// A token is one whitespace-separated word, in prompts and in output. An output
// token has a trailing space.
package content

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Hash identifies a request by its content.
type Hash uint64

// String returns the hash in hexadecimal.
func (h Hash) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// PromptHash returns the hash of a prompt.
func PromptHash(prompt string) Hash { return Hash(xxhash.Sum64String(prompt)) }

// CallHash returns the hash of a call to a plain service.
func CallHash(method, path string, body []byte) Hash {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + path + "\n")
	_, _ = d.Write(body)
	return Hash(d.Sum64())
}

// CountTokens returns the number of tokens in a prompt.
func CountTokens(prompt string) int { return len(strings.Fields(prompt)) }

// Token returns the i-th output token, such as "a1b2c3d4-0 ".
func Token(h Hash, i int) string {
	return fmt.Sprintf("%08x-%d ", uint32(h), i)
}

// stopPrefix starts the prompt word that limits the length of the answer.
const stopPrefix = "stop="

// StopWord returns a word that, as part of a prompt, ends the answer after n
// tokens.
func StopWord(n int) string { return stopPrefix + strconv.Itoa(n) }

// OutputLength returns the number of output tokens for a prompt: the number in its stop
// word, if it has one, and at most maxTokens.
func OutputLength(prompt string, maxTokens int) int {
	_, rest, ok := strings.Cut(prompt, stopPrefix)
	if !ok {
		return maxTokens
	}
	word, _, _ := strings.Cut(rest, " ")
	n, err := strconv.Atoi(word)
	if err != nil || n < 1 {
		return maxTokens
	}
	return min(n, maxTokens)
}

// Answer returns the complete answer to a prompt.
func Answer(prompt string, maxTokens int) string {
	h := PromptHash(prompt)
	var b strings.Builder
	for i := range OutputLength(prompt, maxTokens) {
		b.WriteString(Token(h, i))
	}
	return b.String()
}

// CallAnswer returns the answer of a plain service to a call.
func CallAnswer(h Hash) string { return fmt.Sprintf(`{"call":%q,"ok":true}`, h) }

// BlockHashes returns the hashes of the prompt prefixes of size, 2*size, 3*size, ...
// tokens. Each is the xxhash of the words joined by single spaces.
func BlockHashes(prompt string, size int) []uint64 {
	var out []uint64
	d := xxhash.New()
	n := 0
	for word := range strings.FieldsSeq(prompt) {
		if n > 0 {
			_, _ = d.WriteString(" ")
		}
		_, _ = d.WriteString(word)
		n++
		if n%size == 0 {
			out = append(out, d.Sum64())
		}
	}
	return out
}
