package launcher

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/standin/loadgen"
)

// bin is the directory of the programs, which TestMain builds.
var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "apricotrudder-test-")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(directory)
	bin = directory
	for _, program := range []string{"apricotd", "standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(bin, program), "apricotrudder.dev/"+program)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Printf("build %s: %v\n%s", program, err, out)
			return 1
		}
	}
	return m.Run()
}

// newTestFleet starts the deployment tatrasound and waits until it is ready.
func newTestFleet(t *testing.T) *fleet {
	t.Helper()
	d, err := Load("tatrasound")
	if err != nil {
		t.Fatal(err)
	}
	l := &Launcher{Bin: bin, Duration: 4 * time.Second, Out: io.Discard}
	f := &fleet{Launcher: l, deployment: d, directory: t.TempDir(), keys: make(map[string]string)}
	t.Cleanup(f.stop)
	for _, step := range []func() error{f.writeFiles, f.start, func() error { return f.waitReady(context.Background()) }} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// sendRequest sends at least one request and returns the reason of the first
// outcome.
func (f *fleet) sendRequest(via netip.AddrPort, key string) string {
	g := &loadgen.Generator{
		Targets:       []netip.AddrPort{via},
		Mix:           []loadgen.RequestKind{{Name: "search", Method: "GET", Path: "/catalogue/search", Share: 1, Idempotent: true}},
		Organisations: []loadgen.Organisation{{Name: "one", Key: key, Rate: 50}},
		Duration:      100 * time.Millisecond,
		Timeout:       3 * time.Second,
		Client:        &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	// Arrivals are random, so a run may send no request.
	for range 20 {
		if outcomes := g.Run(context.Background()); len(outcomes) > 0 {
			return outcomes[0].Reason
		}
	}
	return "no request sent"
}

// TestProcesses tests the faults that need real processes, one after the other
// on the same fleet: a peer without a certificate, a graceful stop under load,
// SIGHUP before and during such a stop, SIGKILL, and a node that is suspended while a
// key is revoked and then resumes.
func TestProcesses(t *testing.T) {
	f := newTestFleet(t)
	t.Run("stranger", func(t *testing.T) { checkUnauthenticatedPeer(t, f) })
	t.Run("graceful stop", func(t *testing.T) { checkGracefulStop(t, f) })
	t.Run("hangup", func(t *testing.T) { checkHangup(t, f) })
	t.Run("kill", func(t *testing.T) { checkKill(t, f) })
	t.Run("late wake", func(t *testing.T) { checkLateResume(t, f) })
}

// checkUnauthenticatedPeer checks that a node's peer listener rejects a client
// without a certificate of the fleet.
func checkUnauthenticatedPeer(t *testing.T, f *fleet) {
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig:   &tls.Config{InsecureSkipVerify: true},
		ForceAttemptHTTP2: true,
	}}
	target := "https://" + f.vms[0].peers.String() + "/apricotrudder.peer.v1.PeerService/Status"
	response, err := client.Post(target, "application/json", strings.NewReader("{}"))
	if err == nil {
		response.Body.Close()
		t.Errorf("got status %d without a certificate, want no response", response.StatusCode)
	}
}

// checkGracefulStop sends SIGTERM to a node under load. The requests enter
// through the other nodes. None of them may be interrupted or have an unknown
// outcome.
func checkGracefulStop(t *testing.T, f *fleet) {
	const victim = 1
	g := f.newGenerator()
	g.Targets = nil
	for i, v := range f.vms {
		if i != victim {
			g.Targets = append(g.Targets, v.callers)
		}
	}
	time.AfterFunc(2*time.Second, func() { _ = f.nodes[victim].Process.Signal(syscall.SIGTERM) })
	checkAnsweredOrNotRun(t, g.Run(context.Background()))
}

// checkHangup sends SIGHUP to a node under load, and again while it stops. Guards
// against a SIGHUP that ends a node with the requests that it is running.
func checkHangup(t *testing.T, f *fleet) {
	const victim = 2
	g := f.newGenerator()
	g.Targets = []netip.AddrPort{f.vms[0].callers, f.vms[8].callers}
	signal := func(s syscall.Signal) func() {
		return func() { _ = f.nodes[victim].Process.Signal(s) }
	}
	time.AfterFunc(time.Second, signal(syscall.SIGHUP))
	time.AfterFunc(2*time.Second, signal(syscall.SIGTERM))
	time.AfterFunc(2*time.Second+20*time.Millisecond, signal(syscall.SIGHUP))
	checkAnsweredOrNotRun(t, g.Run(context.Background()))
	if err := f.nodes[victim].Wait(); err != nil {
		t.Errorf("node ended with %v, want no error after a graceful stop", err)
	}
}

func checkAnsweredOrNotRun(t *testing.T, outcomes []loadgen.Outcome) {
	t.Helper()
	answered := 0
	for _, o := range outcomes {
		switch {
		case o.Reason == loadgen.Answered:
			answered++
		case !strings.HasSuffix(o.Reason, "(notRun)"):
			t.Errorf("got outcome %q of a %s, want a response or a refusal with notRun", o.Reason, o.Kind)
		}
	}
	if answered == 0 {
		t.Errorf("got no answered requests among %d outcomes, want some", len(outcomes))
	}
}

// checkKill sends SIGKILL to a node under load. The requests that it was running
// may have an unknown outcome, but no response may be truncated or belong to
// another request.
func checkKill(t *testing.T, f *fleet) {
	const victim = 6
	g := f.newGenerator()
	g.Targets = []netip.AddrPort{f.vms[0].callers, f.vms[8].callers}
	time.AfterFunc(2*time.Second, func() { _ = f.nodes[victim].Process.Kill() })
	for _, o := range g.Run(context.Background()) {
		if strings.HasPrefix(o.Reason, "answer") && o.Reason != loadgen.Answered && !strings.Contains(o.Reason, "(") {
			t.Errorf("got outcome %q of a %s, want only complete responses to the request itself", o.Reason, o.Kind)
		}
	}
}

// checkLateResume suspends a node with SIGSTOP, revokes a key, and resumes the
// node with SIGCONT. The node must not accept the key on the basis of its
// outdated tables.
func checkLateResume(t *testing.T, f *fleet) {
	const victim = 4
	v, key := f.vms[victim], f.keys["studio-vah"]
	if got := f.sendRequest(v.callers, key); got != loadgen.Answered {
		t.Fatalf("before the suspension: got %q, want an answer", got)
	}
	if err := f.nodes[victim].Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	f.revokeKey(t, "studio-vah")
	time.Sleep(6 * time.Second)
	if got := f.sendRequest(f.vms[0].callers, key); got != "keyUnknown (notRun)" {
		t.Errorf("on another node: got %q, want keyUnknown (notRun)", got)
	}
	// The request is already waiting when the process resumes.
	result := make(chan string, 1)
	go func() { result <- f.sendRequest(v.callers, key) }()
	time.Sleep(200 * time.Millisecond)
	if err := f.nodes[victim].Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if got := <-result; got == loadgen.Answered {
		t.Errorf("after the resumption: got an answer for a revoked key, want a refusal")
	}
}

// revokeKey publishes a table in which an organisation's key is replaced by one
// that no caller has.
func (f *fleet) revokeKey(t *testing.T, organisation string) {
	t.Helper()
	path := f.path("tables/organisations.toml")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	old, none := checker.Digest(f.keys[organisation]).String(), checker.Digest("nobody").String()
	if err := os.WriteFile(path, []byte(strings.Replace(string(data), old, none, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
}
