// Command standin-3 plays the scripted cases of the review in REPORT-3.md. It starts the
// program as separate processes and plays the store, the instances and the clients itself.
//
// Usage:
//
//	standin-3 CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
// With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
)

const (
	held      = 0
	broken    = 1
	didNotRun = 2
)

var cases = map[string]func(c *trial) (isBroken bool, err error){
	"foreign":    playForeign,
	"pipeline":   playPipeline,
	"quarantine": playQuarantine,
	"spread":     playSpread,
	"weights":    playWeights,
}

// A trial is one play of a case.
type trial struct {
	program string
	dir     string
	out     *os.File
	trouble bool
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE PROGRAM RECORD")
		return didNotRun
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return didNotRun
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return didNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	c := &trial{program: os.Args[2], dir: dir, out: out, trouble: os.Getenv("TROUBLE") != "0"}
	isBroken, err := cases[os.Args[1]](c)
	if err != nil {
		fmt.Fprintln(out, "could not run:", err)
		fmt.Println("could not run:", err)
		return didNotRun
	}
	if isBroken {
		fmt.Fprintln(out, "BROKEN")
		fmt.Println("BROKEN")
		return broken
	}
	fmt.Fprintln(out, "held")
	fmt.Println("held")
	return held
}
