package ruleset

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	maxNameLength  = 64 // in characters
	maxQuoteLength = 40 // characters of the rules text that an error message quotes

	// NameForm describes a valid name.
	NameForm = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"

	// KeyIDForm describes a valid key id. The dot ends the id in a presented key.
	KeyIDForm = "1 to 64 letters, digits, '_' or '-', starting with a letter or digit"
)

// word is one blank-separated word of a line and its column.
type word struct {
	text   string
	column int
}

// line parses the words of one rule. A syntax error sets broken, after which
// reads return zero values and report nothing more. A value out of range sets
// only invalid, so that all such values of a line are reported together.
type line struct {
	number  int
	words   []word
	end     int // column after the last word
	syntax  string
	broken  bool
	invalid bool
	errs    []Error
}

func (l *line) fail(column int, fix, cause string, args ...any) {
	l.invalid = true
	l.errs = append(l.errs, Error{
		Line: l.number, Column: column, Cause: fmt.Sprintf(cause, args...), Fix: fix,
	})
}

// next returns the next word. The error for a missing word calls it what.
func (l *line) next(what string) (word, bool) {
	if l.broken {
		return word{}, false
	}
	if len(l.words) == 0 {
		l.broken = true
		l.fail(l.end, "write `"+l.syntax+"`", "%s is missing", what)
		return word{}, false
	}
	w := l.words[0]
	l.words = l.words[1:]
	return w, true
}

func (l *line) keyword(want string) {
	if !l.broken && len(l.words) > 0 && l.words[0].text == want {
		l.words = l.words[1:]
		return
	}
	w, ok := l.next("`" + want + "`")
	if ok {
		l.broken = true
		l.fail(w.column, "write `"+l.syntax+"`", "%s where `%s` is expected", quote(w.text), want)
	}
}

// choice reads a word that must be one of the options.
func (l *line) choice(options ...string) string {
	if !l.broken && len(l.words) > 0 && slices.Contains(options, l.words[0].text) {
		w, _ := l.next("")
		return w.text
	}
	list := strings.Join(options, "` or `")
	w, ok := l.next("`" + list + "`")
	if ok {
		l.broken = true
		l.fail(w.column, "write `"+list+"`", "%s where `%s` is expected", quote(w.text), list)
	}
	return ""
}

// name reads a name. It returns an empty word if the name is missing or
// malformed.
func (l *line) name(what string) word {
	w, ok := l.next(what)
	if ok && !ValidName(w.text) {
		l.fail(w.column, "use "+NameForm, "%s %s is malformed", what, quote(w.text))
		return word{}
	}
	return w
}

func (l *line) keyID() word {
	w, ok := l.next("key id")
	if ok && !ValidKeyID(w.text) {
		l.fail(w.column, "use "+KeyIDForm, "key id %s is malformed", quote(w.text))
		return word{}
	}
	return w
}

// integer reads a whole number from 1 to limit.
func (l *line) integer(what, unit string, limit int64) int64 {
	w, ok := l.next(what)
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(w.text, 10, 64)
	if err != nil || n < 1 || n > limit || w.text[0] == '+' {
		fix := fmt.Sprintf("use a whole number of %s from 1 to %d", unit, limit)
		l.fail(w.column, fix, "%s %s is out of range", what, quote(w.text))
		return 0
	}
	return n
}

// bytes reads a hexadecimal word that encodes minimum to maximum bytes.
func (l *line) bytes(what string, minimum, maximum int) []byte {
	w, ok := l.next(what)
	if !ok {
		return nil
	}
	b, err := hex.DecodeString(w.text)
	if err != nil || len(b) < minimum || len(b) > maximum {
		fix := fmt.Sprintf("use %d to %d hexadecimal digits as `mulberryctl key new` prints them",
			2*minimum, 2*maximum)
		if minimum == maximum {
			fix = fmt.Sprintf("use %d hexadecimal digits as `mulberryctl key new` prints them", 2*minimum)
		}
		l.fail(w.column, fix, "%s %s is malformed", what, quote(w.text))
		return nil
	}
	return b
}

// duration reads a duration from minimum to maximum.
func (l *line) duration(what string, minimum, maximum time.Duration) time.Duration {
	w, ok := l.next(what)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(w.text)
	if err != nil || d < minimum || d > maximum {
		fix := fmt.Sprintf("use a duration from %s to %s, such as 10m or 1h30m", minimum, maximum)
		l.fail(w.column, fix, "%s %s is out of range", what, quote(w.text))
		return 0
	}
	return d
}

// done reports an error for words after the end of the rule and returns whether
// the line is valid.
func (l *line) done() bool {
	if !l.broken && len(l.words) > 0 {
		w := l.words[0]
		l.broken = true
		l.fail(w.column, "write `"+l.syntax+"`", "%s after the end of the rule", quote(w.text))
	}
	return !l.invalid
}

// ValidName reports whether s is a valid name of an organisation, a model or
// anything else that a rule names, except a key.
func ValidName(s string) bool { return validName(s, "._-") }

// ValidKeyID reports whether s has the form that KeyIDForm describes.
func ValidKeyID(s string) bool { return validName(s, "_-") }

func validName(s, punctuation string) bool {
	if s == "" || len(s) > maxNameLength || strings.IndexByte(punctuation, s[0]) >= 0 {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && strings.IndexByte(punctuation, c) < 0 {
			return false
		}
	}
	return true
}

// splitWords appends the words of s to out. Columns count characters, not bytes.
func splitWords(s string, out []word) []word {
	start, column := -1, 0
	for i, c := range s {
		column++
		blank := c == ' ' || c == '\t'
		switch {
		case blank && start >= 0:
			out[len(out)-1].text = s[start:i]
			start = -1
		case !blank && start < 0:
			start = i
			out = append(out, word{column: column})
		}
	}
	if start >= 0 {
		out[len(out)-1].text = s[start:]
	}
	return out
}

// invalidCharacterColumn returns the column of the first character of s that is
// not valid UTF-8 or is a control character other than a tab. It returns 0 if
// there is none.
func invalidCharacterColumn(s string) int {
	if isPrintableASCII(s) {
		return 0
	}
	column := 0
	for i, c := range s {
		column++
		if c == utf8.RuneError {
			if _, n := utf8.DecodeRuneInString(s[i:]); n <= 1 {
				return column
			}
		}
		if c != '\t' && unicode.IsControl(c) {
			return column
		}
	}
	return 0
}

// isPrintableASCII reports whether s has only printable ASCII characters. Most
// lines do, so this is the fast path of invalidCharacterColumn.
func isPrintableASCII(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replace := diagonal
			if a[i] != b[j] {
				replace++
			}
			diagonal = row[j+1]
			row[j+1] = min(replace, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// quote returns s quoted on one line, truncated to maxQuoteLength characters.
func quote(s string) string {
	r := []rune(s)
	if len(r) > maxQuoteLength {
		return strconv.Quote(string(r[:maxQuoteLength]) + "...")
	}
	return strconv.Quote(s)
}
