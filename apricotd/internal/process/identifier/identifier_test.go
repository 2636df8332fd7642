package identifier

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/version/lister"
)

// Guards against a pool that is stated for an id without evidence about that id, and
// against an id that goes unused although there is evidence.
func TestEvidence(t *testing.T) {
	data, err := os.ReadFile("testdata/evidence.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") || strings.TrimSpace(line) == "" {
			continue
		}
		name, steps, ok := strings.Cut(line, "|")
		if !ok {
			t.Fatalf("got line %q, want name | steps", line)
		}
		t.Run(strings.TrimSpace(name), func(t *testing.T) {
			playEvidence(t, steps)
		})
	}
}

// Guards against an id that is never used again once settings have contradicted it, although
// another server has been at the address and one with the id has started anew.
func TestEvidenceOfReturnedID(t *testing.T) {
	playEvidence(t, "report:a 3s settings:p want:a/p/settings 2s settings:q want:a//none report:b 3s settings:q want:b/q/settings 3s settings:p report:a 5s settings:p want:a/p/settings")
}

func playEvidence(t *testing.T, steps string) {
	synctest.Test(t, func(t *testing.T) {
		s := &evidenceScript{t: t, settings: "p", readAt: timekeeper.Now(), removed: make(map[string]string)}
		s.publish()
		s.identifier = &Identifier{
			Address: netip.MustParseAddrPort("10.1.1.1:7000"), AddressReuse: 2 * time.Second, SettingsLag: 3 * time.Second,
			Settings: func() (string, timekeeper.Instant) { return s.settings, s.readAt },
			List:     func() *lister.List { return s.list }, ListAge: func() time.Duration { return 0 },
			RemovedEntry: func(id string) (string, bool) { pool, ok := s.removed[id]; return pool, ok },
		}
		for step := range strings.FieldsSeq(steps) {
			s.play(step)
		}
	})
}

type evidenceScript struct {
	t          *testing.T
	identifier *Identifier
	servers    []*lister.Server
	list       *lister.List
	removed    map[string]string // pool by id
	settings   string
	readAt     timekeeper.Instant
}

func (s *evidenceScript) publish() { s.list = lister.New(1, s.servers) }

func (s *evidenceScript) play(step string) {
	verb, argument, _ := strings.Cut(step, ":")
	id, pool, _ := strings.Cut(argument, "/")
	switch verb {
	case "report":
		s.identifier.SetReported(id, time.Now())
	case "late":
		age, err := time.ParseDuration(pool)
		if err != nil {
			s.t.Fatalf("got step %q, want late:ID/AGE", step)
		}
		s.identifier.SetReported(id, time.Now().Add(-age))
	case "answer":
		identity, _ := s.identifier.Identify()
		s.identifier.Confirm(identity, time.Now())
	case "health":
		s.identifier.SetReported(id, time.Now())
		s.identifier.Confirm(Identity{Server: id}, time.Now())
	case "reset":
		s.identifier.Reset()
	case "stop":
		s.identifier.Stop()
	case "list":
		s.servers = append(s.servers, &lister.Server{ID: id, Pool: pool, Address: s.identifier.Address})
		s.publish()
	case "unlist":
		for i, server := range s.servers {
			if server.ID == id {
				s.servers = append(s.servers[:i:i], s.servers[i+1:]...)
				break
			}
		}
		s.publish()
	case "removed":
		s.removed[id] = pool
	case "settings":
		s.settings, s.readAt = argument, timekeeper.Now()
	case "want":
		got := "unknown"
		if identity, ok := s.identifier.Identify(); ok {
			got = fmt.Sprintf("%s/%s/%s", identity.Server, identity.Pool, identity.Evidence)
		}
		if got != argument {
			s.t.Errorf("identity: got %s, want %s", got, argument)
		}
	default:
		pause, err := time.ParseDuration(step)
		if err != nil {
			s.t.Fatalf("got step %q, want a verb or a pause", step)
		}
		time.Sleep(pause)
	}
}
