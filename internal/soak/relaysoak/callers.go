package relaysoak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

const (
	// callers is the number of callers. Each has its own connections and sends one call
	// at a time.
	callers = 10
	// deadline is the deadline that callers request, and deadlineSlack how much later an
	// answer may arrive on a busy machine.
	deadline      = 3 * time.Second
	deadlineSlack = 3 * time.Second
	// disconnectShare is the share of calls whose caller disconnects early.
	disconnectShare = 0.08
	// lossShare is that share for streams, which the caller then resumes.
	lossShare = 0.3
	// streamEvents is the number of events of a stream.
	streamEvents = 12
)

// call is one request of a caller and its result.
type call struct {
	id, path, key string
	host          string
	sent          time.Time
	duration      time.Duration
	disconnects   bool   // the caller closes its connection early
	sentBody      string // empty for one of its own
	resumes       *call  // that began the stream; nil if this one does
	after         int    // events that the caller has received before
	status        int
	header        http.Header
	body          string
	err           error
}

// caller sends one request after the other until stop is closed.
func (x *run) caller(number int, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		c := x.prepare(number, n)
		x.send(client, c)
		x.mu.Lock()
		x.calls = append(x.calls, c)
		x.mu.Unlock()
		if c.broken() {
			again := x.resume(client, c)
			x.mu.Lock()
			x.calls = append(x.calls, again...)
			x.mu.Unlock()
		}
		if c.status != http.StatusOK {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// crashBody begins the bodies of requests that crash servers, and crashInterval is how often
// such a request comes again.
const (
	crashBody     = "crash-"
	crashInterval = 250 * time.Millisecond
)

// repeat sends one request again and again, as another attempt each time, until stop is closed.
func (x *run) repeat(body string, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(crashInterval):
		}
		c := &call{id: fmt.Sprintf("%d-%s-%d", x.seed, body, n), key: x.key(), path: "/read/" + body, sentBody: body}
		x.send(client, c)
		x.mu.Lock()
		x.calls = append(x.calls, c)
		x.mu.Unlock()
	}
}

func (x *run) prepare(number, n int) *call {
	key := x.key()
	x.mu.Lock()
	defer x.mu.Unlock()
	kind := []string{"verdict", "summary", "post", "read", "open"}[x.rng.IntN(5)]
	id := fmt.Sprintf("%d-%d-%d", x.seed, number, n)
	share := disconnectShare
	if kind == "summary" {
		share = lossShare
	}
	return &call{
		id: id, key: key, disconnects: x.rng.Float64() < share,
		path: fmt.Sprintf("/%s/%s", kind, id),
	}
}

func (x *run) send(client *http.Client, c *call) {
	x.mu.Lock()
	host := x.d.hosts[x.rng.IntN(len(x.d.hosts))]
	timeout := deadline + deadlineSlack
	if c.disconnects {
		timeout = time.Duration(x.rng.Int64N(int64(300 * time.Millisecond)))
	}
	c.host = host.settings.Name
	x.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	method, body := http.MethodPost, io.Reader(strings.NewReader("body of "+c.id))
	if strings.HasPrefix(c.path, "/read") || strings.HasPrefix(c.path, "/open") {
		method, body = http.MethodGet, nil
	}
	if c.sentBody != "" {
		method, body = http.MethodPost, strings.NewReader(c.sentBody)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host.settings.Front+c.path, body)
	if err != nil {
		c.err = err
		return
	}
	req.Host = "x.example"
	req.Header.Set("X-Attempt-Id", c.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("X-Model", "m")
	if c.resumes != nil {
		req.Header.Set("Last-Event-Id", fmt.Sprint(c.after))
		req.Header.Set("Resumes", c.resumes.id)
	}
	if c.isStream() {
		req.Header.Set("X-Token-Usage", "5000,200")
	}
	c.sent = time.Now()
	defer func() { c.duration = time.Since(c.sent) }()
	resp, err := client.Do(req)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	c.status, c.header = resp.StatusCode, resp.Header
	text, err := io.ReadAll(resp.Body)
	c.body, c.err = string(text), err
}

// isStream reports whether the answer is a stream.
func (c *call) isStream() bool {
	return strings.HasPrefix(c.path, "/verdict") || strings.HasPrefix(c.path, "/summary")
}

// complete reports whether a successful call got the complete answer to its own request.
func (c *call) complete() bool {
	if c.isStream() {
		parts := c.parts()
		if len(parts) == 0 {
			// An engine ends a stream without events if the caller has received all.
			return c.after == streamEvents && c.body == ""
		}
		var want strings.Builder
		for i := c.after; i < streamEvents; i++ {
			want.WriteString(platformtest.EventOf(parts[0].Version, i+1, c.id))
		}
		return c.body == want.String()
	}
	return strings.HasPrefix(c.body, "answer of ") && strings.HasSuffix(c.body, " to "+c.id)
}
