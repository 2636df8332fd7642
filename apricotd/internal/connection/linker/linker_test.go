package linker

import (
	"context"
	"io"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/process/reserver"
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

// A rawPeer is a connection to a linker on which a test writes bytes.
func rawPeer(t *testing.T, network *connector.Connector, to netip.Addr) net.Conn {
	t.Helper()
	nc, err := network.Dial(t.Context(), netip.MustParseAddr("10.1.0.9"), netip.AddrPortFrom(to, testPort))
	if err != nil {
		t.Fatalf("dial linker: %v", err)
	}
	go func() { _, _ = io.Copy(io.Discard, nc) }()
	return nc
}

// writeUntilClosed writes parts, with a pause after each, until the linker closes
// the connection. It returns how long that took and the bytes written.
func writeUntilClosed(nc net.Conn, part []byte, pause time.Duration) (time.Duration, int) {
	start, written := time.Now(), 0
	for time.Since(start) < time.Hour {
		n, err := nc.Write(part)
		written += n
		if err != nil {
			break
		}
		time.Sleep(pause)
	}
	return time.Since(start), written
}

// Guards against peers that occupy memory or a connection with frames that do not
// end: many large ones at once, and one that arrives a byte at a time.
func TestEndlessFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := &connector.Connector{}
		a := netip.MustParseAddr("10.1.0.1")
		l := start(ctx, t, network, a, func(*Link, *linkwire.Frame) {})
		memory := &reserver.Reserver{Limit: 1 << 20}
		l.Memory = memory
		largest := []byte{byte(maxFrameBytes >> 24), byte(maxFrameBytes >> 16 & 0xff), byte(maxFrameBytes >> 8 & 0xff), 0}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() {
				nc := rawPeer(t, network, a)
				_, _ = nc.Write(largest)
				if _, n := writeUntilClosed(nc, make([]byte, 4000), time.Millisecond); n > 2<<20 {
					t.Errorf("bytes read of a large frame: got %d, want at most %d", n, 2<<20)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		runtime.ReadMemStats(&after)
		if got, want := int64(after.HeapInuse)-int64(before.HeapInuse), int64(64<<20); got > want {
			t.Errorf("heap growth for 100 unfinished frames: got %d bytes, want at most %d", got, want)
		}
		wg.Wait()
		nc := rawPeer(t, network, a)
		_, _ = nc.Write([]byte{0, 0, 1, 0})
		if took, _ := writeUntilClosed(nc, []byte{0}, time.Second); took > time.Minute {
			t.Errorf("connection with a trickled frame: closed after %v, want at most 1m", took)
		}
		if n, _ := memory.Reserved(); n != 0 {
			t.Errorf("memory reserved at the end: got %d bytes, want 0", n)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against one frame that cannot be encoded failing all exchanges on its link.
func TestUnencodableFrameFailsOnlyItsExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := &connector.Connector{}
		a, b := netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.2.0.1")
		sender := start(ctx, t, network, a, func(*Link, *linkwire.Frame) {})
		receiver := start(ctx, t, network, b, func(*Link, *linkwire.Frame) {})
		receiver.Serve = func(context.Context, *linkwire.Run) *linkwire.Result {
			time.Sleep(100 * time.Millisecond)
			return &linkwire.Result{}
		}
		done := make(chan error, 1)
		go func() {
			_, err := sender.Exchange(ctx, b, &linkwire.Run{Pool: "p"})
			done <- err
		}()
		time.Sleep(50 * time.Millisecond)
		_, err := sender.Exchange(ctx, b, &linkwire.Run{Pool: "\xff"})
		var unsent *UnsentError
		if !errors.As(err, &unsent) {
			t.Errorf("exchange that cannot be encoded: got %v, want an UnsentError", err)
		}
		if err := <-done; err != nil {
			t.Errorf("other exchange on the link: got %v, want no error", err)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
