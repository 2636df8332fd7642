package parser

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// hopByHopFields are never forwarded: they apply to a single connection, or the
// writer sets them itself.
var hopByHopFields = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// EndToEnd returns the fields that may be forwarded. It leaves out hop-by-hop
// fields, fields listed in Connection, and fields for which drop returns true.
// A nil drop leaves out no others.
func (f Fields) EndToEnd(drop func(name string) bool) Fields {
	connectionOptions := f.elements("Connection")
	out := make(Fields, 0, len(f))
	for _, field := range f {
		if hopByHopFields[field.Name] || containsFold(connectionOptions, field.Name) || drop != nil && drop(field.Name) {
			continue
		}
		out = append(out, field)
	}
	return out
}

func containsFold(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// WriteRequest writes a request with its body. Write errors are reported by
// w.Flush.
func WriteRequest(w *bufio.Writer, method, target, host string, fields Fields, body []byte) {
	_, _ = w.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	writeFields(w, fields)
	if len(body) > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		writeLength(w, len(body))
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(body)
}

// WriteResponse writes a response with its body, which is left out in response
// to HEAD. Write errors are reported by w.Flush.
func WriteResponse(w *bufio.Writer, method string, status int, fields Fields, body []byte, closing bool) {
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	writeFields(w, fields)
	if closing {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		writeLength(w, len(body))
	}
	_, _ = w.WriteString("\r\n")
	if method != http.MethodHead {
		_, _ = w.Write(body)
	}
}

func writeFields(w *bufio.Writer, fields Fields) {
	for i := range fields {
		_, _ = w.WriteString(fields[i].Name)
		_, _ = w.WriteString(": ")
		_, _ = w.WriteString(fields[i].Value)
		_, _ = w.WriteString("\r\n")
	}
}

func writeLength(w *bufio.Writer, n int) {
	_, _ = w.WriteString("Content-Length: ")
	_, _ = w.WriteString(strconv.Itoa(n))
	_, _ = w.WriteString("\r\n")
}
