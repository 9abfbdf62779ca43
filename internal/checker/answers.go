package checker

import (
	"fmt"
	"strings"

	"github.com/mulberrystream/mulberrystream/internal/record"
)

// checkAnsweredOnce finds calls with more than one final answer.
func checkAnsweredOnce(r *run) []Violation {
	var out []Violation
	for _, c := range r.calls {
		final := 0
		for _, e := range c.ends {
			if e.Kind == record.Answered || e.Kind == record.Denied {
				final++
			}
		}
		if final > 1 {
			out = append(out, Violation{
				Invariant: 2, Time: c.ends[1].Time, Subject: c.sent.Call,
				Detail: fmt.Sprintf("%d final answers", final),
			})
		}
	}
	return out
}

// checkContent finds answers that differ from the expected answer of the call, and
// incomplete answers that are not a prefix of it.
func checkContent(r *run) []Violation {
	var out []Violation
	for _, c := range r.calls {
		for _, e := range c.ends {
			if d := r.describeMismatch(c, e); d != "" {
				out = append(out, Violation{Invariant: 5, Time: e.Time, Subject: c.sent.Call, Detail: d})
			}
		}
	}
	return out
}

// describeMismatch says how an answer differs from the expected one. It returns an
// empty string for a correct answer.
func (r *run) describeMismatch(c *call, e Record) string {
	want := c.sent.Want
	if e.Kind == record.Answered && e.Text == want {
		return ""
	}
	if e.Kind != record.Answered && strings.HasPrefix(want, e.Text) {
		return ""
	}
	for _, other := range r.calls {
		if other != c && e.Text != "" && strings.HasPrefix(other.sent.Want, e.Text) {
			return fmt.Sprintf("got the answer to %s", other.sent.Call)
		}
	}
	if strings.HasPrefix(want, e.Text) {
		return fmt.Sprintf("answer ended after %d of %d bytes", len(e.Text), len(want))
	}
	return fmt.Sprintf("wrong answer of %d bytes, want %d", len(e.Text), len(want))
}

// checkNotRun finds work that ran although every call that could have caused it was
// refused as not run. A call sent after the work started cannot be its cause.
func checkNotRun(r *run) []Violation {
	var out []Violation
	seen := map[string]bool{}
	for _, x := range r.workRecords(record.Start) {
		content := r.content(x)
		var denied *call
		explained := false
		for _, c := range r.callsByContent[content] {
			if c.sent.Time.After(x.Time) {
				continue
			}
			if claimsNotRun(c) {
				denied = c
			} else {
				explained = true
			}
		}
		if denied != nil && !explained && !seen[denied.sent.Call] {
			seen[denied.sent.Call] = true
			out = append(out, Violation{
				Invariant: 6, Time: x.Time, Subject: denied.sent.Call,
				Detail: fmt.Sprintf("refused as not run, but %s started at %s", x.Step, x.Server),
			})
		}
	}
	return out
}

func claimsNotRun(c *call) bool {
	for _, e := range c.ends {
		if e.Kind == record.Denied && e.Ran == "not run" {
			return true
		}
	}
	return false
}

// checkAtMostOnce finds non-idempotent calls that ran more than once. Callers give
// each new call a distinct body; only a repeat with the same idempotency key has the
// same content.
func checkAtMostOnce(r *run) []Violation {
	runs := map[string][]Record{}
	for _, x := range r.workRecords(record.Start) {
		if x.Step == "call" {
			runs[x.Content] = append(runs[x.Content], x)
		}
	}
	var out []Violation
	done := map[string]bool{}
	for _, c := range r.calls {
		xs := runs[c.sent.Content]
		if !c.sent.NoRepeat || len(xs) < 2 || done[c.sent.Content] {
			continue
		}
		done[c.sent.Content] = true
		out = append(out, Violation{
			Invariant: 7, Time: xs[1].Time, Subject: c.sent.Call,
			Detail: fmt.Sprintf("ran %d times, at %s and %s", len(xs), xs[0].Server, xs[1].Server),
		})
	}
	return out
}
