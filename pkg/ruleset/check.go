package ruleset

import "fmt"

// checker finds errors that involve more than one line. A name counts as declared
// even if its line has another error, so that one error does not cause follow-up
// errors about undeclared names.
type checker struct {
	ruleCount int // rules, valid or not
	declared  map[declaration]int
	services  map[string]int // line of the first route of each service
	costs     map[string]int64
	bursts    map[string]int64
	refs      []reference
	targets   []reference
}

type declaration struct {
	kind Kind
	name string
}

// reference is a use of a name that another line must declare.
type reference struct {
	declaration
	line   int
	column int
	user   string // organisation that an allow rule names
}

func newChecker() *checker {
	return &checker{
		declared: map[declaration]int{},
		services: map[string]int{},
		costs:    map[string]int64{},
		bursts:   map[string]int64{},
	}
}

// declare records a name, and reports an error if another line has declared it.
func (c *checker) declare(l *line, kind Kind, name word) {
	if name.text == "" {
		return
	}
	s := declaration{kind, name.text}
	if first, ok := c.declared[s]; ok {
		l.fail(name.column, "keep one of the two lines", "%s %s is already on line %d",
			kind, quote(name.text), first)
		return
	}
	c.declared[s] = l.number
}

func (c *checker) recordBurst(organisation string, burst int64) {
	if _, ok := c.bursts[organisation]; !ok && burst > 0 {
		c.bursts[organisation] = burst
	}
}

// recordService records the service of a route and the highest cost of a call.
func (c *checker) recordService(l *line, name word, cost int64) {
	if name.text == "" {
		return
	}
	if _, ok := c.services[name.text]; !ok {
		c.services[name.text] = l.number
	}
	c.costs[name.text] = max(c.costs[name.text], cost)
}

func (c *checker) addReference(l *line, kind Kind, name word) {
	if name.text != "" {
		c.refs = append(c.refs, reference{declaration{kind, name.text}, l.number, name.column, ""})
	}
}

// addTarget records the model or service of an allow rule, to be checked in
// finish.
func (c *checker) addTarget(l *line, organisation, name word) {
	if name.text != "" {
		c.targets = append(c.targets,
			reference{declaration{KindModel, name.text}, l.number, name.column, organisation.text})
	}
}

func (c *checker) finish() Errors {
	var errs Errors
	if !c.hasDomain() {
		errs = append(errs, Error{1, 1, "the rules have no domain, so no entry host has a slot",
			"add `" + ruleSyntax[KindDomain] + "` for each failure domain"})
	}
	for _, r := range c.refs {
		if _, ok := c.declared[r.declaration]; !ok {
			errs = append(errs, r.unknown(string(r.kind)))
		}
	}
	for _, t := range c.targets {
		errs = append(errs, c.checkTarget(t)...)
	}
	return append(errs, c.ambiguousServices()...)
}

func (c *checker) hasDomain() bool {
	for s := range c.declared {
		if s.kind == KindDomain {
			return true
		}
	}
	return false
}

func (c *checker) checkTarget(t reference) Errors {
	_, isModel := c.declared[t.declaration]
	_, isService := c.services[t.name]
	if !isModel && !isService {
		return Errors{t.unknown("model or service")}
	}
	cost, burst := c.costs[t.name], c.bursts[t.user]
	if isService && burst > 0 && cost > burst {
		return Errors{{t.line, t.column,
			fmt.Sprintf("a call of service %s costs %d tokens, more than the burst of %s, which is %d",
				quote(t.name), cost, quote(t.user), burst),
			"raise the burst or lower the cost"}}
	}
	return nil
}

// ambiguousServices reports services that have the same name as a model: an allow
// rule for that name would grant both.
func (c *checker) ambiguousServices() Errors {
	var errs Errors
	for name, number := range c.services {
		if model, ok := c.declared[declaration{KindModel, name}]; ok {
			errs = append(errs, Error{number, 1,
				fmt.Sprintf("service %s has the name of the model on line %d", quote(name), model),
				"rename the service or the model"})
		}
	}
	return errs
}

func (r reference) unknown(what string) Error {
	return Error{r.line, r.column, fmt.Sprintf("%s %s is not declared", what, quote(r.name)),
		"correct the name or add a rule that declares it"}
}
