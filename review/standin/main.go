// Command standin runs the cases of the review: it starts the project's node program
// as the deploy file says, plays the platform, the instances and the clients, and
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const maxTime = 100 * time.Second

func main() {
	if len(os.Args) != 3 {
		fail("usage: standin CASE RECORD")
	}
	cases := map[string]func(log *record, trouble bool) int{
		"hup": hup, "pipeline": pipeline, "slowread": slowRead, "upload": upload,
		"latecall": lateCall, "regions": regionsApart,
	}
	run := cases[os.Args[1]]
	if run == nil {
		fail("no case %q", os.Args[1])
	}
	log := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	go stopOnSignal()
	log.add("case %s, disruption: %v", os.Args[1], trouble)
	broken := run(log, trouble)
	log.add("rule broken %d times", broken)
	stopAll()
	fmt.Printf("%s: rule broken %d times\n", os.Args[1], broken)
	if broken > 0 {
		os.Exit(1)
	}
}

// stopOnSignal ends the case and what it has started if it is told to stop, or if it
// takes too long.
func stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		fail("stopped by signal: %v", s)
	case <-time.After(maxTime):
		fail("the case took longer than %v", maxTime)
	}
}

// publicRoute returns a route that needs no key.
func publicRoute(prefix, kind, service string) map[string]any {
	r := route(prefix, kind, service)
	r["Public"] = true
	return r
}

// route returns a route of a configuration.
func route(prefix, kind, service string) map[string]any {
	return map[string]any{
		"Host": host, "Prefix": prefix, "Kind": kind, "TimeoutS": 5, "TargetLatencyS": 1.5,
		"Priority": 0, "Service": service, "MaxAttempts": 2, "Public": false,
	}
}
