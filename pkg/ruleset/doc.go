// Package ruleset holds the operators' rules: which organisation may use which
// model, its rate and burst, the caller keys, the routes to plain services and
// what is recalled.
//
// Parse reads the rules text and reports every error at once. The Rules that it
// returns never change, so goroutines share them without locks, and each lookup
// goes through a map, so its cost does not depend on the number of rules. Diff
// says in words what another set of rules changes, and Explain says which rule
// decides for an organisation and a model.
//
// Split and Assemble carry a rules text through the platform's configuration
// service, whose values have a maximum size. docs/rules.md has the grammar.
package ruleset
