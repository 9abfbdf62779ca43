package frontend

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrystream/mulberrystream/pkg/driver"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// blockTokens is the number of tokens per KV cache block.
const blockTokens = 1000

// completionBody is the JSON of POST /v1/completions and /v1/chat/completions.
// Fields that the router does not use are ignored.
type completionBody struct {
	Model     string    `json:"model"`
	Adapter   string    `json:"adapter"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens *int      `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is a parsed and validated request.
type completion struct {
	driver.Completion
	stream bool
}

var (
	errNoModel    = errors.New("field model is missing or empty")
	errNoPrompt   = errors.New("field prompt is missing or empty")
	errNoMessages = errors.New("field messages is missing or empty")
)

// parseCompletion parses and validates the body of a completion request.
func parseCompletion(body []byte, chat bool, cfg Config) (completion, error) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return completion{}, fmt.Errorf("body is not a valid JSON request: %w", err)
	}
	if b.Model == "" {
		return completion{}, errNoModel
	}
	prompt, err := buildPrompt(b, chat)
	if err != nil {
		return completion{}, err
	}
	maxTokens := cfg.DefaultMaxTokens
	if b.MaxTokens != nil {
		maxTokens = *b.MaxTokens
	}
	if maxTokens < 1 || maxTokens > cfg.MaxTokens {
		return completion{}, fmt.Errorf("field max_tokens is %d, allowed are 1 to %d", maxTokens, cfg.MaxTokens)
	}
	words := strings.Fields(prompt)
	if len(words) == 0 {
		return completion{}, errNoPrompt
	}
	return completion{
		stream: b.Stream,
		Completion: driver.Completion{
			Model:        ident.Model(b.Model),
			Adapter:      ident.Version(b.Adapter),
			Prompt:       prompt,
			PromptTokens: len(words),
			MaxTokens:    maxTokens,
			Prefix:       prefixBlocks(words),
		},
	}, nil
}

func buildPrompt(b completionBody, chat bool) (string, error) {
	if !chat {
		if b.Prompt == "" {
			return "", errNoPrompt
		}
		return b.Prompt, nil
	}
	if len(b.Messages) == 0 {
		return "", errNoMessages
	}
	var sb strings.Builder
	for _, m := range b.Messages {
		sb.WriteString(m.Role)
		sb.WriteString(": ")
		sb.WriteString(m.Content)
		sb.WriteByte('\n')
	}
	return sb.String(), nil
}

// prefixBlocks returns the hash of the prompt up to the end of each full block, as
// engines compute it for their cache events: xxhash of the words joined by one
// space. Two prompts share cached blocks exactly as far as their hashes match.
func prefixBlocks(words []string) []uint64 {
	if len(words) < blockTokens {
		return nil
	}
	out := make([]uint64, 0, len(words)/blockTokens)
	h := xxhash.New()
	for i, w := range words {
		if i > 0 {
			_, _ = h.WriteString(" ")
		}
		_, _ = h.WriteString(w)
		if (i+1)%blockTokens == 0 {
			out = append(out, h.Sum64())
		}
	}
	return out
}
