package linker

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"apricotrudder.dev/standin/connector"
	"apricotrudder.dev/wire/linkwire"
)

const testPort = 3

// start runs a linker at address self until ctx is done.
func start(ctx context.Context, t *testing.T, network *connector.Connector, self netip.Addr, receive func(*Link, *linkwire.Frame)) *Linker {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &Linker{
		Port:        testPort,
		Serve:       func(context.Context, *linkwire.Run) *linkwire.Result { return &linkwire.Result{} },
		GrantTokens: func(*linkwire.Borrow) *linkwire.Grant { return &linkwire.Grant{} },
		Beat:        func() *linkwire.Beat { return &linkwire.Beat{} },
		Receive:     receive,
		Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return network.Dial(ctx, self, to)
		},
		Log: log,
	}
	l.Start(ctx)
	listener, err := network.Listen(netip.AddrPortFrom(self, testPort))
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	go func() {
		if err := l.Run(ctx, listener); err != nil {
			t.Errorf("run linker: got %v, want no error", err)
		}
	}()
	return l
}

// Guards against frames outside of exchanges being dropped when there is no link
// to the peer. The bucket owners of two regions did not receive each other's
// demand reports, and each granted most of the rate.
func TestSendToPeerWithoutLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := &connector.Connector{Latency: func(netip.Addr, netip.Addr) time.Duration { return 12 * time.Millisecond }}
		a, b := netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.2.0.1")
		got := make(chan *linkwire.Usage, 1)
		sender := start(ctx, t, network, a, func(*Link, *linkwire.Frame) {})
		start(ctx, t, network, b, func(_ *Link, f *linkwire.Frame) {
			if u := f.GetUsage(); u != nil {
				got <- u
			}
		})
		sender.SendFrame(b, &linkwire.Frame{Kind: &linkwire.Frame_Usage{Usage: &linkwire.Usage{Region: "south"}}})
		select {
		case u := <-got:
			if u.Region != "south" {
				t.Errorf("region: got %q, want %q", u.Region, "south")
			}
		case <-time.After(time.Second):
			t.Error("frame to a peer without a link: not received within 1 s")
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
