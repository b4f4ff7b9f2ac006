package main

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// connStateHandler is a handler that tracks the state of connections.
type connStateHandler interface {
	ConnState(net.Conn, http.ConnState)
}

// serve serves h on the address until the listener fails.
func serve(address string, h http.Handler) error {
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	if c, ok := h.(connStateHandler); ok {
		s.ConnState = c.ConnState
	}
	return s.ListenAndServe()
}

// serveMany serves count handlers on consecutive ports. It returns the error of
// the first server that fails.
func serveMany(address string, count int, newHandler func(n int) http.Handler) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrapf(err, "address %q", address)
	}
	firstPort, err := strconv.Atoi(port)
	if err != nil {
		return errors.Wrapf(err, "address %q", address)
	}
	errs := make(chan error, count)
	for n := range count {
		go func() { errs <- serve(net.JoinHostPort(host, strconv.Itoa(firstPort+n)), newHandler(n)) }()
	}
	return <-errs
}
