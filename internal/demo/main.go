// Command demo starts entry hosts as processes in front of fake engines and services
// of the size of the Bagmati deployment, sends requests of each kind and prints
// the outcome of each.
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
	callerKey = "everest-1.demo-secret-everest-1"
	model     = "inspect-lm"
	hostCount = 8
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
	fmt.Printf("starting %d entry hosts in %s in front of %d engines; a new fleet waits 5 s before it issues rate-limit tokens\n",
		hostCount, joinStrings(plan.Domains), len(plan.Domains)*(plan.Prefills+plan.Decodes))
	f, err := fleet.Start(fleet.Options{Plan: plan, Fake: fake.Options{Seed: 1, Rules: string(text)}, Hosts: hostCount})
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

func joinStrings[T ~string](list []T) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = string(s)
	}
	return strings.Join(out, ", ")
}

func (d demo) callerAddr(i int) string { return d.fleet.Hosts[i].CallerAddr }

// printAnswer prints the outcome of one request.
func printAnswer(what string, a caller.Answer) {
	result := fmt.Sprintf("%d tokens, complete", a.Tokens)
	if !a.Complete {
		result = fmt.Sprintf("status %d, code %s, ran: %s", a.Status, a.Code, a.Ran)
	}
	if a.RetryAfter != "" {
		result += ", retry after " + a.RetryAfter + " s"
	}
	fmt.Printf("  %-58s %s\n", what, result)
}

// askUntilAdmitted repeats a request while it is rate limited, because the
// organisation's token bucket is empty after the start of the fleet.
func (d demo) askUntilAdmitted(i int, r caller.Request, onPart func(int)) (caller.Answer, error) {
	var a caller.Answer
	err := fleet.Await("tokens in the bucket", func() bool {
		a = caller.Ask(context.Background(), d.callerAddr(i), callerKey, r, onPart)
		return a.Code != "rate_limited"
	})
	return a, err
}

func (d demo) answers() error {
	fmt.Println("answers:")
	for i := range 4 {
		r := caller.Request{Model: model, Prompt: caller.Words(fmt.Sprint("report-", i), 400), MaxTokens: 30, Stream: i%2 == 0}
		a, err := d.askUntilAdmitted(i, r, nil)
		if err != nil {
			return err
		}
		if a.Complete && a.Text != content.Answer(r.Prompt, r.MaxTokens) {
			return fmt.Errorf("answer %d differs from the expected text", i)
		}
		printAnswer(fmt.Sprintf("400 tokens of prompt at %s, streamed %v", d.fleet.Hosts[i].ID, r.Stream), a)
	}
	return nil
}

func (d demo) refusals() error {
	fmt.Println("refusals:")
	short := caller.Request{Model: model, Prompt: "a short report", MaxTokens: 5}
	printAnswer("unknown key", caller.Ask(context.Background(), d.callerAddr(0), "nobody.secret", short, nil))
	other := short
	other.Model = "no-such-model"
	printAnswer("unknown model", caller.Ask(context.Background(), d.callerAddr(0), callerKey, other, nil))
	large := short
	large.Prompt = caller.Words("large", 61000)
	printAnswer("request above the organisation's burst", caller.Ask(context.Background(), d.callerAddr(0), callerKey, large, nil))
	return nil
}

func (d demo) services() error {
	fmt.Println("plain services:")
	header, first, err := d.sendFirstRefund()
	if err != nil {
		return err
	}
	printCall("refund at "+string(d.fleet.Hosts[0].ID), first)
	for i := 1; i < 3; i++ {
		a := caller.Call(d.callerAddr(i), "POST", "/counter/refunds", callerKey, "deposit 17", header)
		printCall("the same Idempotency-Key at "+string(d.fleet.Hosts[i].ID), a)
	}
	runs := d.fleet.Deployment.Log.Find(func(r record.Record) bool { return r.Kind == record.Start && r.Step == "call" })
	fmt.Printf("  the service ran the refund %d time(s)\n", len(runs))
	a := caller.Call(d.callerAddr(0), "GET", "/counter/hours", "", "", nil)
	printCall("opening hours, a route that needs no key", a)
	return nil
}

// sendFirstRefund sends refunds, each under a new idempotency key, until the host
// that owns the key accepts one. For ten seconds after the start of a fleet the
// owner cannot tell whether a key is new, and answers outcome_unknown.
func (d demo) sendFirstRefund() (map[string]string, caller.Answer, error) {
	var header map[string]string
	var a caller.Answer
	err := fleet.Await("the fleet to accept new idempotency keys", func() bool {
		header = map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
		a = caller.Call(d.callerAddr(0), "POST", "/counter/refunds", callerKey, "deposit 17", header)
		return a.Code != "outcome_unknown"
	})
	return header, a, err
}

// printCall prints the answer of a plain service.
func printCall(what string, a caller.Answer) {
	fmt.Printf("  %-58s status %d %s\n", what, a.Status, a.Text)
}

func (d demo) engineLost() error {
	fmt.Println("a decode engine crashes mid-stream:")
	var once sync.Once
	r := caller.Request{Model: model, Prompt: caller.Words("resumed", 200), MaxTokens: 60, Stream: true}
	a, err := d.askUntilAdmitted(0, r, func(tokens int) {
		if tokens >= 10 {
			once.Do(d.crashDecodeEngine)
		}
	})
	if err != nil {
		return err
	}
	printAnswer("stream interrupted at token 10", a)
	if a.Complete && a.Text != content.Answer(r.Prompt, r.MaxTokens) {
		return fmt.Errorf("the resumed answer lost or repeated tokens")
	}
	return nil
}

// crashDecodeEngine crashes the engine that sent the latest token.
func (d demo) crashDecodeEngine() {
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
	fmt.Println("graceful stop mid-stream:")
	h := d.fleet.Hosts[1]
	var once sync.Once
	r := caller.Request{Model: model, Prompt: caller.Words("stopping", 100), MaxTokens: 60, Stream: true}
	himal := "himal-1.demo-secret-himal-1"
	a := caller.Ask(context.Background(), h.CallerAddr, himal, r, func(int) { once.Do(h.Terminate) })
	printAnswer("stream at "+string(h.ID)+", which was told to stop", a)
	<-h.Done()
	fmt.Printf("  %s exited with: %v\n", h.ID, h.Err())
	return nil
}

func (d demo) keyWithdrawn() error {
	fmt.Println("a key is withdrawn mid-stream:")
	var once sync.Once
	r := caller.Request{Model: model, Prompt: caller.Words("withdrawn", 100), MaxTokens: 5000, Stream: true}
	a, err := d.askUntilAdmitted(0, r, func(int) {
		once.Do(func() { d.fleet.Deployment.Platform.Publish(2, d.rulesWithoutKey("everest-1")) })
	})
	if err != nil {
		return err
	}
	printAnswer("stream of that key", a)
	return nil
}

// rulesWithoutKey returns the rules without the line of a key.
func (d demo) rulesWithoutKey(id string) string {
	var out []string
	for line := range strings.SplitSeq(d.rules, "\n") {
		if !strings.HasPrefix(line, "key "+id+" ") {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}
