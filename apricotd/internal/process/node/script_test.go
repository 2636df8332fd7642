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

// A script drives one fleet. Its commands stand in testdata/scripts/*.txt, one
// a line, with what is expected beside them:
//
//	table NAME            the following indented lines are a table
//	start N POOL...       N VMs of each pool in each of four data centres
//	wait DURATION
//	publish NAME          publish a table that was changed
//	replace NAME OLD NEW  change a table's text and publish it; | is a new line
//	withdraw KEY          publish that a key is granted no more
//	grant OLD NEW         publish a key in the place of a withdrawn one
//	list VM STATE         change the VM list: live, leaving or gone
//	platform stop|freeze|restart|slow
//	cut A B, heal A B     VMs, data centres, regions, "platform" or "all"
//	kill VM, restart VM, halt VM
//	killOwner ID          kill the VM that owns the shard of a claim
//	send VIA METHOD PATH KEY IDEMPOTENCYKEY = REASON   ("-" for none)
//	version VM N          the tables' version in force
//	runs KEY <= N         how often a request id was begun, everywhere
//	mark, served VM N     requests that a backend server began since the mark
//	calls PER_SECOND      bound on the platform's calls since the last "calls"
type script struct {
	f      *fleet
	name   string
	line   int
	tables map[string]string
	served map[string]int
	calls  int
	callAt time.Time
}

func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/scripts/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("got no scripts (%v), want some", err)
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
		s.step(words[0], words[1:])
	}
}

func (s *script) step(command string, args []string) {
	f := s.f
	switch command {
	case "start":
		f.start(args[1:], s.number(args[0]), s.tables)
		s.calls, s.callAt = f.tables.Calls(), time.Now()
	case "wait":
		d, err := time.ParseDuration(args[0])
		s.check(err)
		time.Sleep(d)
	case "publish":
		f.publish(map[string]string{args[0]: s.tables[args[0]]})
	case "replace":
		s.replace(args[0], args[1], args[2])
	case "list":
		f.list(args[0], args[1])
	case "platform":
		s.platform(args[0])
	case "cut", "heal":
		f.cut(args[0], args[1], command == "heal")
	case "kill":
		f.kill(args[0])
	case "killOwner":
		f.kill(f.claimOwner(args[0]))
	case "restart":
		f.restart(args[0])
	case "halt":
		f.halt(args[0])
	case "send":
		s.send(args)
	case "version":
		got, _ := f.machine[args[0]].node.spreader.Versions()
		s.expect(got == uint64(s.number(args[1])), "%s: got version %d, want %s", args[0], got, args[1])
	case "runs":
		s.runs(args)
	case "withdraw":
		s.replace("organisations", digestOf(args[0]), digestOf("nobody has "+args[0]))
	case "grant":
		s.replace("organisations", digestOf("nobody has "+args[0]), digestOf(args[1]))
	case "mark":
		s.served = make(map[string]int)
		for id, m := range f.machine {
			s.served[id] = m.backend.Served()
		}
	case "served":
		got := f.machine[args[0]].backend.Served() - s.served[args[0]]
		s.expect(got == s.number(args[1]), "%s: got %d requests served, want %s", args[0], got, args[1])
	case "calls":
		s.boundCalls(args[0])
	default:
		s.expect(false, "got command %q, want a known one", command)
	}
}

func (s *script) platform(what string) {
	switch what {
	case "stop":
		s.f.tables.Stop()
	case "freeze":
		s.f.tables.Freeze()
	case "restart":
		s.f.tables.Restart()
	case "slow":
		s.f.tables.Slow(10 * time.Second)
	default:
		s.expect(false, "got platform %q, want stop, freeze, restart or slow", what)
	}
}

func (s *script) replace(table, old, replacement string) {
	s.expect(strings.Contains(s.tables[table], old), "got no %q in table %s", old, table)
	replacement = strings.ReplaceAll(replacement, "|", "\n")
	s.tables[table] = strings.ReplaceAll(s.tables[table], old, replacement)
	s.f.publish(map[string]string{table: s.tables[table]})
}

func (s *script) send(args []string) {
	optional := func(text string) string {
		if text == "-" {
			return ""
		}
		return text
	}
	got := s.f.send(args[0], args[1], args[2], optional(args[3]), optional(args[4]), nil)
	s.expect(got.reason == args[6], "send %v: got %s (%s), want %s", args[:5], got.reason, got.ran, args[6])
}

func (s *script) runs(args []string) {
	total := 0
	for _, m := range s.f.machine {
		for key, n := range m.backend.Runs() {
			if strings.HasSuffix(key, args[0]) {
				total += n
			}
		}
	}
	s.expect(total <= s.number(args[2]), "runs of %s: got %d, want at most %s", args[0], total, args[2])
}

func (s *script) boundCalls(perSecond string) {
	took := time.Since(s.callAt).Seconds()
	rate := float64(s.f.tables.Calls()-s.calls) / took
	s.expect(rate <= float64(s.number(perSecond)), "platform: got %.1f calls a second, want at most %s", rate, perSecond)
	s.calls, s.callAt = s.f.tables.Calls(), time.Now()
}

func (s *script) number(text string) int {
	n, err := strconv.Atoi(text)
	s.check(err)
	return n
}

func (s *script) check(err error) {
	s.expect(err == nil, "%v", err)
}

func (s *script) expect(ok bool, format string, args ...any) {
	s.f.t.Helper()
	if !ok {
		s.f.t.Errorf("%s:%d: %s", s.name, s.line, fmt.Sprintf(format, args...))
	}
}

// defaultTables are the tables of a script that brings none.
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
