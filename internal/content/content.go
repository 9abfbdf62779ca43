// Package content derives the answer of a stand-in from its request, so that a
// caller can verify its own answer byte for byte.
//
// One token is one whitespace-separated word, for prompts and for output. An
// output token is a word with a trailing space.
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

// Of returns the hash of a prompt.
func Of(prompt string) Hash { return Hash(xxhash.Sum64String(prompt)) }

// OfCall returns the hash of a call of a plain service.
func OfCall(method, path string, body []byte) Hash {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + path + "\n")
	_, _ = d.Write(body)
	return Hash(d.Sum64())
}

// Count returns the number of tokens of a prompt.
func Count(prompt string) int { return len(strings.Fields(prompt)) }

// Token returns the i-th output token, such as "a1b2c3d4-0 ".
func Token(h Hash, i int) string {
	return fmt.Sprintf("%08x-%d ", uint32(h), i)
}

// stopPrefix marks the word of a prompt that ends its answer early.
const stopPrefix = "stop="

// StopWord returns a word that makes the answer of a prompt end after n tokens.
func StopWord(n int) string { return stopPrefix + strconv.Itoa(n) }

// Length returns the number of output tokens of a prompt: its stop word if that is
// less than maxTokens.
func Length(prompt string, maxTokens int) int {
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

// Answer returns the whole answer to a prompt.
func Answer(prompt string, maxTokens int) string {
	h := Of(prompt)
	var b strings.Builder
	for i := range Length(prompt, maxTokens) {
		b.WriteString(Token(h, i))
	}
	return b.String()
}

// CallAnswer returns the answer of a plain service to a call.
func CallAnswer(h Hash) string { return fmt.Sprintf(`{"call":%q,"ok":true}`, h) }

// Blocks returns the hash of each prefix of size, 2*size and so on tokens: the
// xxhash of the words joined by one space.
func Blocks(prompt string, size int) []uint64 {
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
