package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A script is a test of one fleet, read from testdata/scripts/*.txt. Each line
// holds one command with its expected result:
//
//	table NAME            define a table by the indented lines that follow
//	start N POOL...       start N VMs of each pool in each of four data centres
//	wait DURATION
//	publish NAME          publish a changed table
//	replace NAME OLD NEW  change a table's text and publish it; | is a new line
//	withdraw KEY          publish the organisations table without a key
//	grant OLD NEW         publish a new key in place of a withdrawn one
//	list VM STATE         publish a VM's state: live, leaving or gone (not listed)
//	platform stop|freeze|restart|slow
//	cut A B, heal A B     cut or restore the network between VMs, data centres,
//	                      regions, "platform" or "all"
//	kill VM, restart VM   lose a VM; restart it without its earlier state
//	halt VM               shut a VM down gracefully
//	killOwner ID          kill the VM that owns the claim shard of a request, given
//	                      as ORGANISATION/IDEMPOTENCYKEY
//	send VIA METHOD PATH KEY IDEMPOTENCYKEY = REASON   ("-" for none)
//	version VM N          check the active version of the tables
//	runs SUFFIX <= N      bound the runs of request IDs with a suffix, summed over
//	                      all backend servers
//	mark                  remember how many requests each backend server has begun
//	served VM N           check the requests begun on a VM since the last mark
//	calls PER_SECOND      bound the rate of calls to the platform since the start
//	                      or the last "calls"
type script struct {
	f            *fleet
	name         string
	line         int
	tables       map[string]string
	servedAtMark map[string]int
	callsAtCheck int
	checkedAt    time.Time
}

func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/scripts/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts found in testdata/scripts (error: %v)", err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				s := &script{f: f, name: filepath.Base(path), tables: defaultTables()}
				s.run(strings.Split(string(data), "\n"))
			})
		})
	}
}

func (s *script) run(lines []string) {
	for i := 0; i < len(lines); i++ {
		s.line = i + 1
		words := strings.Fields(lines[i])
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if words[0] == "table" {
			var text []string
			for i+1 < len(lines) && strings.HasPrefix(lines[i+1], "\t") {
				i++
				text = append(text, strings.TrimPrefix(lines[i], "\t"))
			}
			s.tables[words[1]] = strings.Join(text, "\n")
			continue
		}
		s.execute(words[0], words[1:])
	}
}

func (s *script) execute(command string, args []string) {
	f := s.f
	switch command {
	case "start":
		f.start(args[1:], s.parseInt(args[0]), s.tables)
		s.callsAtCheck, s.checkedAt = f.platform.Calls(), time.Now()
	case "wait":
		d, err := time.ParseDuration(args[0])
		s.checkError(err)
		time.Sleep(d)
	case "publish":
		f.publish(map[string]string{args[0]: s.tables[args[0]]})
	case "replace":
		s.replaceText(args[0], args[1], args[2])
	case "list":
		f.setVMState(args[0], args[1])
	case "platform":
		s.setPlatformState(args[0])
	case "cut", "heal":
		f.setReachable(args[0], args[1], command == "heal")
	case "kill":
		f.killVM(args[0])
	case "killOwner":
		f.killVM(f.claimOwner(args[0]))
	case "restart":
		f.restartVM(args[0])
	case "halt":
		f.stopVM(args[0])
	case "send":
		s.checkSend(args)
	case "version":
		got, _ := f.machines[args[0]].node.spreader.Versions()
		s.expect(got == uint64(s.parseInt(args[1])), "%s: got version %d, want %s", args[0], got, args[1])
	case "runs":
		s.checkRuns(args)
	case "withdraw":
		s.replaceText("organisations", digestOf(args[0]), digestOf("nobody has "+args[0]))
	case "grant":
		s.replaceText("organisations", digestOf("nobody has "+args[0]), digestOf(args[1]))
	case "mark":
		s.servedAtMark = make(map[string]int)
		for id, m := range f.machines {
			s.servedAtMark[id] = m.backend.Served()
		}
	case "served":
		got := f.machines[args[0]].backend.Served() - s.servedAtMark[args[0]]
		s.expect(got == s.parseInt(args[1]), "%s: got %d requests served, want %s", args[0], got, args[1])
	case "calls":
		s.checkCallRate(args[0])
	default:
		s.expect(false, "unknown command %q", command)
	}
}

func (s *script) setPlatformState(state string) {
	switch state {
	case "stop":
		s.f.platform.Stop()
	case "freeze":
		s.f.platform.Freeze()
	case "restart":
		s.f.platform.Restart()
	case "slow":
		s.f.platform.Slow(10 * time.Second)
	default:
		s.expect(false, "unknown platform state %q, want stop, freeze, restart or slow", state)
	}
}

func (s *script) replaceText(table, old, replacement string) {
	s.expect(strings.Contains(s.tables[table], old), "%q not found in table %s", old, table)
	replacement = strings.ReplaceAll(replacement, "|", "\n")
	s.tables[table] = strings.ReplaceAll(s.tables[table], old, replacement)
	s.f.publish(map[string]string{table: s.tables[table]})
}

func (s *script) checkSend(args []string) {
	optional := func(text string) string {
		if text == "-" {
			return ""
		}
		return text
	}
	got := s.f.send(args[0], args[1], args[2], optional(args[3]), optional(args[4]), nil)
	s.expect(got.reason == args[6], "send %v: got %s (%s), want %s", args[:5], got.reason, got.ran, args[6])
}

func (s *script) checkRuns(args []string) {
	total := 0
	for _, m := range s.f.machines {
		for key, n := range m.backend.Runs() {
			if strings.HasSuffix(key, args[0]) {
				total += n
			}
		}
	}
	s.expect(total <= s.parseInt(args[2]), "runs of %s: got %d, want at most %s", args[0], total, args[2])
}

func (s *script) checkCallRate(perSecond string) {
	seconds := time.Since(s.checkedAt).Seconds()
	rate := float64(s.f.platform.Calls()-s.callsAtCheck) / seconds
	s.expect(rate <= float64(s.parseInt(perSecond)), "platform: got %.1f calls per second, want at most %s", rate, perSecond)
	s.callsAtCheck, s.checkedAt = s.f.platform.Calls(), time.Now()
}

func (s *script) parseInt(text string) int {
	n, err := strconv.Atoi(text)
	s.checkError(err)
	return n
}

func (s *script) checkError(err error) {
	s.expect(err == nil, "%v", err)
}

func (s *script) expect(ok bool, format string, args ...any) {
	s.f.t.Helper()
	if !ok {
		s.f.t.Errorf("%s:%d: %s", s.name, s.line, fmt.Sprintf(format, args...))
	}
}

// defaultTables returns the tables of fleets that do not define their own.
func defaultTables() map[string]string {
	return map[string]string{
		"routes": `
[[route]]
name = "search"
method = "GET"
path = "/catalogue/{track}"
pool = "catalogue"
class = "normal"
idempotent = true
timeout = "2s"
retries = 3

[[route]]
name = "status"
method = "GET"
path = "/status"
pool = "catalogue"
class = "low"
access = "open"
idempotent = true
timeout = "2s"

[[route]]
name = "grant"
method = "POST"
path = "/licensing/grants"
pool = "licensing"
class = "critical"
idempotent = false
timeout = "3s"
retries = 3
`,
		"pools": `
[[pool]]
name = "catalogue"
slots = 10
connections = 100

[[pool]]
name = "licensing"
slots = 10
connections = 100
`,
		"organisations": fmt.Sprintf(`
[[organisation]]
name = "agency"
rate = 50
burst = 50
keys = [%q]

[[organisation]]
name = "studio"
rate = 20
burst = 20
keys = [%q]
`, digestOf("agency-key"), digestOf("studio-key")),
	}
}
