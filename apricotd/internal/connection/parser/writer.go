package parser

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// connectionFields concern one connection only and are never passed on.
var connectionFields = map[string]bool{
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

// EndToEnd returns the fields that may be passed on: neither those that
// concern one connection, nor those that the Connection field names, nor those
// for which drop returns true.
func (f Fields) EndToEnd(drop func(name string) bool) Fields {
	named := f.values("Connection")
	out := make(Fields, 0, len(f))
	for _, field := range f {
		if connectionFields[field.Name] || isNamed(named, field.Name) || drop != nil && drop(field.Name) {
			continue
		}
		out = append(out, field)
	}
	return out
}

func isNamed(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// WriteRequest writes a request with its whole body.
func WriteRequest(w *bufio.Writer, method, target, host string, fields Fields, body []byte) {
	_, _ = w.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	writeFields(w, fields)
	if len(body) > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		writeLength(w, len(body))
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(body)
}

// WriteResponse writes a response with its whole body. A response to HEAD has
// none. Errors stay in the writer until it is flushed.
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
