// Command mulberryctl checks and publishes rules, creates caller keys and shows the
// state of entry hosts. See docs/rules.md.
package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"

	"github.com/mulberrystream/mulberrystream/pkg/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := operator.Run(ctx, os.Args[1:], operator.Env{
		Stdout: os.Stdout, Stderr: os.Stderr, Rand: rand.Reader,
	})
	stop()
	os.Exit(code)
}
