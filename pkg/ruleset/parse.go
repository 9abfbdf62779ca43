package ruleset

import (
	"cmp"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Upper limits of values in rules. They keep products of values within 64 bits
// and catch typing errors.
const (
	MaxSlots  = 10_000            // entry hosts of a domain
	MaxTokens = 1_000_000_000_000 // tokens, or tokens per second
	MaxWeight = 1_000_000
	MaxCost   = 1_000_000_000 // tokens per call

	minStaleAge = time.Second
	maxStaleAge = 365 * 24 * time.Hour

	minSalt  = 8  // bytes
	maxSalt  = 64 // bytes
	hashSize = 32 // bytes
)

// ruleSyntax is the syntax of each kind of rule, as error messages show it.
var ruleSyntax = map[Kind]string{
	KindDomain:       "domain NAME slots N",
	KindOrganisation: "organisation NAME rate N burst N weight N prefer wait|refuse",
	KindModel:        "model NAME versions V1,V2,...",
	KindRoute:        "route PATH service NAME idempotent|once keyed|open [cost N]",
	KindAllow:        "allow ORGANISATION TARGET",
	KindKey:          "key ID organisation NAME salt HEX hash HEX",
	KindFencing:      "fencing GROUP checked|ignored",
	KindRecall:       "recall version MODEL VERSION | recall adapter NAME | recall engines GROUP",
	KindStale:        "stale refuse DURATION | stale serve",
}

type parser struct {
	errs            Errors
	rules           []rule
	check           *checker
	header          string
	pendingComments []string // comment-only lines since the last rule
	words           []word   // buffer for the words of one line
}

// Parse parses a rules text. Its error is of type Errors and lists every error
// found in the text.
func Parse(text []byte) (*Rules, error) {
	p := &parser{check: newChecker()}
	number := 0
	for s := range strings.SplitSeq(string(text), "\n") {
		number++
		p.line(number, strings.TrimSuffix(s, "\r"))
	}
	p.errs = append(p.errs, p.check.finish()...)
	if len(p.errs) > 0 {
		slices.SortStableFunc(p.errs, func(a, b Error) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
		})
		return nil, p.errs
	}
	r := newRules(p.rules)
	r.header = p.header
	r.trailer = strings.Join(p.pendingComments, "\n")
	return r, nil
}

func (p *parser) line(number int, s string) {
	if column := invalidCharacterColumn(s); column > 0 {
		p.errs = append(p.errs, Error{number, column,
			"control character or invalid UTF-8", "save the file as plain UTF-8 text"})
		return
	}
	trimmed := strings.TrimSpace(s)
	switch {
	case trimmed == "":
		p.blank()
	case strings.HasPrefix(trimmed, "#"):
		p.pendingComments = append(p.pendingComments, trimmed)
	default:
		p.rule(number, s)
	}
}

// blank handles a blank line. If it ends the first comment block and no rule
// precedes it, that block is the header of the text. Every other comment block
// belongs to the rule after it.
func (p *parser) blank() {
	if p.check.ruleCount == 0 && p.header == "" {
		p.header = strings.Join(p.pendingComments, "\n")
		p.pendingComments = nil
	}
}

func (p *parser) rule(number int, s string) {
	p.check.ruleCount++
	code, comment, _ := strings.Cut(s, "#")
	comment = strings.TrimSpace(comment)
	code = strings.TrimRight(code, " \t")
	p.words = splitWords(code, p.words[:0])
	l := &line{number: number, words: p.words, end: utf8.RuneCountInString(code) + 1}
	o := Origin{Line: number, Comment: comment, precedingComments: strings.Join(p.pendingComments, "\n")}
	p.pendingComments = nil
	parsed := p.statement(l, o)
	if comment == "" {
		l.fail(l.end, "end the line with `# ` and who requested the rule", "comment is missing")
	}
	p.errs = append(p.errs, l.errs...)
	if !l.invalid {
		p.rules = append(p.rules, parsed)
	}
}

func (p *parser) statement(l *line, o Origin) rule {
	first, _ := l.next("rule")
	kind := Kind(first.text)
	l.syntax = ruleSyntax[kind]
	switch kind {
	case KindDomain:
		return p.domain(l, o)
	case KindOrganisation:
		return p.organisation(l, o)
	case KindModel:
		return p.model(l, o)
	case KindRoute:
		return p.route(l, o)
	case KindAllow:
		return p.allow(l, o)
	case KindKey:
		return p.key(l, o)
	case KindFencing:
		return p.fencing(l, o)
	case KindRecall:
		return p.recall(l, o)
	case KindStale:
		return p.stale(l, o)
	}
	l.fail(first.column, suggestSyntax(first.text), "unknown rule %s", quote(first.text))
	return nil
}

// suggestSyntax returns the fix for an unknown rule: the syntax of the rule that
// the text resembles, such as "organisation" for "organization", or a list of
// all rules.
func suggestSyntax(text string) string {
	names := make([]string, len(kindOrder))
	for i, k := range kindOrder {
		names[i] = string(k)
		if len(text) <= maxNameLength && editDistance(text, names[i]) <= 2 {
			return "write `" + ruleSyntax[k] + "`"
		}
	}
	return "start the line with one of " + strings.Join(names, ", ")
}

func (p *parser) domain(l *line, o Origin) rule {
	name := l.name("domain name")
	p.check.declare(l, KindDomain, name)
	l.keyword("slots")
	slots := l.integer("slots", "entry hosts", MaxSlots)
	l.done()
	return Domain{Name: ident.FailureDomain(name.text), Slots: int(slots), Origin: o}
}

func (p *parser) organisation(l *line, o Origin) rule {
	name := l.name("organisation name")
	p.check.declare(l, KindOrganisation, name)
	l.keyword("rate")
	rate := l.integer("rate", "tokens per second", MaxTokens)
	l.keyword("burst")
	burst := l.integer("burst", "tokens", MaxTokens)
	l.keyword("weight")
	weight := l.integer("weight", "shares", MaxWeight)
	l.keyword("prefer")
	prefer := l.choice(string(Wait), string(Refuse))
	l.done()
	p.check.recordBurst(name.text, burst)
	return Organisation{
		Name: ident.Organisation(name.text), Rate: rate, Burst: burst, Weight: weight,
		Prefer: Preference(prefer), Origin: o,
	}
}

func (p *parser) model(l *line, o Origin) rule {
	name := l.name("model name")
	p.check.declare(l, KindModel, name)
	l.keyword("versions")
	versions := p.versions(l)
	l.done()
	return Model{Name: ident.Model(name.text), Versions: versions, Origin: o}
}

func (p *parser) versions(l *line) []ident.Version {
	list, ok := l.next("list of versions")
	if !ok {
		return nil
	}
	var out []ident.Version
	column := list.column
	for v := range strings.SplitSeq(list.text, ",") {
		switch {
		case !ValidName(v):
			l.fail(column, "use "+NameForm+", with commas and no spaces between versions",
				"version %s is malformed", quote(v))
		case slices.Contains(out, ident.Version(v)):
			l.fail(column, "list each version once", "version %s is listed twice", quote(v))
		default:
			out = append(out, ident.Version(v))
		}
		column += utf8.RuneCountInString(v) + 1
	}
	return out
}

func (p *parser) route(l *line, o Origin) rule {
	path := p.path(l)
	p.check.declare(l, KindRoute, path)
	l.keyword("service")
	service := l.name("service name")
	repeat := l.choice("idempotent", "once")
	access := l.choice("keyed", "open")
	cost := int64(1)
	if !l.broken && len(l.words) > 0 {
		cost = p.cost(l, access)
	}
	if access == "open" {
		cost = 0
	}
	l.done()
	p.check.recordService(l, service, cost)
	return Route{
		Path: ident.Route(path.text), Service: ident.Model(service.text),
		Idempotent: repeat == "idempotent", Open: access == "open", Cost: cost, Origin: o,
	}
}

func (p *parser) cost(l *line, access string) int64 {
	column := l.words[0].column
	l.keyword("cost")
	cost := l.integer("cost", "tokens per call", MaxCost)
	if !l.broken && access == "open" {
		l.fail(column, "remove `cost` or make the route `keyed`",
			"an open route has no organisation to charge a cost to")
	}
	return cost
}

// path reads a route's path. It returns an empty word if the path is missing or
// malformed.
func (p *parser) path(l *line) word {
	w, ok := l.next("path")
	if !ok {
		return word{}
	}
	cause, fix := checkPath(w.text)
	if cause != "" {
		l.fail(w.column, fix, "path %s %s", quote(w.text), cause)
		return word{}
	}
	return w
}

func checkPath(s string) (cause, fix string) {
	switch {
	case !strings.HasPrefix(s, "/"):
		return "does not start with `/`", "write it as /SEGMENT or /SEGMENT/SEGMENT"
	case s == "/" || s == "/v1" || strings.HasPrefix(s, "/v1/"):
		return "shadows `/v1/`, where callers reach the models", "choose another first segment"
	case strings.HasSuffix(s, "/"):
		return "ends with `/`", "remove the last `/`; a route covers all paths below it"
	case hasEmptyOrDotSegment(s):
		return "has an empty, `.` or `..` segment", "write the path that it resolves to"
	}
	for segment := range strings.SplitSeq(s[1:], "/") {
		if !validSegment(segment) {
			return "has a character that is not plain in a URL", "use letters, digits, '.', '_', '~' and '-'"
		}
	}
	return "", ""
}

func validSegment(s string) bool {
	for i := range len(s) {
		if !validName(s[i:i+1], "") && !strings.ContainsRune("._~-", rune(s[i])) {
			return false
		}
	}
	return true
}

func (p *parser) allow(l *line, o Origin) rule {
	organisation := l.name("organisation name")
	target := l.name("model or service name")
	l.done()
	p.check.addReference(l, KindOrganisation, organisation)
	p.check.addTarget(l, organisation, target)
	if organisation.text != "" && target.text != "" {
		both := word{organisation.text + " " + target.text, organisation.column}
		p.check.declare(l, KindAllow, both)
	}
	return Allow{
		Organisation: ident.Organisation(organisation.text),
		Target:       ident.Model(target.text), Origin: o,
	}
}

func (p *parser) key(l *line, o Origin) rule {
	id := l.keyID()
	p.check.declare(l, KindKey, id)
	l.keyword("organisation")
	organisation := l.name("organisation name")
	p.check.addReference(l, KindOrganisation, organisation)
	l.keyword("salt")
	salt := l.bytes("salt", minSalt, maxSalt)
	l.keyword("hash")
	hash := l.bytes("hash", hashSize, hashSize)
	l.done()
	k := Key{
		ID: ident.KeyID(id.text), Organisation: ident.Organisation(organisation.text),
		Salt: string(salt), Origin: o,
	}
	copy(k.Hash[:], hash)
	return k
}

func (p *parser) fencing(l *line, o Origin) rule {
	group := l.name("group name")
	p.check.declare(l, KindFencing, group)
	checked := l.choice("checked", "ignored")
	l.done()
	return Fencing{Group: group.text, Checked: checked == "checked", Origin: o}
}

func (p *parser) recall(l *line, o Origin) rule {
	r := Recall{Origin: o}
	column := l.end
	if len(l.words) > 0 {
		column = l.words[0].column
	}
	r.Kind = RecallKind(l.choice(string(RecallVersion), string(RecallAdapter), string(RecallEngines)))
	var named word
	switch r.Kind {
	case RecallVersion:
		model := l.name("model name")
		p.check.addReference(l, KindModel, model)
		r.Model = ident.Model(model.text)
		named = l.name("version")
		r.Version = ident.Version(named.text)
	case RecallAdapter:
		named = l.name("adapter name")
		r.Adapter = ident.Version(named.text)
	case RecallEngines:
		named = l.name("group name")
		r.Group = named.text
	}
	l.done()
	if named.text != "" {
		p.check.declare(l, KindRecall, word{r.name(), column})
	}
	return r
}

func (p *parser) stale(l *line, o Origin) rule {
	column := l.end
	if len(l.words) > 0 {
		column = l.words[0].column
	}
	s := staleRule{Origin: o}
	if l.choice("refuse", "serve") == "refuse" {
		s.Refuse = true
		s.After = l.duration("age", minStaleAge, maxStaleAge)
	}
	l.done()
	p.check.declare(l, KindStale, word{"rule", column})
	return s
}
