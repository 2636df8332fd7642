package tuner

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

const step = time.Millisecond

type (
	// A server runs at full speed up to fullSpeedLimit requests, and slower by
	// the factor slowdown above it.
	server struct {
		slots    int
		slowdown float64
	}

	run struct {
		startedAt      time.Time
		remaining      float64 // milliseconds of work
		runningAtStart int     // including itself
	}
)

// fullSpeedLimit is the largest concurrency at full speed, below 95 % of the
// slots.
func (srv server) fullSpeedLimit() int { return (srv.slots*95 - 1) / 100 }

// simulate returns how many requests the server completes in a period in which
// requests are always waiting.
func (srv server) simulate(tuner *Tuner, length time.Duration, limit func() int) int {
	random := rand.New(rand.NewPCG(1, 2))
	var running []run
	completed := 0
	for start := time.Now(); time.Since(start) < length; time.Sleep(step) {
		for len(running) < limit() {
			running = append(running, run{startedAt: time.Now(), remaining: 5 + 30*random.Float64(), runningAtStart: len(running) + 1})
		}
		speed := 1.0
		if len(running) > srv.fullSpeedLimit() {
			speed = 1 / srv.slowdown
		}
		unfinished := running[:0]
		for _, r := range running {
			if r.remaining -= speed; r.remaining > 0 {
				unfinished = append(unfinished, r)
				continue
			}
			completed++
			tuner.Observe("work", r.runningAtStart, time.Since(r.startedAt)+step)
		}
		running = unfinished
	}
	return completed
}

// An overloaded server is slower when all of its slots are in use. The limit
// must reach nearly the best throughput, and more than a limit of all slots.
func TestReducesLimitIfFullServerIsSlow(t *testing.T) {
	for _, slots := range []int{11, 14, 60, 86} {
		synctest.Test(t, func(t *testing.T) {
			srv := server{slots: slots, slowdown: 1.3}
			allSlots := srv.simulate(&Tuner{}, 20*time.Second, func() int { return slots })
			tuner := &Tuner{}
			tuner.SetSlots(slots)
			srv.simulate(tuner, 2*time.Second, func() int { return slots / 2 })
			got := srv.simulate(tuner, 20*time.Second, tuner.Limit)
			best := srv.simulate(&Tuner{}, 20*time.Second, srv.fullSpeedLimit)
			t.Logf("%d slots: got %d completed, all slots %d, best %d", slots, got, allSlots, best)
			if want := best * 95 / 100; got < want {
				t.Errorf("completed with %d slots: got %d, want at least %d", slots, got, want)
			}
			if got <= allSlots {
				t.Errorf("completed with %d slots: got %d, want more than with all slots in use, %d", slots, got, allSlots)
			}
		})
	}
}

// The limit is all slots if the server does not slow down when it is full.
func TestKeepsAllSlotsIfFullServerIsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv := server{slots: 14, slowdown: 1}
		tuner := &Tuner{}
		tuner.SetSlots(14)
		srv.simulate(tuner, 2*time.Second, func() int { return 7 })
		got := srv.simulate(tuner, 20*time.Second, tuner.Limit)
		allSlots := srv.simulate(&Tuner{}, 20*time.Second, func() int { return 14 })
		if want := allSlots * 98 / 100; got < want {
			t.Errorf("completed: got %d, want at least %d", got, want)
		}
	})
}

// A server is slower for some seconds, which reduces the limit. The limit must
// return to all slots.
func TestRestoresLimitAfterSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tuner := &Tuner{}
		tuner.SetSlots(14)
		fast := server{slots: 14, slowdown: 1}
		fast.simulate(tuner, 2*time.Second, func() int { return 7 })
		server{slots: 14, slowdown: 3}.simulate(tuner, 5*time.Second, tuner.Limit)
		if got := tuner.Limit(); got != 13 {
			t.Fatalf("limit while the server is slow: got %d, want 13", got)
		}
		fast.simulate(tuner, time.Minute, tuner.Limit)
		if got := tuner.Limit(); got != 14 {
			t.Errorf("limit a minute after: got %d, want 14", got)
		}
	})
}
