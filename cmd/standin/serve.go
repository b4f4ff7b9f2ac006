package main

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// connectionCounter is a handler that wants to know of connections.
type connectionCounter interface {
	ConnState(net.Conn, http.ConnState)
}

func serve(address string, h http.Handler) error {
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	if c, ok := h.(connectionCounter); ok {
		s.ConnState = c.ConnState
	}
	return s.ListenAndServe()
}

// serveMany serves handlers on consecutive ports until one of them ends.
func serveMany(address string, count int, handler func(n int) http.Handler) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrapf(err, "address %q", address)
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		return errors.Wrapf(err, "address %q", address)
	}
	failed := make(chan error, count)
	for n := range count {
		go func() { failed <- serve(net.JoinHostPort(host, strconv.Itoa(first+n)), handler(n)) }()
	}
	return <-failed
}
