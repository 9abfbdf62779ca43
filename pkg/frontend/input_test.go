package frontend

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/driver"
	"github.com/mulberrystream/mulberrystream/pkg/ingress"
	"github.com/mulberrystream/mulberrystream/pkg/keyring"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

func TestFrontend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "frontend")
}

// refusingRouter panics when a request that the front end must refuse reaches the
// router.
type refusingRouter struct{ rules *ruleset.Rules }

func (r refusingRouter) Complete(*driver.Completion) *driver.Call {
	panic("a bad request reached the router")
}

func (r refusingRouter) Call(*driver.ServiceRequest) *driver.Call {
	panic("a bad request reached the router")
}

func (r refusingRouter) Rules() *driver.Rules { return &driver.Rules{Rules: r.rules, Revision: 1} }
func (r refusingRouter) Ready() bool          { return true }

type nopMeter struct{}

func (nopMeter) Completed(*driver.Completion, Timing, driver.End) {}

const testKey = "acme-1.secret"

func testRules() *ruleset.Rules {
	salt := []byte("01234567")
	hash := keyring.Hash(salt, "secret")
	text := fmt.Sprintf(`domain d1 slots 1 # platform team
organisation acme rate 1000 burst 1000 weight 1 prefer refuse # sales
model lm versions v1 # model team
allow acme lm # sales
allow acme desk # sales
route /desk service desk once keyed cost 1 # desk team
key acme-1 organisation acme salt %s hash %s # desk team
`, hex.EncodeToString(salt), hex.EncodeToString(hash[:]))
	rules, err := ruleset.Parse([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return rules
}

// serve starts a front-end server and returns its address.
func serve(cfg Config) string {
	GinkgoHelper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	guard := ingress.New(ingress.Config{Settings: ingress.DefaultSettings(), Log: zap.NewNop()})
	s := New(cfg, zap.NewNop(), refusingRouter{rules: testRules()}, nopMeter{}, guard)
	done := make(chan error, 1)
	go func() { done <- s.Serve(guard.Listen(ln, ingress.Callers, false)) }()
	DeferCleanup(func(ctx SpecContext) {
		Expect(s.Shutdown(ctx)).To(Succeed())
		Expect(<-done).To(Succeed())
	})
	return ln.Addr().String()
}

// roundTrip sends raw bytes and returns the status and the error of the response.
func roundTrip(addr, raw string) (int, errorDetail) {
	GinkgoHelper()
	conn, err := net.Dial("tcp", addr)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, raw) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var body errorBody
	Expect(json.NewDecoder(resp.Body).Decode(&body)).To(Succeed())
	return resp.StatusCode, body.Error
}

// post renders a completion request.
func post(header, body string) string {
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

const (
	authorized = "Authorization: Bearer " + testKey + "\r\n"
	jsonType   = "Content-Type: application/json\r\n"
	goodBody   = `{"model":"lm","prompt":"a b","max_tokens":1}`
)

var _ = Describe("Bad input", func() {
	DescribeTable("is refused with a 4xx status, its error code and ran set to \"not run\"",
		func(raw string, status int, code string) {
			got, detail := roundTrip(serve(DefaultConfig()), raw)
			Expect(got).To(Equal(status), detail.Message)
			Expect(string(detail.Code)).To(Equal(code))
			Expect(string(detail.Ran)).To(Equal("not run"))
			Expect(detail.Message).NotTo(BeEmpty())
			Expect(detail.Message).NotTo(ContainSubstring("secret"))
		},
		Entry("no key", post(jsonType, goodBody), 401, "missing_key"),
		Entry("another scheme", post("Authorization: Basic x\r\n"+jsonType, goodBody), 401, "missing_key"),
		Entry("unknown key", post("Authorization: Bearer other.secret\r\n"+jsonType, goodBody), 401, "invalid_key"),
		Entry("wrong secret", post("Authorization: Bearer acme-1.secreT\r\n"+jsonType, goodBody), 401, "invalid_key"),
		Entry("wrong content type", post(authorized+"Content-Type: text/plain\r\n", goodBody), 415, "unsupported_content_type"),
		Entry("invalid JSON", post(authorized+jsonType, `{"model":`), 400, "bad_request"),
		Entry("wrong type of a field", post(authorized+jsonType, `{"model":7}`), 400, "bad_request"),
		Entry("no model", post(authorized+jsonType, `{"prompt":"a"}`), 400, "bad_request"),
		Entry("no prompt", post(authorized+jsonType, `{"model":"lm"}`), 400, "bad_request"),
		Entry("blank prompt", post(authorized+jsonType, `{"model":"lm","prompt":"  "}`), 400, "bad_request"),
		Entry("zero max_tokens", post(authorized+jsonType, `{"model":"lm","prompt":"a","max_tokens":0}`), 400, "bad_request"),
		Entry("max_tokens above the limit", post(authorized+jsonType, `{"model":"lm","prompt":"a","max_tokens":99999999}`), 400, "bad_request"),
		Entry("wrong method", "GET /v1/completions HTTP/1.1\r\nHost: x\r\n\r\n", 405, "method_not_allowed"),
		Entry("unknown API call", "GET /v1/nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404, "unknown_route"),
		Entry("unknown route", "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404, "unknown_route"),
		Entry("keyed route without key", "POST /desk HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 401, "missing_key"),
		Entry("long idempotency key", "POST /desk HTTP/1.1\r\nHost: x\r\n"+authorized+"Idempotency-Key: "+
			strings.Repeat("k", 300)+"\r\nContent-Length: 0\r\n\r\n", 400, "bad_request"),
		Entry("key in the URI", "POST /desk?key="+testKey+" HTTP/1.1\r\nHost: x\r\n"+authorized+"Content-Length: 0\r\n\r\n", 400, "bad_request"),
		Entry("key in the body", "POST /desk HTTP/1.1\r\nHost: x\r\n"+authorized+
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(testKey), testKey), 400, "bad_request"),
		Entry("garbage", "\x00\x01 garbage\r\n\r\n", 400, "bad_request"),
	)

	It("with an oversized body or header is refused, so that memory stays bounded", func() {
		cfg := DefaultConfig()
		cfg.MaxBodyBytes = 1000
		cfg.MaxHeaderBytes = 2000
		addr := serve(cfg)
		status, _ := roundTrip(addr, post(authorized+jsonType, strings.Repeat("x", 2000)))
		Expect(status).To(Equal(413))
		status, _ = roundTrip(addr, "GET /x HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("y", 5000)+"\r\n\r\n")
		Expect(status).To(Equal(431))
	})

	It("that never ends closes the connection after the read timeout", func() {
		cfg := DefaultConfig()
		cfg.ReadTimeout = 50 * time.Millisecond
		conn, err := net.Dial("tcp", serve(cfg))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred(), "the server must close the connection")
	})
})

// FuzzParseCompletion guards against a body that makes the parser panic, that it
// accepts with values out of range, or that gets a wrong number of blocks.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(goodBody), false)
	f.Add([]byte(`{"model":"lm","messages":[{"role":"user","content":"a b c"}],"stream":true}`), true)
	f.Add([]byte(`{"model":"lm","prompt":"\u0000 \ud800","max_tokens":-1}`), false)
	f.Add([]byte(`[]`), true)
	cfg := DefaultConfig()
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		c, err := parseCompletion(body, chat, cfg)
		if err != nil {
			return
		}
		if c.Model == "" || c.PromptTokens < 1 || c.MaxTokens < 1 || c.MaxTokens > cfg.MaxTokens {
			t.Errorf("accepted %+v", c)
		}
		if len(c.Prefix) != c.PromptTokens/blockTokens {
			t.Errorf("%d blocks for %d tokens", len(c.Prefix), c.PromptTokens)
		}
	})
}
