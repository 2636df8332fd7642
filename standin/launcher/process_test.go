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

// bin is where TestMain builds the programs.
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

// newTestFleet starts Tatrasound's deployment as processes.
func newTestFleet(t *testing.T) *fleet {
	t.Helper()
	d, err := Load("tatrasound")
	if err != nil {
		t.Fatal(err)
	}
	l := &Launcher{Bin: bin, Duration: 4 * time.Second, Out: io.Discard}
	f := &fleet{Launcher: l, deployment: d, directory: t.TempDir(), keys: make(map[string]string)}
	t.Cleanup(f.stop)
	for _, step := range []func() error{f.write, f.start, func() error { return f.waitReady(context.Background()) }} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// reason sends one request and returns what came of it.
func (f *fleet) reason(via netip.AddrPort, key string) string {
	c := &loadgen.Generator{
		Targets:       []netip.AddrPort{via},
		Mix:           []loadgen.RequestKind{{Name: "search", Method: "GET", Path: "/catalogue/search", Share: 1, Idempotent: true}},
		Organisations: []loadgen.Organisation{{Name: "one", Key: key, Rate: 50}},
		Duration:      100 * time.Millisecond,
		Timeout:       3 * time.Second,
		Client:        &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for range 20 {
		if outcomes := c.Run(context.Background()); len(outcomes) > 0 {
			return outcomes[0].Reason
		}
	}
	return "nothing sent"
}

// TestProcesses runs the faults that need real processes, one after the other
// on one fleet: a stranger, a graceful stop under load, kill -9, and a process
// that is stopped while a key is withdrawn and wakes up late.
func TestProcesses(t *testing.T) {
	f := newTestFleet(t)
	t.Run("stranger", func(t *testing.T) { checkStranger(t, f) })
	t.Run("graceful stop", func(t *testing.T) { checkGracefulStop(t, f) })
	t.Run("kill", func(t *testing.T) { checkKill(t, f) })
	t.Run("late wake", func(t *testing.T) { checkLateWake(t, f) })
}

// checkStranger tries to reach a node's peer listener without a certificate of
// the fleet.
func checkStranger(t *testing.T, f *fleet) {
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig:   &tls.Config{InsecureSkipVerify: true},
		ForceAttemptHTTP2: true,
	}}
	target := "https://" + f.machines[0].peers.String() + "/apricotrudder.peer.v1.PeerService/Status"
	response, err := client.Post(target, "application/json", strings.NewReader("{}"))
	if err == nil {
		response.Body.Close()
		t.Errorf("got status %d without a certificate, want no answer", response.StatusCode)
	}
}

// checkGracefulStop stops a node while it is under load. Callers use the other
// nodes; none of their requests may be cut or have an unknown outcome.
func checkGracefulStop(t *testing.T, f *fleet) {
	const victim = 1
	c := f.newGenerator()
	c.Targets = nil
	for i, m := range f.machines {
		if i != victim {
			c.Targets = append(c.Targets, m.callers)
		}
	}
	time.AfterFunc(2*time.Second, func() { _ = f.nodes[victim].Process.Signal(syscall.SIGTERM) })
	checkNothingCut(t, c.Run(context.Background()))
}

func checkNothingCut(t *testing.T, outcomes []loadgen.Outcome) {
	t.Helper()
	answered := 0
	for _, o := range outcomes {
		switch {
		case o.Reason == loadgen.Answered:
			answered++
		case !strings.HasSuffix(o.Reason, "(notRun)"):
			t.Errorf("got outcome %q of a %s, want an answer or a refusal that says notRun", o.Reason, o.Kind)
		}
	}
	if answered == 0 {
		t.Errorf("got no answers among %d outcomes, want some", len(outcomes))
	}
}

// checkKill kills a node under load. Requests that it was running may have an
// unknown outcome, but no answer may be cut or belong to another request.
func checkKill(t *testing.T, f *fleet) {
	const victim = 6
	c := f.newGenerator()
	c.Targets = []netip.AddrPort{f.machines[0].callers, f.machines[8].callers}
	time.AfterFunc(2*time.Second, func() { _ = f.nodes[victim].Process.Kill() })
	for _, o := range c.Run(context.Background()) {
		if strings.HasPrefix(o.Reason, "answer") && o.Reason != loadgen.Answered && !strings.Contains(o.Reason, "(") {
			t.Errorf("got outcome %q of a %s, want whole and own answers only", o.Reason, o.Kind)
		}
	}
}

// checkLateWake stops a process, withdraws a key, and lets the process run on.
// It must not act on its old belief that the key is granted.
func checkLateWake(t *testing.T, f *fleet) {
	const victim = 4
	m, key := f.machines[victim], f.keys["studio-vah"]
	if got := f.reason(m.callers, key); got != loadgen.Answered {
		t.Fatalf("before: got %q, want an answer", got)
	}
	if err := f.nodes[victim].Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	f.withdraw(t, "studio-vah")
	time.Sleep(6 * time.Second)
	if got := f.reason(f.machines[0].callers, key); got != "keyUnknown (notRun)" {
		t.Errorf("elsewhere: got %q, want keyUnknown (notRun)", got)
	}
	// The request is waiting when the process wakes up.
	result := make(chan string, 1)
	go func() { result <- f.reason(m.callers, key) }()
	time.Sleep(200 * time.Millisecond)
	if err := f.nodes[victim].Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if got := <-result; got == loadgen.Answered {
		t.Errorf("after a late wake: got an answer for a withdrawn key, want a refusal")
	}
}

// withdraw publishes that an organisation's key is granted no more.
func (f *fleet) withdraw(t *testing.T, organisation string) {
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
