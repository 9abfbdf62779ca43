// Package operator implements mulberryctl: it checks and compares rules files,
// creates keys, prepares rules for publication and reports on running entry hosts.
//
// Run executes a command line and returns the exit code. Output streams and the
// random source come from Env, so tests need no child process.
package operator
