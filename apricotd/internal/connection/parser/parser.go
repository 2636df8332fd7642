// Package parser reads and writes HTTP/1.1 messages strictly.
//
// It guarantees that a message whose end can be read in two ways is an error:
// two lengths, a length beside chunks, an unknown coding, a bare line feed, or
// white space before a colon. So no request can hide inside another one.
//
// # Usage
//
//	head, err := parser.ReadHead(br, maxBytes)
//	request, err := parser.Request(head)
//	body, err := parser.ReadBody(br, request.Framing, maxBytes)
//
// Bodies are read whole; the caller bounds them.
package parser

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// Ways in which a body ends.
const (
	NoBody   Ending = iota // there is none
	ByLength               // after Length bytes
	Chunked                // after the last chunk
	ByClose                // when the connection ends
)

// Faults of a message.
var (
	ErrTooLarge  = errors.New("message is larger than allowed")
	ErrMalformed = errors.New("message is malformed")
)

type (
	// An Ending tells how a body ends.
	Ending int

	// Framing tells where a body ends.
	Framing struct {
		Ending Ending
		Length int64
	}

	// A Field is one header field.
	Field struct {
		Name  string // canonical
		Value string
	}

	// Fields is a header in the order of arrival.
	Fields []Field

	// A Request is a parsed request without its body.
	Request struct {
		Method  string
		Target  string // as sent: path and query
		Host    string
		Fields  Fields
		Framing Framing
		// KeepAlive tells whether the sender wants to keep the connection.
		KeepAlive bool
		// Continue tells whether the sender waits for 100 Continue.
		Continue bool
	}

	// A Response is a parsed response without its body.
	Response struct {
		Status    int
		Fields    Fields
		Framing   Framing
		KeepAlive bool
	}
)

// Get returns the first value of a field, whose name must be canonical.
func (f Fields) Get(name string) string {
	for i := range f {
		if f[i].Name == name {
			return f[i].Value
		}
	}
	return ""
}

// values returns all elements of a list-valued field, in lower case.
func (f Fields) values(name string) []string {
	var out []string
	for i := range f {
		if f[i].Name != name {
			continue
		}
		for part := range strings.SplitSeq(f[i].Value, ",") {
			if part = strings.TrimSpace(part); part != "" {
				out = append(out, strings.ToLower(part))
			}
		}
	}
	return out
}

// ReadHead reads up to the empty line that ends a head. Empty lines before the
// head are skipped, as RFC 9112 asks.
func ReadHead(br *bufio.Reader, limit int) ([]byte, error) {
	var head []byte
	for {
		line, err := br.ReadSlice('\n')
		head = append(head, line...)
		if len(head) > limit {
			return nil, fmt.Errorf("read head: %w", ErrTooLarge)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("read head: %w", err)
		}
		if !bytes.HasSuffix(head, []byte("\r\n")) {
			return nil, fmt.Errorf("read head: line ends without a carriage return: %w", ErrMalformed)
		}
		if len(head) == len("\r\n") {
			head = head[:0]
			continue
		}
		if bytes.HasSuffix(head, []byte("\r\n\r\n")) {
			return head, nil
		}
	}
}

// ParseRequest parses the head of a request.
func ParseRequest(head []byte) (*Request, error) {
	line, rest := cutLine(string(head))
	method, line, ok1 := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(line, " ")
	if !ok1 || !ok2 || !isToken(method) || !isTarget(target) {
		return nil, fmt.Errorf("parse request line: %w", ErrMalformed)
	}
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return nil, fmt.Errorf("parse protocol %q: %w", proto, ErrMalformed)
	}
	fields, err := parseFields(rest)
	if err != nil {
		return nil, err
	}
	r := &Request{Method: method, Target: target, Host: fields.Get("Host"), Fields: fields}
	if countOf(fields, "Host") > 1 {
		return nil, fmt.Errorf("parse host: got several: %w", ErrMalformed)
	}
	if r.Framing, err = requestFraming(fields); err != nil {
		return nil, err
	}
	r.KeepAlive = keepsAlive(fields, proto)
	r.Continue = strings.EqualFold(fields.Get("Expect"), "100-continue")
	return r, nil
}

// ParseResponse parses the head of the response to a request of the method.
func ParseResponse(head []byte, method string) (*Response, error) {
	line, rest := cutLine(string(head))
	proto, line, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(line, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || (proto != "HTTP/1.1" && proto != "HTTP/1.0") {
		return nil, fmt.Errorf("parse status line: %w", ErrMalformed)
	}
	fields, err := parseFields(rest)
	if err != nil {
		return nil, err
	}
	r := &Response{Status: status, Fields: fields}
	if r.Framing, err = responseFraming(fields, status, method); err != nil {
		return nil, err
	}
	r.KeepAlive = keepsAlive(fields, proto) && r.Framing.Ending != ByClose
	return r, nil
}

// ReadBody reads a whole body.
func ReadBody(br *bufio.Reader, f Framing, limit int64) ([]byte, error) {
	switch f.Ending {
	case NoBody:
		return nil, nil
	case ByLength:
		if f.Length > limit {
			return nil, fmt.Errorf("read body of %d bytes: %w", f.Length, ErrTooLarge)
		}
		body := make([]byte, f.Length)
		if _, err := io.ReadFull(br, body); err != nil {
			return nil, fmt.Errorf("read body: %w", noEOF(err))
		}
		return body, nil
	case Chunked:
		body, err := readLimited(httputil.NewChunkedReader(br), limit)
		if err != nil {
			return nil, err
		}
		return body, readTrailer(br)
	default:
		return readLimited(br, limit)
	}
}

func readLimited(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", noEOF(err))
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("read body: %w", ErrTooLarge)
	}
	return body, nil
}

// readTrailer consumes what follows the last chunk. Trailer fields are dropped.
func readTrailer(br *bufio.Reader) error {
	for {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("read trailer: %w", noEOF(err))
		}
		if string(line) == "\r\n" {
			return nil
		}
	}
}

// noEOF keeps the end of a connection inside a message from looking like the
// end between two messages.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func cutLine(s string) (line, rest string) {
	line, rest, _ = strings.Cut(s, "\r\n")
	return line, rest
}

func parseFields(s string) (Fields, error) {
	fields := make(Fields, 0, strings.Count(s, "\r\n"))
	for {
		line, rest := cutLine(s)
		if line == "" {
			return fields, nil
		}
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !ok || !isToken(name) || !httpguts.ValidHeaderFieldValue(value) {
			return nil, fmt.Errorf("parse field %q: %w", name, ErrMalformed)
		}
		fields = append(fields, Field{Name: textproto.CanonicalMIMEHeaderKey(name), Value: value})
		s = rest
	}
}

func requestFraming(fields Fields) (Framing, error) {
	f, err := framing(fields)
	if err == nil && f.Ending == ByClose {
		f.Ending = NoBody
	}
	return f, err
}

func responseFraming(fields Fields, status int, method string) (Framing, error) {
	if method == "HEAD" || status == 204 || status == 304 || status < 200 {
		return Framing{}, nil
	}
	return framing(fields)
}

// framing returns ByClose if the fields state neither a length nor chunks.
func framing(fields Fields) (Framing, error) {
	codings, lengths := fields.values("Transfer-Encoding"), fields.values("Content-Length")
	switch {
	case len(codings) == 0 && len(lengths) == 0:
		return Framing{Ending: ByClose}, nil
	case len(codings) > 0 && (len(lengths) > 0 || len(codings) > 1 || codings[0] != "chunked"):
		return Framing{}, fmt.Errorf("parse framing: got codings %q and lengths %q: %w", codings, lengths, ErrMalformed)
	case len(codings) == 1:
		return Framing{Ending: Chunked}, nil
	case len(lengths) > 1 || !isDigits(lengths[0]):
		return Framing{}, fmt.Errorf("parse lengths %q: %w", lengths, ErrMalformed)
	}
	n, err := strconv.ParseInt(lengths[0], 10, 64)
	if err != nil {
		return Framing{}, fmt.Errorf("parse length %q: %w", lengths[0], ErrMalformed)
	}
	if n == 0 {
		return Framing{}, nil
	}
	return Framing{Ending: ByLength, Length: n}, nil
}

func keepsAlive(fields Fields, proto string) bool {
	keep := proto == "HTTP/1.1"
	for _, option := range fields.values("Connection") {
		switch option {
		case "close":
			return false
		case "keep-alive":
			keep = true
		}
	}
	return keep
}

func countOf(fields Fields, name string) int {
	n := 0
	for i := range fields {
		if fields[i].Name == name {
			n++
		}
	}
	return n
}

func isToken(s string) bool {
	return httpguts.ValidHeaderFieldName(s)
}

func isTarget(s string) bool {
	if !strings.HasPrefix(s, "/") {
		return false
	}
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] == 0x7f || s[i] == '#' {
			return false
		}
	}
	return true
}

func isDigits(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return s != ""
}
