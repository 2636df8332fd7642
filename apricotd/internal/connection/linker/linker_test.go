package linker

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"math"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"apricotrudder.dev/apricotd/internal/process/reserver"
	"apricotrudder.dev/standin/connector"
	"apricotrudder.dev/wire/linkwire"
)

const testPort = 3

// Addresses of two linkers.
var (
	a = netip.MustParseAddr("10.1.0.1")
	b = netip.MustParseAddr("10.2.0.1")
)

// runNetwork runs a test on a network in a synctest bubble. After the test it ends
// ctx and lets goroutines that wait for a deadline reach it.
func runNetwork(t *testing.T, test func(ctx context.Context, t *testing.T, network *connector.Connector)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Minute)
		defer cancel()
		test(ctx, t, &connector.Connector{})
	})
}

// start runs a linker at address self until ctx is done.
func start(ctx context.Context, t *testing.T, network *connector.Connector, self netip.Addr, receive func(*Link, *linkwire.Frame)) *Linker {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &Linker{
		Port:        testPort,
		Serve:       func(context.Context, *linkwire.Run) *linkwire.Result { return okResult() },
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
	runNetwork(t, func(ctx context.Context, t *testing.T, network *connector.Connector) {
		network.Latency = func(netip.Addr, netip.Addr) time.Duration { return 12 * time.Millisecond }
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
	})
}

func okResult() *linkwire.Result {
	return &linkwire.Result{Outcome: &linkwire.Result_Answer{Answer: &linkwire.Answer{Status: 200}}}
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
	runNetwork(t, func(ctx context.Context, t *testing.T, network *connector.Connector) {
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
	})
}

// Guards against one frame that cannot be encoded failing all exchanges on its link.
func TestUnencodableFrameFailsOnlyItsExchange(t *testing.T) {
	runNetwork(t, func(ctx context.Context, t *testing.T, network *connector.Connector) {
		sender := start(ctx, t, network, a, func(*Link, *linkwire.Frame) {})
		receiver := start(ctx, t, network, b, func(*Link, *linkwire.Frame) {})
		receiver.Serve = func(context.Context, *linkwire.Run) *linkwire.Result {
			time.Sleep(100 * time.Millisecond)
			return okResult()
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
	})
}

// Guards against an answer in a frame whose status is none of a final response, such as
// 0, being passed on to a caller.
func TestStatusesOfAnswersInFrames(t *testing.T) {
	for _, status := range []uint32{0, 1, 99, 100, 101, 103, 199, 200, 204, 299, 404, 503, 599, 600, 999, 1000, math.MaxUint32} {
		err := check(&linkwire.Frame{Exchange: 1, Kind: &linkwire.Frame_Result{Result: &linkwire.Result{
			Outcome: &linkwire.Result_Answer{Answer: &linkwire.Answer{Status: status}},
		}}})
		if want := status >= 200 && status <= 599; want != (err == nil) {
			t.Errorf("answer with status %d: got error %v, want it accepted: %v", status, err, want)
		}
	}
}

func resultWith(load *linkwire.Load) *linkwire.Frame {
	return &linkwire.Frame{Exchange: 1, Kind: &linkwire.Frame_Result{Result: &linkwire.Result{
		Outcome: &linkwire.Result_Answer{Answer: &linkwire.Answer{Status: 200}}, Load: load,
	}}}
}

// Guards against a malformed frame that takes the process down.
func TestMalformedFramesCloseTheirLink(t *testing.T) {
	nan := math.NaN()
	for name, frame := range map[string]*linkwire.Frame{
		"run with NaN":    {Exchange: 1, Kind: &linkwire.Frame_Run{Run: &linkwire.Run{Held: nan}}},
		"negative rate":   {Kind: &linkwire.Frame_Beat{Beat: &linkwire.Beat{Notice: &linkwire.Notice{Server: "i", Limited: true, Rate: -1}}}},
		"infinite demand": {Kind: &linkwire.Frame_Usage{Usage: &linkwire.Usage{Demands: []*linkwire.Demand{{Rate: float32(math.Inf(1))}}}}},
		"answer without status": {Exchange: 1, Kind: &linkwire.Frame_Result{Result: &linkwire.Result{
			Outcome: &linkwire.Result_Answer{Answer: &linkwire.Answer{Body: []byte("x")}},
		}}},
		"interim answer": {Exchange: 1, Kind: &linkwire.Frame_Result{Result: &linkwire.Result{
			Outcome: &linkwire.Result_Answer{Answer: &linkwire.Answer{Status: 103}},
		}}},
		"result without one":   {Exchange: 1, Kind: &linkwire.Frame_Result{Result: &linkwire.Result{}}},
		"expected time of NaN": {Exchange: 1, Kind: &linkwire.Frame_Run{Run: &linkwire.Run{ExpectedMs: nan}}},
		"lost runs of NaN":     resultWith(&linkwire.Load{Lost: nan}),
		"too many lost runs":   resultWith(&linkwire.Load{Lost: 1.5}),
		"backlog of NaN":       resultWith(&linkwire.Load{BacklogMs: nan}),
		"infinite slowdown":    resultWith(&linkwire.Load{Slowdown: math.Inf(1)}),
		"excess of NaN": {Exchange: 1, Kind: &linkwire.Frame_Result{Result: &linkwire.Result{
			Outcome: &linkwire.Result_Answer{Answer: &linkwire.Answer{Status: 200}}, Load: &linkwire.Load{Excess: nan},
		}}},
	} {
		t.Run(name, func(t *testing.T) {
			runNetwork(t, func(ctx context.Context, t *testing.T, network *connector.Connector) {
				start(ctx, t, network, a, func(*Link, *linkwire.Frame) { t.Error("got the frame passed on, want it dropped") })
				nc := rawPeer(t, network, a)
				writeFrameTo(t, nc, frame)
				if took, _ := writeUntilClosed(nc, nil, 10*time.Millisecond); took > time.Second {
					t.Errorf("link closed after %v, want at once", took)
				}
			})
		})
	}
}

// Guards against a reply of another kind than the exchange expects: a Result for a
// Borrow ended the process.
func TestReplyOfOtherKindFailsTheExchange(t *testing.T) {
	runNetwork(t, func(ctx context.Context, t *testing.T, network *connector.Connector) {
		l := start(ctx, t, network, a, func(*Link, *linkwire.Frame) {})
		listener, err := network.Listen(netip.AddrPortFrom(b, testPort))
		if err != nil {
			t.Fatalf("listen: %v", err)
		}
		go func() {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, nc) }()
			time.Sleep(100 * time.Millisecond)
			writeFrameTo(t, nc, &linkwire.Frame{Exchange: 1, Kind: &linkwire.Frame_Result{Result: okResult()}})
			time.Sleep(100 * time.Millisecond)
			writeFrameTo(t, nc, &linkwire.Frame{Exchange: 2, Kind: &linkwire.Frame_Grant{Grant: &linkwire.Grant{}}})
		}()
		if grant, err := l.Borrow(ctx, b, &linkwire.Borrow{}); grant != nil || err == nil {
			t.Errorf("borrow that was answered with a result: got %v, %v, want an error", grant, err)
		}
		var unsent *UnsentError
		if result, err := l.Exchange(ctx, b, &linkwire.Run{}); result != nil || err == nil || errors.As(err, &unsent) {
			t.Errorf("run that was answered with a grant: got %v, %v, want an error that does not say unsent", result, err)
		}
		_ = listener.Close()
	})
}

// Guards against a panic while one request is served that takes the process down.
func TestPanicFailsOnlyItsExchange(t *testing.T) {
	runNetwork(t, func(ctx context.Context, t *testing.T, network *connector.Connector) {
		sender := start(ctx, t, network, a, func(*Link, *linkwire.Frame) {})
		receiver := start(ctx, t, network, b, func(*Link, *linkwire.Frame) {})
		receiver.Serve = func(_ context.Context, run *linkwire.Run) *linkwire.Result {
			if run.Pool == "panic" {
				panic("test")
			}
			time.Sleep(100 * time.Millisecond)
			return okResult()
		}
		done := make(chan *linkwire.Result, 1)
		go func() {
			result, _ := sender.Exchange(ctx, b, &linkwire.Run{Pool: "p"})
			done <- result
		}()
		time.Sleep(50 * time.Millisecond)
		result, err := sender.Exchange(ctx, b, &linkwire.Run{Pool: "panic"})
		if r := result.GetRefusal(); err != nil || r == nil || r.NotRun || !r.Arrived {
			t.Errorf("exchange with a panic: got %v, %v, want a result that may have run", result, err)
		}
		if got := (<-done).GetAnswer().GetStatus(); got != 200 {
			t.Errorf("other exchange on the link: got status %d, want 200", got)
		}
	})
}

func writeFrameTo(t *testing.T, nc net.Conn, frame *linkwire.Frame) {
	t.Helper()
	data, err := proto.Marshal(frame)
	if err != nil {
		t.Fatalf("encode frame: %v", err)
	}
	if _, err := nc.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)); err != nil {
		t.Errorf("write frame: %v", err)
	}
}

// Guards against a request that is written to a silent peer after it was given up, and
// reported as one that may have run.
func TestRequestIsNotWrittenAfterRetirement(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := start(ctx, t, &connector.Connector{}, a, func(*Link, *linkwire.Frame) {})
	far, near := net.Pipe()
	defer far.Close()
	link := l.startLink(near)
	_, _ = far.Read(make([]byte, 1)) // the rest of the heartbeat keeps the writer busy
	errs := make(chan error, 2)
	exchangeOrder := func(id uint64) *pending {
		go func() {
			_, err := link.exchange(ctx, &linkwire.Frame{Kind: &linkwire.Frame_Run{Run: &linkwire.Run{}}})
			errs <- err
		}()
		for ctx.Err() == nil {
			link.mu.Lock()
			p := link.waiting[id]
			link.mu.Unlock()
			if p != nil {
				return p
			}
			runtime.Gosched()
		}
		return nil
	}
	exchangeOrder(1).sendState.Store(written)
	second := exchangeOrder(2)
	peer := l.peer(link.Peer)
	peer.mu.Lock()
	go link.checkSilence(time.Now().Add(2 * silenceTimeout))
	for !link.isRetired() {
		runtime.Gosched()
	}
	if _, err := link.writeFrame(bufio.NewWriter(io.Discard), nil, outgoing{frame: &linkwire.Frame{}, pending: second}); err != nil {
		t.Errorf("write frame: %v", err)
	}
	peer.mu.Unlock()
	var unsent *UnsentError
	if err := <-errs; !errors.As(err, &unsent) {
		t.Errorf("request that was queued when the link was retired: got error %v, want an UnsentError", err)
	}
}
