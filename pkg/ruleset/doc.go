// Package ruleset parses the operators' rules: which organisation may use which
// model, its rate and burst, the caller keys, the routes to services other than
// models, and recalls.
//
// Parse reports all errors of a rules text at once. The Rules that it returns are
// immutable, so goroutines share them without locks. Lookups use maps, so their
// cost does not depend on the number of rules. Diff describes in words what
// differs between two sets of rules, and Explain names the rule that decides
// whether an organisation may use a model.
//
// Split and Assemble convert a rules text to and from chunks for the platform's
// configuration service, which limits the size of its values. docs/rules.md has
// the grammar.
package ruleset
