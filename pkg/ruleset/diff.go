package ruleset

// ChangeKind is the way in which a rule changed.
type ChangeKind string

// Values of ChangeKind.
const (
	Added     ChangeKind = "added"
	Removed   ChangeKind = "removed"
	Changed   ChangeKind = "changed"
	Commented ChangeKind = "commented" // only the comment differs
)

// Change is one difference between two sets of rules.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Rule    Kind       `json:"rule"`
	Name    string     `json:"name"`
	Old     string     `json:"old,omitempty"` // canonical rule without comment
	New     string     `json:"new,omitempty"`
	OldLine int        `json:"old_line,omitempty"`
	NewLine int        `json:"new_line,omitempty"`
	Text    string     `json:"text"` // effect of the change in words
}

// Diff returns the changes from old to new in canonical order. A nil *Rules
// counts as empty.
func Diff(old, new *Rules) []Change {
	var out []Change
	var before, after []rule
	if old != nil {
		before = old.rules
	}
	if new != nil {
		after = new.rules
	}
	for len(before) > 0 || len(after) > 0 {
		switch c := compareHeads(before, after); {
		case c < 0:
			out = append(out, newChange(before[0], nil))
			before = before[1:]
		case c > 0:
			out = append(out, newChange(nil, after[0]))
			after = after[1:]
		default:
			if rulesDiffer(before[0], after[0]) {
				out = append(out, newChange(before[0], after[0]))
			}
			before, after = before[1:], after[1:]
		}
	}
	return out
}

func compareHeads(before, after []rule) int {
	if len(before) == 0 {
		return 1
	}
	if len(after) == 0 {
		return -1
	}
	return compareRules(before[0], after[0])
}

func rulesDiffer(a, b rule) bool {
	return a.String() != b.String() || a.origin().Comment != b.origin().Comment
}

func newChange(before, after rule) Change {
	c := Change{Kind: Changed}
	if before != nil {
		c.Rule, c.Name = before.kind(), before.name()
		c.Old, c.OldLine = before.String(), before.origin().Line
	}
	if after != nil {
		c.Rule, c.Name = after.kind(), after.name()
		c.New, c.NewLine = after.String(), after.origin().Line
	}
	switch {
	case before == nil:
		c.Kind = Added
	case after == nil:
		c.Kind = Removed
	case c.Old == c.New:
		c.Kind = Commented
	}
	c.Text = describe(c.Kind, before, after)
	return c
}
