// Package signaler catches the signals by which operators and platforms control a
// node.
//
// It guarantees that none of them ends the process: the first SIGTERM or SIGINT
// asks for a graceful stop, later ones have no effect, and SIGHUP asks for a reload.
// All of this holds until the process has exited, also while the node stops and
// has requests left to answer. SIGPIPE is ignored, so that a log whose reader has
// gone is an error of that write and no more.
//
// # Usage
//
//	stop, reload := signaler.Catch()
//	go watch(reload)
//	err := node.Run(stop)
//
// SIGHUP and SIGPIPE are handled from the initialisation of the package on. SIGTERM and SIGINT
// end a process that has not called Catch yet, which has accepted no requests.
package signaler

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// reloads is a package variable because the default action of SIGHUP is to end
// the process. It is never unregistered, for the same reason.
var reloads = notify(syscall.SIGHUP)

func init() {
	// The runtime ends a process that writes to a broken pipe on descriptor 1 or 2.
	signal.Ignore(syscall.SIGPIPE)
}

// Catch returns a context that ends with the first SIGTERM or SIGINT, and a
// channel that receives a value after one or more SIGHUPs.
func Catch() (stop context.Context, reload <-chan os.Signal) {
	stop, cancel := context.WithCancel(context.Background())
	stops := notify(syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stops
		cancel()
	}()
	return stop, reloads
}

func notify(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}
