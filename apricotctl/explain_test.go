package main

import (
	"os"
	"strings"
	"testing"
)

func TestExplain(t *testing.T) {
	for id, want := range map[string]string{
		"r1": `08:00:01.200 [1.2 vm-b] call r1.c1 on route stock (rank 1, tables 7): answered after 40 ms; asked 1 nodes of pool stock, i-3 last; reached 1 backend servers
08:00:01.500 [1.5 vm-a] request r1 on route order (rank 0, tables 7): lostUnknown after 510 ms; asked 2 nodes of pool orders, i-2 last; reached 1 backend servers; node 10.0.0.2: wait for peer: link to peer was lost
    it was sent, and the connection to the server or to the node beside it ended without an answer; it may have run
    the node went by tables 7, in force for 12.4s, and last knew that it had all changes 180ms before
`,
		"r10": `08:00:01.600 [1.6 vm-a] request r10 on route search (rank 2, tables 7): throttled after 0 ms; asked 0 nodes of pool search; reached 0 backend servers; pressure 0.26 on the route's tree
    this node refused it before it asked a server, because it believed that a pool which the request needs is overloaded
`,
		"r11": `08:00:01.700 [1.7 vm-a] request r11 on route search (rank 2, tables 7): answered after 94 ms; asked 1 nodes of pool search, i-4 last; reached 1 backend servers
    the last server was selected of 22: 4 ms of wait and 71 ms of service were expected there (140 ms at a server of mean speed, learned by shape), with a penalty of 25 ms; its load was reported 35 ms before; its service took 90 ms
`,
		"r12": `08:00:01.800 [1.8 vm-b] call r12.c1 on route stock (rank 2 of its call tree, tables 7): overloaded after 35 ms; asked 1 nodes of pool stock, i-3 last; reached 0 backend servers; request shed: displaced
    the node beside the server refused it, because no slot became free in time, or because its server was cold and had got as many requests as it tolerates (see the detail); it has not run
`,
	} {
		f, err := os.Open("testdata/explain.log")
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if err := explain(&out, id, f); err != nil {
			t.Errorf("explain %s: %v", id, err)
		}
		if out.String() != want {
			t.Errorf("explain %s: got\n%swant\n%s", id, out.String(), want)
		}
		_ = f.Close()
	}
}

func TestExplainUnknownRequest(t *testing.T) {
	if err := explain(&strings.Builder{}, "r9", strings.NewReader("{}\n")); err == nil {
		t.Error("explain a request without log entries: got no error, want one")
	}
}

// Guards against an outcome that nodes log and that is not explained.
func TestEveryOutcomeIsExplained(t *testing.T) {
	data, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := strings.Cut(string(data), "\nOutcomes: ")
	text, _, _ = strings.Cut(text, "\n\n")
	for i, word := range strings.Split(text, "`") {
		if i%2 == 1 && word != "answered" && meanings[word] == "" {
			t.Errorf("outcome %s: got no explanation", word)
		}
	}
}
