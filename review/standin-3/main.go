//go:build review

// Command standin-3 runs scripted cases of the second review: clients, backend servers and the
// platform's store as stand-ins around real processes of the project's daemon. It exits with 1
// if the rule of a case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "memory, backlog, ghost, ended, or replica for the process of a server")
	relay := flag.String("relay", "target/mulberryrelay", "path of the daemon")
	record := flag.String("record", "", "file for what was sent, answered and run; standard output if empty")
	trouble := flag.Bool("trouble", true, "play the disruption")
	addr := flag.String("addr", "", "address of the replica")
	id := flag.String("id", "", "id of the replica")
	flag.Parse()
	if *name == "replica" {
		return serveReplica(*addr, *id)
	}
	play, known := map[string]func(*world, bool) error{"ended": ended, "backlog": backlog, "ghost": ghost, "memory": memory}[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case:", *name)
		return 2
	}
	w, err := newWorld(*relay, *record)
	if err == nil {
		err = play(w, *trouble)
		w.close()
	}
	switch {
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return 1
	case err != nil:
		fmt.Println("the case could not run:", err)
		return 2
	}
	fmt.Println("the rule held")
	return 0
}
