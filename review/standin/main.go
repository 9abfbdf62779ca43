//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// The processes are started by the main thread, which lives as long as this program.
func init() { runtime.LockOSThread() }

// cases are the scripts by name. Each returns what breaks the rule.
var cases = map[string]func(w *world, trouble bool) []string{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER DAEMON")
		os.Exit(2)
	}
	w := newWorld(os.Args[2], os.Args[3])
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.end()
		os.Exit(2)
	}()
	broken := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	for _, b := range broken {
		w.record("BROKEN   %s", b)
		fmt.Println("BROKEN", b)
	}
	if os.Getenv("KEEP_LOGS") != "" {
		for _, h := range w.hosts {
			_ = os.WriteFile(os.Getenv("KEEP_LOGS")+"-"+h.name+".log", []byte(h.log()), 0o600)
		}
	}
	w.end()
	if len(broken) > 0 {
		os.Exit(1)
	}
	w.record("held")
	fmt.Println("the rule held")
}
