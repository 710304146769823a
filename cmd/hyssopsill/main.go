// Command hyssopsill is the command-line client for operators of a fleet.
//
// Exit codes: 0 ok, 1 failed, 2 bad input, 3 change rejected or not known to be accepted.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr))
}
