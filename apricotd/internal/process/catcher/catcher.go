// Package catcher confines a panic to the request or connection that caused it.
//
// # Usage
//
//	defer catcher.Catch(log, "serve request", func() { fail(request) })
//
// Catch is for goroutines that serve one request or one connection. Goroutines that
// serve the whole process must not use it, because the process would go on without
// them.
package catcher

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// maxStackBytes bounds the logged stack trace.
const maxStackBytes = 2 << 10

var caught atomic.Uint64

// Count returns the number of panics that were caught in this process.
func Count() uint64 { return caught.Load() }

// Catch recovers from a panic of the function that defers it, logs it, and then
// calls then, which may be nil.
func Catch(log logrus.FieldLogger, activity string, then func()) {
	v := recover()
	if v == nil {
		return
	}
	caught.Add(1)
	stack := debug.Stack()
	log.WithFields(logrus.Fields{
		"activity": activity,
		"panic":    fmt.Sprint(v),
		"stack":    string(stack[:min(len(stack), maxStackBytes)]),
	}).Error("internal error; the request or connection was dropped")
	if then != nil {
		then()
	}
}
