// Package decoder reads TOML documents strictly.
//
// It guarantees that a document either fills its target completely or yields
// an error that names the document, the key, what was found and what was
// wanted. Unknown keys are errors, because a misspelt key would otherwise
// silently leave a default in force.
//
// # Usage
//
//	var s Settings
//	if err := decoder.Decode("apricotd.toml", data, &s); err != nil { ... }
//
// Decoding costs one pass over the document and allocates in proportion to it.
package decoder

import (
	stderrors "errors"
	"fmt"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

type (
	// An Error describes one fault in a document.
	Error struct {
		Document string // file or table name
		Place    string // row or line, may be empty
		Key      string
		Got      string
		Want     string
	}

	// A Duration is a time.Duration written with its unit, such as "1.5s".
	Duration time.Duration
)

// Error returns the fault as one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Document)
	for _, part := range []string{e.Place, e.Key} {
		if part != "" {
			b.WriteString(": ")
			b.WriteString(part)
		}
	}
	fmt.Fprintf(&b, ": got %s, want %s", e.Got, e.Want)
	return b.String()
}

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("got %q, want a duration such as \"500ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Decode fills target from data. Errors are *Error values, joined when there
// are several.
func Decode(document string, data []byte, target any) error {
	md, err := toml.Decode(string(data), target)
	if err != nil {
		return decodeError(document, err)
	}
	var errs []error
	for _, key := range md.Undecoded() {
		errs = append(errs, &Error{
			Document: document,
			Key:      key.String(),
			Got:      "an unknown key",
			Want:     "one of the documented keys",
		})
	}
	return stderrors.Join(errs...)
}

func decodeError(document string, err error) error {
	var pe toml.ParseError
	if !errors.As(err, &pe) {
		return &Error{Document: document, Got: err.Error(), Want: "a value of the documented type"}
	}
	return &Error{
		Document: document,
		Place:    fmt.Sprintf("line %d", pe.Position.Line),
		Key:      pe.LastKey,
		Got:      pe.Message,
		Want:     "valid TOML of the documented types",
	}
}
