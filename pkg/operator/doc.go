// Package operator is the logic of mulberryctl: checks and comparisons of rules
// files, keys, publication and reports of running entry hosts.
//
// Run parses a command line and returns the exit code. Everything that it reads
// or writes outside the named files comes from Env, so tests need no process.
package operator
