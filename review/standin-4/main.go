//go:build review

// Command standin-4 plays the cases of the third review: stand-ins of the platform's store, of
// replicas and of clients, and entry hosts as processes of their own.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notPlayed  = 2
)

var cases = map[string]func(w *world, trouble bool) (code int, verdict string, err error){
	"11": ghostCase,
	"12": bigConfigCase,
	"13": drainCase,
}

// main plays the case named by its first argument and writes the record to the file named by the
// second one.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(notPlayed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, path string, trouble bool) int {
	w, err := newWorld(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return notPlayed
	}
	defer w.close()
	w.record.printf("case %s, disruption: %v", name, trouble)
	code, verdict, err := cases[name](w, trouble)
	if err != nil {
		code, verdict = notPlayed, err.Error()
	}
	w.record.printf("the longest value in the store had %d bytes", w.store.written)
	w.record.printf("exit %d: %s", code, verdict)
	fmt.Printf("case %s: exit %d: %s\n", name, code, verdict)
	return code
}
