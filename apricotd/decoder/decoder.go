// Package decoder decodes TOML documents strictly.
//
// A document is decoded completely or rejected with errors that name the
// document, the key, and the found and expected values. Unknown keys are errors,
// because otherwise a misspelt key would silently leave a default in effect.
//
// # Usage
//
//	var s Settings
//	if err := decoder.Decode("apricotd.toml", data, &s); err != nil { ... }
//
// Decode makes one pass over the document and allocates in proportion to its
// size.
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
	// An Error describes one invalid value in a document.
	Error struct {
		Document string // name of the file or table
		Position string // row or line; may be empty
		Key      string
		Got      string
		Want     string
	}

	// A Duration is a time.Duration whose text form has a unit, such as "1.5s".
	Duration time.Duration
)

// Error returns the description on one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Document)
	for _, part := range []string{e.Position, e.Key} {
		if part != "" {
			b.WriteString(": ")
			b.WriteString(part)
		}
	}
	fmt.Fprintf(&b, ": got %s, want %s", e.Got, e.Want)
	return b.String()
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("got %q, want a duration such as \"500ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Decode decodes data into target, which must be a pointer. Errors are *Error
// values, joined if there are several.
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
		Position: fmt.Sprintf("line %d", pe.Position.Line),
		Key:      pe.LastKey,
		Got:      pe.Message,
		Want:     "valid TOML of the documented types",
	}
}
