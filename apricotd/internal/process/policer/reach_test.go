package policer

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
)

// Guards against an owner that uses the part of nodes out of reach, or that leaves
// unused the part of nodes which it hears or which admit nothing.
func TestReachableFraction(t *testing.T) {
	address := func(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}) }
	for _, c := range []struct {
		name                        string
		silent, down, absent, other int // nodes of each kind
		isPressed                   bool
		want                        float64
	}{
		{"all heard", 0, 0, 0, 0, true, 1},
		{"half silent", 8, 0, 0, 0, true, 0.5},
		{"half silent, nothing refused", 8, 0, 0, 0, false, 1},
		{"half refuse connections", 0, 8, 0, 0, true, 1},
		{"absent and silent", 0, 0, 16, 0, true, 0.5},
		{"absent of another region", 0, 0, 0, 16, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const nodes = 16
				var servers []*lister.Server
				for i := range nodes {
					servers = append(servers, &lister.Server{ID: fmt.Sprint(i), Region: "r", Address: netip.AddrPortFrom(address(i), 1)})
				}
				list := lister.New(1, servers)
				var absent []lister.AbsentVM
				for i := range c.absent + c.other {
					region := "r"
					if i >= c.absent {
						region = "other"
					}
					absent = append(absent, lister.AbsentVM{Address: address(100 + i), Region: region, Since: time.Now()})
				}
				list.SetAbsent(absent)
				unheard := make(map[netip.Addr]bool)
				for i := range c.silent + c.down {
					unheard[address(nodes-1-i)] = true
				}
				p := &Policer{
					Self: address(0), Region: "r", List: func() *lister.List { return list },
					LastHeard: func(a netip.Addr) time.Time {
						if unheard[a] || a.As4()[3] >= 100 {
							return time.Time{}
						}
						return time.Now()
					},
					IsUnreachable: func(netip.Addr) bool { return false },
					IsDown:        func(a netip.Addr) bool { return c.down > 0 && unheard[a] },
					Probe:         func(netip.Addr) {},
				}
				for range 4 {
					if c.isPressed {
						p.refusedAt = time.Now()
					}
					p.ProbePeers()
					time.Sleep(ReachProbeInterval)
				}
				if got := p.reachableFraction(); got != c.want {
					t.Errorf("reachable fraction: got %v, want %v", got, c.want)
				}
				time.Sleep(absentTTL)
				if c.isPressed {
					p.refusedAt = time.Now()
				}
				p.ProbePeers()
				if got := p.reachableFraction(); c.absent > 0 && got != 1 {
					t.Errorf("reachable fraction after %v: got %v, want 1", absentTTL, got)
				}
			})
		})
	}
}
