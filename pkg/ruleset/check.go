package ruleset

import "fmt"

// checker finds faults that concern more than one line. Names count as declared
// even on a line with another fault, so that one fault does not cause a row of
// errors about unknown names.
type checker struct {
	seen     int // rules, valid or not
	declared map[subject]int
	services map[string]int // line of the first route of each service
	costs    map[string]int64
	bursts   map[string]int64
	refs     []reference
	targets  []reference
}

type subject struct {
	kind Kind
	name string
}

// reference is the use of a name that another line must declare.
type reference struct {
	subject
	line   int
	column int
	user   string // organisation of an allow rule
}

func newChecker() *checker {
	return &checker{
		declared: map[subject]int{},
		services: map[string]int{},
		costs:    map[string]int64{},
		bursts:   map[string]int64{},
	}
}

// declare records a name, or a fault when another line has it.
func (c *checker) declare(l *line, kind Kind, name word) {
	if name.text == "" {
		return
	}
	s := subject{kind, name.text}
	if first, ok := c.declared[s]; ok {
		l.fail(name.column, "keep one of the two lines", "%s %s is already on line %d",
			kind, quote(name.text), first)
		return
	}
	c.declared[s] = l.number
}

func (c *checker) burst(organisation string, burst int64) {
	if _, ok := c.bursts[organisation]; !ok && burst > 0 {
		c.bursts[organisation] = burst
	}
}

// service records the service of a route and its highest cost.
func (c *checker) service(l *line, name word, cost int64) {
	if name.text == "" {
		return
	}
	if _, ok := c.services[name.text]; !ok {
		c.services[name.text] = l.number
	}
	c.costs[name.text] = max(c.costs[name.text], cost)
}

func (c *checker) refer(l *line, kind Kind, name word) {
	if name.text != "" {
		c.refs = append(c.refs, reference{subject{kind, name.text}, l.number, name.column, ""})
	}
}

// target records the model or service that an allow rule names.
func (c *checker) target(l *line, organisation, name word) {
	if name.text != "" {
		c.targets = append(c.targets,
			reference{subject{KindModel, name.text}, l.number, name.column, organisation.text})
	}
}

func (c *checker) finish() Errors {
	var errs Errors
	if !c.hasDomain() {
		errs = append(errs, Error{1, 1, "the rules have no domain, so no entry host has a slot",
			"add `" + form[KindDomain] + "` for each failure domain"})
	}
	for _, r := range c.refs {
		if _, ok := c.declared[r.subject]; !ok {
			errs = append(errs, r.unknown(string(r.kind)))
		}
	}
	for _, t := range c.targets {
		errs = append(errs, c.checkTarget(t)...)
	}
	return append(errs, c.ambiguous()...)
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
	_, isModel := c.declared[t.subject]
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

// ambiguous reports services that have the name of a model: an allow rule for
// that name would grant both.
func (c *checker) ambiguous() Errors {
	var errs Errors
	for name, number := range c.services {
		if model, ok := c.declared[subject{KindModel, name}]; ok {
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
