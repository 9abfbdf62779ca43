package e2e_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// answer is what a caller got.
type answer struct {
	status   int
	text     string
	done     bool // the stream ended with its terminator
	code     string
	ran      string
	retry    string
	readErr  error
	tokens   int
	complete bool
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type streamPart struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// ask sends a completion request and reads the answer. onPart is called after
// each streamed part.
func ask(ctx context.Context, addr, key string, r completionRequest, onPart func(int)) answer {
	body, err := json.Marshal(r)
	if err != nil {
		return answer{readErr: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return answer{readErr: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{readErr: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, retry: resp.Header.Get("Retry-After")}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(resp.Body, onPart)
		return a
	}
	a.readWhole(resp.Body)
	return a
}

func (a *answer) readWhole(r io.Reader) {
	var p streamPart
	if a.readErr = json.NewDecoder(r).Decode(&p); a.readErr != nil {
		return
	}
	a.take(p)
	a.complete = p.Error == nil
}

func (a *answer) readStream(r io.Reader, onPart func(int)) {
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				a.readErr = err
			}
			return
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.done = true
			a.complete = a.code == ""
			continue
		}
		var p streamPart
		if a.readErr = json.Unmarshal([]byte(data), &p); a.readErr != nil {
			return
		}
		a.take(p)
		if onPart != nil {
			onPart(a.tokens)
		}
	}
}

func (a *answer) take(p streamPart) {
	if p.Error != nil {
		a.code, a.ran = p.Error.Code, p.Error.Ran
		return
	}
	for _, c := range p.Choices {
		a.text += c.Text
		a.tokens = len(strings.Fields(a.text))
	}
}

// words returns a prompt of n words that differs with seed.
func words(seed string, n int) string {
	var sb strings.Builder
	for i := range n {
		fmt.Fprintf(&sb, "%s-%d ", seed, i)
	}
	return strings.TrimSpace(sb.String())
}

// call sends a request to a plain service.
func call(addr, method, path, key, body string, header map[string]string) answer {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return answer{readErr: err}
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{readErr: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, retry: resp.Header.Get("Retry-After")}
	text, err := io.ReadAll(resp.Body)
	a.readErr = err
	a.text = string(text)
	var p streamPart
	if json.Unmarshal(text, &p) == nil && p.Error != nil {
		a.code, a.ran = p.Error.Code, p.Error.Ran
	}
	return a
}
