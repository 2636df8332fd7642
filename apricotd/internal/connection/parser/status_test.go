package parser

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

func parseStatus(line string) (int, error) {
	br := bufio.NewReader(strings.NewReader(line + "\r\nContent-Length: 0\r\n\r\n"))
	head, err := ReadHead(br, testHeadBytes)
	if err != nil {
		return 0, err
	}
	r, err := ParseResponse(head, "GET")
	if err != nil {
		return 0, err
	}
	return r.Status, nil
}

// Guards against a status line that is none of HTTP being taken for an answer.
func TestStatusLinesFromFile(t *testing.T) {
	data, err := os.ReadFile("testdata/status_lines.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSuffix(line, "\n")
		if strings.HasPrefix(line, "#") {
			continue
		}
		text, want, _ := strings.Cut(line, " | ")
		text, err := strconv.Unquote(`"` + text + `"`)
		if err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		got := "error"
		if status, err := parseStatus(text); err == nil {
			got = strconv.Itoa(status)
		}
		if got != want {
			t.Errorf("status line %q: got %s, want %s", text, got, want)
		}
	}
}

// Guards against a number outside 100 to 599 being taken for the status of an answer,
// 000 among them.
func TestStatusesOutsideTheRangeAreMalformed(t *testing.T) {
	for n := range 1000 {
		status, err := parseStatus(fmt.Sprintf("HTTP/1.1 %03d Reason", n))
		isStatus := n >= 100 && n <= 599 && n != 101
		if isStatus != (err == nil) || isStatus && status != n {
			t.Errorf("status %03d: got %d and error %v, want it accepted: %v", n, status, err, isStatus)
		}
	}
}
