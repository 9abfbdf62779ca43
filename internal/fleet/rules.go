package fleet

import (
	"fmt"
	"os"
	"strings"
)

// ReadRules reads a rules file and replaces text in it. replace holds pairs of old and
// new text.
func ReadRules(file string, replace ...string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("fleet: rules: %w", err)
	}
	return strings.NewReplacer(replace...).Replace(string(text)), nil
}

// WithoutKey returns the rules without the rule of the given key.
func WithoutKey(rules, id string) string {
	var out []string
	for line := range strings.SplitSeq(rules, "\n") {
		if !strings.HasPrefix(line, "key "+id+" ") {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}
