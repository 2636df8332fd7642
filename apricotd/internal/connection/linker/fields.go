package linker

import (
	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/wire/linkwire"
)

// WireFields converts header fields to their wire form.
func WireFields(fields parser.Fields) []*linkwire.Field {
	out := make([]*linkwire.Field, len(fields))
	for i, f := range fields {
		out[i] = &linkwire.Field{Name: f.Name, Value: []byte(f.Value)}
	}
	return out
}

// HeaderFields converts header fields from their wire form.
func HeaderFields(fields []*linkwire.Field) parser.Fields {
	out := make(parser.Fields, len(fields))
	for i, f := range fields {
		out[i] = parser.Field{Name: f.Name, Value: string(f.Value)}
	}
	return out
}
