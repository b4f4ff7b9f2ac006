package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signalContext returns a context that is canceled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// daemonSignals returns a context that is canceled by SIGINT or SIGTERM, and a channel that
// receives a value after each SIGHUP; several at once count as one.
//
// From then until the process exits none of these signals ends it, and neither does a closed
// standard output or error: a daemon that shuts down still has calls to answer and log lines
// to write.
func daemonSignals() (ctx context.Context, reload <-chan os.Signal) {
	signal.Ignore(syscall.SIGPIPE)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, _ = signalContext()
	return ctx, hangups
}
