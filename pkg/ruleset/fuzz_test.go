package ruleset_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

// FuzzParse guards against a rules text that makes the parser panic, and against
// printed rules that parse to something else.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(base))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := ruleset.Parse(text)
		if err != nil {
			checkPositions(t, text, err)
			return
		}
		printed := r.String()
		again, err := ruleset.Parse([]byte(printed))
		if err != nil {
			t.Fatalf("printed text does not parse: %v\n%s", err, printed)
		}
		if !again.Equal(r) || again.String() != printed || len(ruleset.Diff(r, again)) > 0 {
			t.Fatalf("printed text parses to other rules:\n%s", printed)
		}
		for _, route := range r.Routes() {
			if got, ok := r.Route(string(route.Path)); !ok || got != route {
				t.Fatalf("lookup of %s gives %v", route.Path, got)
			}
		}
	})
}

func checkPositions(t *testing.T, text []byte, err error) {
	var all ruleset.Errors
	if !errors.As(err, &all) || len(all) == 0 {
		t.Fatalf("error %v is not of type Errors", err)
	}
	lines := strings.Split(string(text), "\n")
	for _, e := range all {
		if e.Line < 1 || e.Line > len(lines) || e.Column < 1 || e.Column > len(lines[e.Line-1])+1 {
			t.Fatalf("position outside the text: %v", e)
		}
		if e.Cause == "" || e.Fix == "" || strings.Contains(e.Error(), "\n") {
			t.Fatalf("error without cause or fix, or not on one line: %q", e.Error())
		}
	}
}

// TestExamples guards against example files that the parser rejects or that lose
// rules.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.rules")
	if err != nil || len(files) != 2 {
		t.Fatalf("example files: %v, %v", files, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		r, err := ruleset.Parse(text)
		if err != nil {
			t.Fatalf("%s:\n%v", file, err)
		}
		if len(r.Organisations()) != 5 || len(r.Keys()) != 5 {
			t.Errorf("%s: %d organisations, %d keys", file, len(r.Organisations()), len(r.Keys()))
		}
	}
}
