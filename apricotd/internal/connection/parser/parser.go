// Package parser implements a strict HTTP/1.1 message parser and writer.
//
// To prevent request smuggling, and responses whose body is not the server's, it rejects
// every message whose framing is ambiguous: several Content-Length values or an empty
// one, Content-Length together with Transfer-Encoding, an unknown or empty transfer
// coding, a bare line feed, white space before the colon of a field, a length
// for a response that has no body, or a trailer that is no field or states a framing.
//
// # Usage
//
//	head, err := parser.ReadHead(br, maxBytes)
//	request, err := parser.ParseRequest(head)
//	body, err := parser.ReadBody(br, request.Framing, maxBytes, memory)
//
// Bodies are read into memory; the caller passes the size limit. Memory is
// allocated as data arrives, whatever length a message states, and beyond a small
// part of each body it is reserved first.
package parser

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// Kinds of body framing (RFC 9112, section 6.3).
const (
	NoBody         FramingKind = iota // the message has no body
	FixedLength                       // the body has Length bytes
	Chunked                           // the body uses the chunked transfer coding
	CloseDelimited                    // the body ends when the connection closes
)

var (
	// Errors that the errors of this package wrap.
	ErrTooLarge  = errors.New("message is larger than allowed")
	ErrMalformed = errors.New("message is malformed")
	ErrNoMemory  = errors.New("no memory is left for the message")

	// framingFields must not be in a trailer section.
	framingFields = map[string]bool{"Content-Length": true, "Transfer-Encoding": true}
)

const (
	// minBufferBytes is the initial buffer for a body of unknown length.
	minBufferBytes = 512
	// unreservedBytes is the part of each body for which no memory is reserved, so
	// that small bodies are received while large ones use all that may be reserved.
	unreservedBytes = 64 << 10
	// maxTrailerBytes bounds the trailer section of a chunked body.
	maxTrailerBytes = 64 << 10
	// Statuses of HTTP. The first digit gives the class, of which there are five.
	minStatus = 100
	maxStatus = 599
)

type (
	// A FramingKind is the way in which a body is delimited.
	FramingKind int

	// Framing describes how a body is delimited.
	Framing struct {
		Kind   FramingKind
		Length int64 // set for FixedLength only
	}

	// A Field is one header field.
	Field struct {
		Name  string // in canonical form
		Value string
	}

	// Fields is a header section in the order received.
	Fields []Field

	// Memory limits what the bodies that are being received may occupy.
	Memory interface {
		// Reserve reserves n bytes. It returns false if they are not available.
		Reserve(n int) bool
		// Release returns n reserved bytes.
		Release(n int)
	}

	// LastingMemory also counts the first part of each body, and a body after it has
	// been received: its buffer, of the capacity that it has, remains reserved.
	LastingMemory interface {
		Memory
		// ReserveFirst reserves n bytes for the first part of a body.
		ReserveFirst(n int) bool
	}

	// A Request is a parsed request head.
	Request struct {
		Method  string
		Target  string // path and query as received
		Host    string
		Fields  Fields
		Framing Framing
		// KeepAlive reports whether the sender allows the connection to be
		// reused.
		KeepAlive bool
		// Continue reports whether the client expects 100 Continue before it
		// sends the body.
		Continue bool
	}

	// A Response is a parsed response head.
	Response struct {
		Status    int
		Fields    Fields
		Framing   Framing
		KeepAlive bool
	}
)

// Get returns the value of the first field with the name, which must be in
// canonical form.
func (f Fields) Get(name string) string {
	for i := range f {
		if f[i].Name == name {
			return f[i].Value
		}
	}
	return ""
}

// values returns the values of all fields with the name, which must be in canonical form.
func (f Fields) values(name string) []string {
	var out []string
	for i := range f {
		if f[i].Name == name {
			out = append(out, f[i].Value)
		}
	}
	return out
}

// elements returns the elements of a comma-separated list field in lower case.
func (f Fields) elements(name string) []string {
	var out []string
	for _, value := range f.values(name) {
		for part := range strings.SplitSeq(value, ",") {
			if part = strings.TrimSpace(part); part != "" {
				out = append(out, strings.ToLower(part))
			}
		}
	}
	return out
}

// ReadHead reads a message head including the empty line that ends it. It
// skips empty lines before the head (RFC 9112, section 2.2), which count towards
// the limit.
func ReadHead(br *bufio.Reader, limit int) ([]byte, error) {
	var head []byte
	skipped := 0
	for {
		line, err := br.ReadSlice('\n')
		head = append(head, line...)
		if skipped+len(head) > limit {
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
			skipped += len(head)
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
	if !ok1 || !ok2 || !isToken(method) || !isOriginForm(target) {
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
	if count(fields, "Host") > 1 {
		return nil, fmt.Errorf("parse host: got several: %w", ErrMalformed)
	}
	if r.Framing, err = requestFraming(fields, proto); err != nil {
		return nil, err
	}
	r.KeepAlive = isKeepAlive(fields, proto)
	r.Continue = strings.EqualFold(fields.Get("Expect"), "100-continue")
	return r, nil
}

// ParseResponse parses the head of a response to a request with the method.
func ParseResponse(head []byte, method string) (*Response, error) {
	line, rest := cutLine(string(head))
	status, proto, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	fields, err := parseFields(rest)
	if err != nil {
		return nil, err
	}
	r := &Response{Status: status, Fields: fields}
	if r.Framing, err = responseFraming(fields, proto, status, method); err != nil {
		return nil, err
	}
	r.KeepAlive = isKeepAlive(fields, proto) && r.Framing.Kind != CloseDelimited
	return r, nil
}

// HasUnacceptedCoding reports whether a response has a content coding that a request with
// the fields does not accept, so that its body is not what the client takes it for. A
// request that names no coding accepts none.
func (r *Response) HasUnacceptedCoding(request Fields) bool {
	if r.Fields.values("Content-Encoding") == nil {
		return false
	}
	codings, accepted := r.Fields.elements("Content-Encoding"), request.elements("Accept-Encoding")
	return len(codings) == 0 || slices.ContainsFunc(codings, func(c string) bool { return !acceptsCoding(accepted, c) })
}

// acceptsCoding reports whether the elements of an Accept-Encoding field name a coding
// without a weight of zero.
func acceptsCoding(accepted []string, coding string) bool {
	return slices.ContainsFunc(accepted, func(element string) bool {
		name, weight, _ := strings.Cut(element, ";")
		_, q, _ := strings.Cut(weight, "=")
		return strings.TrimSpace(name) == coding && (q == "" || strings.Trim(q, "0. \t") != "")
	})
}

// parseStatusLine parses a status line. A status must be one of HTTP, 100 to 599. It
// must not be 101 because no request asks for another protocol.
func parseStatusLine(line string) (status int, proto string, err error) {
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	if len(code) == 3 && isDigits(code) {
		status, err = strconv.Atoi(code)
	}
	switch {
	case err != nil || status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols:
		return 0, "", fmt.Errorf("parse status %.16q: %w", code, ErrMalformed)
	case proto != "HTTP/1.1" && proto != "HTTP/1.0":
		return 0, "", fmt.Errorf("parse protocol %.16q: %w", proto, ErrMalformed)
	case strings.ContainsAny(line, "\r\x00"):
		return 0, "", fmt.Errorf("parse reason: %w", ErrMalformed)
	}
	return status, proto, nil
}

// ReadBody reads a complete body of at most limit bytes. A nil memory does not limit
// what all bodies occupy together.
func ReadBody(br *bufio.Reader, f Framing, limit int64, memory Memory) ([]byte, error) {
	switch f.Kind {
	case NoBody:
		return nil, nil
	case FixedLength:
		if f.Length > limit {
			return nil, fmt.Errorf("read body of %d bytes: %w", f.Length, ErrTooLarge)
		}
		return readLimited(io.LimitReader(br, f.Length), f.Length, f.Length, memory)
	case Chunked:
		body, err := readLimited(httputil.NewChunkedReader(br), limit, 0, memory)
		if err != nil {
			return nil, err
		}
		return body, discardTrailer(br)
	default:
		return readLimited(br, limit, 0, memory)
	}
}

// ReadFixed reads a body of n bytes into a buffer of that size, for which the caller
// has reserved memory.
func ReadFixed(br *bufio.Reader, n int64) ([]byte, error) {
	body := make([]byte, n)
	if _, err := io.ReadFull(br, body); err != nil {
		return nil, fmt.Errorf("read body: %w", unexpectedEOF(err))
	}
	return body, nil
}

// ReadRest reads what r is limited to, and no less. The buffer grows with the data.
// If memory is not available, r.N is the number of bytes that have not been read.
func ReadRest(r *io.LimitedReader, memory Memory) ([]byte, error) {
	return readLimited(r, r.N, r.N, memory)
}

// readLimited reads to the end of r. length is the stated length; 0 if there is none. The
// buffer grows with the data that has arrived; it has a spare byte, so that a body of the
// stated length does not make it grow before its end is seen.
func readLimited(r io.Reader, limit, length int64, memory Memory) (body []byte, err error) {
	first := int(min(max(length+1, minBufferBytes), unreservedBytes))
	b := buffer{memory: memory}
	if !b.begin(first) {
		return nil, fmt.Errorf("read body: %w", ErrNoMemory)
	}
	defer func() { b.end(err == nil) }()
	for {
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case int64(len(b.bytes)) > limit:
			return nil, fmt.Errorf("read body: %w", ErrTooLarge)
		case errors.Is(err, io.EOF) && int64(len(b.bytes)) < length:
			return nil, fmt.Errorf("read body: %w", io.ErrUnexpectedEOF)
		case errors.Is(err, io.EOF):
			return b.bytes, nil
		case err != nil:
			return nil, fmt.Errorf("read body: %w", unexpectedEOF(err))
		}
		if len(b.bytes) < cap(b.bytes) {
			continue
		}
		grown := min(2*int64(cap(b.bytes)), limit+1)
		if grown >= length && length > 0 {
			grown = length + 1
		}
		if !b.grow(int(grown)) {
			return nil, fmt.Errorf("read body: %w", ErrNoMemory)
		}
	}
}

// discardTrailer reads and drops the trailer section after the last chunk. A line that is
// no field shows that an earlier chunk was taken for the last one.
func discardTrailer(br *bufio.Reader) error {
	for read := 0; read <= maxTrailerBytes; {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("read trailer: %w", unexpectedEOF(err))
		}
		text, ok := strings.CutSuffix(string(line), "\r\n")
		if !ok {
			return fmt.Errorf("read trailer: line ends without a carriage return: %w", ErrMalformed)
		}
		if text == "" {
			return nil
		}
		field, err := parseField(text)
		if err != nil {
			return fmt.Errorf("read trailer: %w", err)
		}
		if framingFields[field.Name] {
			return fmt.Errorf("read trailer: got field %s: %w", field.Name, ErrMalformed)
		}
		read += len(line)
	}
	return fmt.Errorf("read trailer: %w", ErrTooLarge)
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, so that a connection
// closed within a message is not taken for one closed between two messages.
func unexpectedEOF(err error) error {
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
		field, err := parseField(line)
		if err != nil {
			return nil, err
		}
		fields = append(fields, field)
		s = rest
	}
}

func parseField(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	if !ok || !isToken(name) || !httpguts.ValidHeaderFieldValue(value) {
		return Field{}, fmt.Errorf("parse field %q: %w", name, ErrMalformed)
	}
	return Field{Name: textproto.CanonicalMIMEHeaderKey(name), Value: value}, nil
}

func requestFraming(fields Fields, proto string) (Framing, error) {
	f, err := framing(fields, proto)
	if err == nil && f.Kind == CloseDelimited {
		f.Kind = NoBody
	}
	return f, err
}

// responseFraming returns the framing of a response. The fields of one that has no body
// may state the length that it would have with one, unless its status excludes that.
func responseFraming(fields Fields, proto string, status int, method string) (Framing, error) {
	f, err := framing(fields, proto)
	if err != nil {
		return Framing{}, err
	}
	hasNoContent := status < http.StatusOK || status == http.StatusNoContent
	if hasNoContent && f.Kind != NoBody && f.Kind != CloseDelimited {
		return Framing{}, fmt.Errorf("parse framing: got a body with status %d: %w", status, ErrMalformed)
	}
	if hasNoContent || status == http.StatusNotModified || method == http.MethodHead {
		return Framing{}, nil
	}
	return f, nil
}

// framing returns CloseDelimited if there is neither a Content-Length nor a
// Transfer-Encoding field.
func framing(fields Fields, proto string) (Framing, error) {
	codings, lengths := fields.values("Transfer-Encoding"), fields.values("Content-Length")
	switch {
	case len(codings) == 0 && len(lengths) == 0:
		return Framing{Kind: CloseDelimited}, nil
	case len(codings) > 0 && (len(lengths) > 0 || len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") || proto != "HTTP/1.1"):
		return Framing{}, fmt.Errorf("parse framing: got codings %q and lengths %q in %s: %w", codings, lengths, proto, ErrMalformed)
	case len(codings) == 1:
		return Framing{Kind: Chunked}, nil
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
	return Framing{Kind: FixedLength, Length: n}, nil
}

func isKeepAlive(fields Fields, proto string) bool {
	keepAlive := proto == "HTTP/1.1"
	for _, option := range fields.elements("Connection") {
		switch option {
		case "close":
			return false
		case "keep-alive":
			keepAlive = true
		}
	}
	return keepAlive
}

func count(fields Fields, name string) int {
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

// isOriginForm reports whether s can be a request target in origin-form, the
// only form accepted (RFC 9112, section 3.2.1).
func isOriginForm(s string) bool {
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
