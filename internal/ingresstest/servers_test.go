package ingresstest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

const (
	// badServers is the number of servers that misbehave. A host suspends one that fails.
	badServers = 60
	// serverCallers is the number of callers whose requests go to them at the same time.
	serverCallers = 300
)

// endless is what a server sends as its answer: a head in which ID stands for that of the
// request, and bytes that it repeats until the connection is closed.
type endless struct {
	name, service, stage, path string
	head, block                string
}

const (
	okHead   = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Signature: s\r\n"
	failHead = "HTTP/1.1 500 Failed\r\nX-Attempt-Id: ID\r\n"
	chunked  = "Transfer-Encoding: chunked\r\n\r\n"
)

var endlessAnswers = []endless{
	{"bytes that are no answer", "app", "", "/post/", "", "\x00"},
	{"fields of the head", "app", "", "/post/", okHead, "A: b\r\n"},
	{"a body without a length", "app", "", "/post/", okHead + "\r\n", "x"},
	{"chunks", "app", "", "/post/", okHead + chunked, "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	{"the body of a failure", "app", "", "/post/", failHead + "Content-Length: 8000000\r\n\r\n", "x"},
	{"one event of a stream", "lm", "decode", "/verdict/", okHead + chunked, "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	{"one event without a length", "lm", "decode", "/verdict/", okHead + "\r\n", "x"},
	{"the body of a stream's failure", "lm", "decode", "/verdict/", failHead + chunked, "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	{"the answer of a prefill", "lm", "prefill", "/verdict/", okHead + "\r\n", "x"},
}

// TestEndlessAnswers guards against servers whose answers have no end, which exceed the memory
// of the process that called them, so that it ends with the requests of all other callers.
func TestEndlessAnswers(t *testing.T) {
	for _, e := range endlessAnswers {
		t.Run(e.name, func(t *testing.T) { answerEndlessly(t, e) })
	}
}

// answer sends the endless answer to one request.
func (e endless) answer(c net.Conn, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		_, _ = io.WriteString(c, platformtest.ReservationAnswer)
		return
	}
	block := strings.Repeat(e.block, 1+4096/len(e.block))
	_, err := io.WriteString(c, strings.ReplaceAll(e.head, "ID", r.Header.Get("X-Attempt-Id")))
	for err == nil {
		_, err = io.WriteString(c, block)
	}
}

func answerEndlessly(t *testing.T, e endless) {
	g := gomega.NewWithT(t)
	var bad []*platformtest.RawServer
	add := func(id, stage string) {
		s, err := platformtest.NewRawServer(id, e.service, stage, e.answer)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(s.Close)
		bad = append(bad, s)
	}
	for i := range badServers {
		add(fmt.Sprint("bad-", i), e.stage)
	}
	if e.stage == "prefill" {
		add("decode", "decode")
	}
	p := startProcess(t, bad...)
	before := 0
	for _, s := range bad {
		before += len(s.Requests())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	stop := make(chan struct{})
	running.Go(func() { p.sample(stop) })
	for i := range serverCallers {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				p.request(ctx, fmt.Sprint(e.path, i, "-", n))
			}
		})
	}
	time.Sleep(holdTime)
	g.Eventually(p.ordinaryRequest, answerTimeout, 20*time.Millisecond).Should(gomega.Succeed(), "the ordinary request was not answered")
	cancel()
	close(stop)
	running.Wait()
	reached := -before
	for _, s := range bad {
		reached += len(s.Requests())
	}
	t.Logf("peak resident memory %d kB of %d, %d requests reached the servers", p.peakKB, memoryMB<<10, reached)
	g.Expect(p.alive()).To(gomega.BeTrue(), "the process has ended")
	g.Expect(reached).To(gomega.BeNumerically(">", badServers))
	g.Expect(p.peakKB).To(gomega.BeNumerically(">", 0), "resident memory was not read")
	g.Expect(p.peakKB).To(gomega.BeNumerically("<", memoryMB<<10), "resident memory in kB")
}

// request sends a request and drops what it gets.
func (p *process) request(ctx context.Context, path string) {
	req, err := p.newRequest(ctx, path, strings.ReplaceAll(path, "/", "-"), "body")
	if err != nil {
		return
	}
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Usage", "50,80")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
