package sendonce_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// stutterer answers the calls of each connection in order, each with a body of its own. With
// the bytes of script it decides which answers of the connection it repeats before and after
// the next one.
type stutterer struct {
	ln      net.Listener
	forgets bool // leaves some IDs out of the first answer of a connection
	mu      sync.Mutex
	script  []byte
	conns   []net.Conn
	answers int
	owner   map[string]int // the number of the call that a body answers
}

func newStutterer(tb testing.TB, script []byte, forgets bool) *stutterer {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	p := &stutterer{ln: ln, forgets: forgets, script: script, owner: map[string]int{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, c)
			p.mu.Unlock()
			go p.serve(c)
		}
	}()
	return p
}

func (p *stutterer) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

func (p *stutterer) serve(c net.Conn) {
	var earlier []string
	br := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(br) != nil {
			return
		}
		var number int
		if _, err := fmt.Sscan(string(req.Header.Peek("Number")), &number); err != nil {
			return
		}
		answer, parts := p.next(number, string(req.Header.Peek(echo)), earlier)
		earlier = append(earlier, answer)
		for _, part := range parts {
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
		}
	}
}

// next returns the answer to a call, and what is written for the call: the answer and copies.
func (p *stutterer) next(number int, id string, earlier []string) (answer string, parts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers++
	body := fmt.Sprint("answer ", p.answers)
	p.owner[body] = number
	status := 200
	if p.draw()%3 == 0 {
		status = 503
	}
	if p.forgets && len(earlier) == 0 && p.draw()%2 == 0 {
		id = ""
	}
	answer = answerTo(status, id, body)
	if p.draw()%4 == 0 {
		head, _, _ := strings.Cut(answer, "Content-Length")
		answer = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	repeat := func(most byte, answers []string) {
		for n := p.draw() % most; n > 0 && len(answers) > 0; n-- {
			parts = append(parts, answers[int(p.draw())%len(answers)])
		}
	}
	repeat(4, earlier)
	parts = append(parts, answer)
	repeat(2, append(slices.Clone(earlier), answer))
	return answer, parts
}

// draw returns the next byte of the script, or 1 at its end.
func (p *stutterer) draw() byte {
	if len(p.script) == 0 {
		return 1
	}
	b := p.script[0]
	p.script = p.script[1:]
	return b
}

// checkStutter makes calls, some at the same time, to a peer that repeats earlier answers.
// Since the right answer follows, each call must get it. Only if the peer forgets IDs may a
// call fail, because a copy of an answer without an ID belongs to no call.
func checkStutter(tb testing.TB, calls, script []byte, forgets bool) {
	tb.Helper()
	p := newStutterer(tb, script, forgets)
	defer p.close()
	c := sendonce.New(p.ln.Addr().String(), sendonce.Options{EchoHeader: echo, MaxIdle: 3})
	defer c.Close()
	var wg sync.WaitGroup
	for i, b := range calls {
		// Few IDs, so that some calls have the ID of an earlier one, and some have none.
		id := ""
		if b%8 != 0 {
			id = fmt.Sprint(b % 8)
		}
		one := call
		if b&16 != 0 {
			one = streamed
		}
		wg.Go(func() {
			body, err := one(c, id, i)
			if forgets && errors.Is(err, sendonce.ErrUnrelated) {
				return
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			if owner, known := p.owner[body]; err != nil || !known || owner != i {
				tb.Errorf("call %d with ID %q: %q, which answers %d: %v", i, id, body, owner, err)
			}
		})
		if b&96 != 0 {
			wg.Wait()
		}
	}
	wg.Wait()
}

func numbered(c *sendonce.Client, id string, number int) *fasthttp.Request {
	req := newCall(c, id)
	req.Header.Set("Number", fmt.Sprint(number))
	return req
}

func call(c *sendonce.Client, id string, number int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp := fasthttp.AcquireResponse()
	err := c.Do(ctx, numbered(c, id, number), resp)
	return string(resp.Body()), err
}

func streamed(c *sendonce.Client, id string, number int) (string, error) {
	s, err := c.Stream(context.Background(), numbered(c, id, number), 10*time.Second)
	if err != nil {
		return "", err
	}
	defer s.Close()
	body, err := io.ReadAll(s)
	return string(body), err
}

// TestStutter guards against calls that get the answer to another call, or lose their own,
// because the peer repeats any earlier answer at any time.
func TestStutter(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 31))
			calls, script := make([]byte, 40), make([]byte, 400)
			for i := range calls {
				calls[i] = byte(rng.Uint32())
			}
			for i := range script {
				script[i] = byte(rng.Uint32())
			}
			checkStutter(t, calls, script, seed%2 == 1)
		})
	}
}

// FuzzStutter is TestStutter with calls and a peer that the fuzzer chooses.
func FuzzStutter(f *testing.F) {
	f.Add([]byte{1, 33, 2, 34, 0, 32, 17, 49, 65, 64}, []byte{1, 1, 3, 0, 1, 2, 3, 0, 0, 3, 1, 0, 2, 1, 3, 2, 1, 0}, false)
	f.Add([]byte{33, 32, 34, 32}, []byte{3, 0, 1, 0, 0, 3, 0, 0}, true)
	f.Fuzz(func(t *testing.T, calls, script []byte, forgets bool) {
		checkStutter(t, calls[:min(len(calls), 32)], script, forgets)
	})
}
