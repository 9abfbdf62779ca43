// Command mulberrystream is the entry host daemon.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/mulberrystream/mulberrystream/pkg/entryhost"
)

func main() {
	var s entryhost.Settings
	arg.MustParse(&s)
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "mulberrystream:", err)
		os.Exit(1)
	}
}

func run(s entryhost.Settings) error {
	h, err := entryhost.Open(s)
	if err != nil {
		return err
	}
	return h.Run()
}
