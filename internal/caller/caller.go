// Package caller is a minimal client for the router's public API, used by tests and
// the demo.
package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Answer is the response to a request, as the caller received it.
type Answer struct {
	Status     int
	Text       string
	Done       bool   // the stream ended with its terminator
	Code       string // error code
	Ran        string // whether the failed request ran: not run, ran or unknown
	RetryAfter string // Retry-After header
	Err        error  // transport or decoding error
	Tokens     int
	Complete   bool // ended with its terminator or as a whole body, without an error
}

// Request is the body of a completion request.
type Request struct {
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

// Ask sends a completion request and reads the answer. After each streamed part it
// calls onPart, unless nil, with the number of tokens received so far.
func Ask(ctx context.Context, addr, key string, r Request, onPart func(int)) Answer {
	return AskWith(ctx, http.DefaultClient, "http://"+addr, key, r, onPart)
}

// AskWith is like Ask but uses the given client and base URL, such as
// "https://127.0.0.1:8080".
func AskWith(ctx context.Context, client *http.Client, base, key string, r Request, onPart func(int)) Answer {
	body, err := json.Marshal(r)
	if err != nil {
		return Answer{Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := Answer{Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After")}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(resp.Body, onPart)
		return a
	}
	a.readJSON(resp.Body)
	return a
}

func (a *Answer) readJSON(r io.Reader) {
	var p streamPart
	if a.Err = json.NewDecoder(r).Decode(&p); a.Err != nil {
		return
	}
	a.addPart(p)
	a.Complete = p.Error == nil
}

func (a *Answer) readStream(r io.Reader, onPart func(int)) {
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				a.Err = err
			}
			return
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Done = true
			a.Complete = a.Code == ""
			continue
		}
		var p streamPart
		if a.Err = json.Unmarshal([]byte(data), &p); a.Err != nil {
			return
		}
		a.addPart(p)
		if onPart != nil {
			onPart(a.Tokens)
		}
	}
}

func (a *Answer) addPart(p streamPart) {
	if p.Error != nil {
		a.Code, a.Ran = p.Error.Code, p.Error.Ran
		return
	}
	for _, c := range p.Choices {
		a.Text += c.Text
		a.Tokens += len(strings.Fields(c.Text))
	}
}

// Words returns a prompt of n words that is distinct for each seed.
func Words(seed string, n int) string {
	var sb strings.Builder
	for i := range n {
		fmt.Fprintf(&sb, "%s-%d ", seed, i)
	}
	return strings.TrimSpace(sb.String())
}

// Call sends a request to a plain service and reads the answer.
func Call(addr, method, path, key, body string, header map[string]string) Answer {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := Answer{Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After")}
	text, err := io.ReadAll(resp.Body)
	a.Err = err
	a.Text = string(text)
	var p streamPart
	if json.Unmarshal(text, &p) == nil && p.Error != nil {
		a.Code, a.Ran = p.Error.Code, p.Error.Ran
	}
	return a
}
