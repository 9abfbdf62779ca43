// Command demo runs the main job on stand-ins: entry hosts as processes, engines
// and services of Bagmati's size, and one request of each kind. It prints what
// happened to each.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"

	"github.com/google/uuid"

	"github.com/mulberrystream/mulberrystream/internal/caller"
	"github.com/mulberrystream/mulberrystream/internal/content"
	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/internal/record"
)

const (
	rulesFile = "examples/bagmati.rules"
	key       = "everest-1.demo-secret-everest-1"
	model     = "inspect-lm"
	hosts     = 8
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// demo is a running fleet.
type demo struct {
	fleet *fleet.Fleet
	rules string
}

func run() error {
	text, err := os.ReadFile(rulesFile)
	if err != nil {
		return fmt.Errorf("read %s (run make demo at the root of the repository): %w", rulesFile, err)
	}
	plan := fake.BagmatiPlan()
	plan.Version = "v7"
	fmt.Printf("starting %d entry hosts in %s before %d engines; a new fleet waits 5 s before it mints tokens\n",
		hosts, joined(plan.Domains), len(plan.Domains)*(plan.Prefills+plan.Decodes))
	f, err := fleet.Start(fleet.Options{Plan: plan, Fake: fake.Options{Seed: 1, Rules: string(text)}, Hosts: hosts})
	if err != nil {
		return err
	}
	defer f.Close()
	d := demo{fleet: f, rules: string(text)}
	for _, step := range []func() error{
		d.answers, d.refusals, d.services, d.engineLost, d.keyWithdrawn, d.gracefulStop,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func joined[T ~string](list []T) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = string(s)
	}
	return strings.Join(out, ", ")
}

func (d demo) addr(i int) string { return d.fleet.Hosts[i].Caller }

// say prints what happened to one request.
func say(what string, a caller.Answer) {
	result := fmt.Sprintf("%d tokens, complete", a.Tokens)
	if !a.Complete {
		result = fmt.Sprintf("status %d, code %s, ran: %s", a.Status, a.Code, a.Ran)
	}
	if a.Retry != "" {
		result += ", retry after " + a.Retry + " s"
	}
	fmt.Printf("  %-58s %s\n", what, result)
}

// served asks until the organisation's new bucket has filled.
func (d demo) served(i int, r caller.Request, onPart func(int)) (caller.Answer, error) {
	var a caller.Answer
	err := fleet.Await("tokens in the bucket", func() bool {
		a = caller.Ask(context.Background(), d.addr(i), key, r, onPart)
		return a.Code != "rate_limited"
	})
	return a, err
}

func (d demo) answers() error {
	fmt.Println("answers:")
	for i := range 4 {
		r := caller.Request{Model: model, Prompt: caller.Words(fmt.Sprint("report-", i), 400), MaxTokens: 30, Stream: i%2 == 0}
		a, err := d.served(i, r, nil)
		if err != nil {
			return err
		}
		if a.Complete && a.Text != content.Answer(r.Prompt, r.MaxTokens) {
			return fmt.Errorf("answer %d differs from what the engine was to write", i)
		}
		say(fmt.Sprintf("400 tokens of prompt at %s, streamed %v", d.fleet.Hosts[i].ID, r.Stream), a)
	}
	return nil
}

func (d demo) refusals() error {
	fmt.Println("refusals:")
	short := caller.Request{Model: model, Prompt: "a short report", MaxTokens: 5}
	say("unknown key", caller.Ask(context.Background(), d.addr(0), "nobody.secret", short, nil))
	other := short
	other.Model = "no-such-model"
	say("unknown model", caller.Ask(context.Background(), d.addr(0), key, other, nil))
	large := short
	large.Prompt = caller.Words("large", 61000)
	say("request above the organisation's burst", caller.Ask(context.Background(), d.addr(0), key, large, nil))
	return nil
}

func (d demo) services() error {
	fmt.Println("plain services:")
	header, first, err := d.firstRefund()
	if err != nil {
		return err
	}
	sayCall("refund at "+string(d.fleet.Hosts[0].ID), first)
	for i := 1; i < 3; i++ {
		a := caller.Call(d.addr(i), "POST", "/counter/refunds", key, "deposit 17", header)
		sayCall("the same Idempotency-Key at "+string(d.fleet.Hosts[i].ID), a)
	}
	runs := d.fleet.Deployment.Log.Find(func(r record.Record) bool { return r.Kind == record.Start && r.Step == "call" })
	fmt.Printf("  the service ran the refund %d time(s)\n", len(runs))
	a := caller.Call(d.addr(0), "GET", "/counter/hours", "", "", nil)
	sayCall("opening hours, a route open to all", a)
	return nil
}

// firstRefund sends a refund under a new key until the owner of the key can tell
// that it is new, which a fresh fleet cannot for its first ten seconds.
func (d demo) firstRefund() (map[string]string, caller.Answer, error) {
	var header map[string]string
	var a caller.Answer
	err := fleet.Await("a fleet old enough to judge keys", func() bool {
		header = map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
		a = caller.Call(d.addr(0), "POST", "/counter/refunds", key, "deposit 17", header)
		return a.Code != "outcome_unknown"
	})
	return header, a, err
}

// sayCall prints what a plain service answered.
func sayCall(what string, a caller.Answer) {
	fmt.Printf("  %-58s status %d %s\n", what, a.Status, a.Text)
}

func (d demo) engineLost() error {
	fmt.Println("a decode engine dies in mid-stream:")
	var once sync.Once
	r := caller.Request{Model: model, Prompt: caller.Words("resumed", 200), MaxTokens: 60, Stream: true}
	a, err := d.served(0, r, func(tokens int) {
		if tokens >= 10 {
			once.Do(d.crashDecoder)
		}
	})
	if err != nil {
		return err
	}
	say("stream that was at token 10", a)
	if a.Complete && a.Text != content.Answer(r.Prompt, r.MaxTokens) {
		return fmt.Errorf("the resumed answer lost or repeated tokens")
	}
	return nil
}

// crashDecoder crashes the engine that handed out the latest token.
func (d demo) crashDecoder() {
	records := d.fleet.Deployment.Records()
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].Kind != record.Token {
			continue
		}
		if b, err := d.fleet.Deployment.Backend(records[i].Server); err == nil {
			b.Crash()
		}
		return
	}
}

func (d demo) gracefulStop() error {
	fmt.Println("graceful stop in mid-stream:")
	h := d.fleet.Hosts[1]
	var once sync.Once
	r := caller.Request{Model: model, Prompt: caller.Words("stopping", 100), MaxTokens: 60, Stream: true}
	himal := "himal-1.demo-secret-himal-1"
	a := caller.Ask(context.Background(), h.Caller, himal, r, func(int) { once.Do(h.Terminate) })
	say("stream at "+string(h.ID)+", which was told to stop", a)
	<-h.Done()
	fmt.Printf("  %s exited with: %v\n", h.ID, h.Err())
	return nil
}

func (d demo) keyWithdrawn() error {
	fmt.Println("a key is withdrawn in mid-stream:")
	var once sync.Once
	r := caller.Request{Model: model, Prompt: caller.Words("withdrawn", 100), MaxTokens: 5000, Stream: true}
	a, err := d.served(0, r, func(int) {
		once.Do(func() { d.fleet.Deployment.Platform.Publish(2, d.withoutKey("everest-1")) })
	})
	if err != nil {
		return err
	}
	say("stream of that key", a)
	return nil
}

func (d demo) withoutKey(id string) string {
	var out []string
	for line := range strings.SplitSeq(d.rules, "\n") {
		if !strings.HasPrefix(line, "key "+id+" ") {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}
