package ruleset

import "strings"

// String returns the canonical text: rules grouped by kind and sorted by name,
// single spaces, comments kept. It parses to rules that are Equal to r.
func (r *Rules) String() string {
	var b strings.Builder
	if r.header != "" {
		b.WriteString(r.header + "\n\n")
	}
	for i, p := range r.rules {
		if i > 0 && p.kind() != r.rules[i-1].kind() {
			b.WriteByte('\n')
		}
		o := p.origin()
		if o.precedingComments != "" {
			b.WriteString(o.precedingComments + "\n")
		}
		b.WriteString(p.String() + " # " + o.Comment + "\n")
	}
	if r.trailer != "" {
		b.WriteString("\n" + r.trailer + "\n")
	}
	return b.String()
}
