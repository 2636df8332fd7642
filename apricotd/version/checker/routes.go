package checker

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"apricotrudder.dev/apricotd/decoder"
)

const (
	// maxTimeout bounds the deadline that a route may give a request.
	maxTimeout = 5 * time.Minute
	// maxRetries bounds the retry tokens that a request may start with.
	maxRetries = 10
)

// Classes, from the first to be shed to the last.
const (
	ClassLow Class = iota
	ClassNormal
	ClassHigh
	ClassCritical
)

// Who may send requests to a route.
const (
	AccessKey      Access = "key"      // callers with an organisation's key
	AccessOpen     Access = "open"     // every caller
	AccessInternal Access = "internal" // backend servers only
)

// What a node does with keyed requests when it cannot show that its keys are
// current.
const (
	StaleRefuse StalePolicy = "refuse"
	StaleServe  StalePolicy = "serve"
)

type (
	// A Class is the criticality of a route. Higher classes are shed later.
	Class uint8

	// An Access tells who may send requests to a route.
	Access string

	// A StalePolicy tells what to do with keyed requests while the node
	// cannot show that its keys are current.
	StalePolicy string

	// A Route is one row of the routes table.
	Route struct {
		Name   string `toml:"name" json:"name"`
		Method string `toml:"method" json:"method"`
		// Path is a pattern: literal segments, {name} for any one segment,
		// and a final * for any rest.
		Path       string           `toml:"path" json:"path"`
		Pool       string           `toml:"pool" json:"pool"`
		Class      Class            `toml:"class" json:"class"`
		Access     Access           `toml:"access" json:"access"`
		Idempotent bool             `toml:"idempotent" json:"idempotent"`
		Timeout    decoder.Duration `toml:"timeout" json:"timeout"`
		Retries    uint32           `toml:"retries" json:"retries"`
		WhenStale  StalePolicy      `toml:"whenStale" json:"whenStale"`
	}
)

var classNames = [...]string{"low", "normal", "high", "critical"}

// String returns the name used in the routes table.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return fmt.Sprintf("class %d", uint8(c))
}

// MarshalText returns the name used in the routes table.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText parses a class name.
func (c *Class) UnmarshalText(text []byte) error {
	for i, name := range classNames {
		if string(text) == name {
			*c = Class(i)
			return nil
		}
	}
	return fmt.Errorf("got class %q, want one of %s", text, strings.Join(classNames[:], ", "))
}

func checkRoute(f *faults, r *Route, i int, cfg *Config, patterns map[string]string) {
	place := fmt.Sprintf("route %q (row %d)", r.Name, i+1)
	fault := func(key, got, want string) { f.add(RoutesTable, place, key, got, want) }
	setRouteDefaults(r)
	if !isName(r.Name) {
		fault("name", fmt.Sprintf("%q", r.Name), nameWanted)
	}
	if _, ok := cfg.Routes[r.Name]; ok {
		fault("name", fmt.Sprintf("%q twice", r.Name), "a name used once")
	}
	cfg.Routes[r.Name] = r
	checkPattern(fault, r, patterns)
	if _, ok := cfg.Pools[r.Pool]; !ok {
		fault("pool", fmt.Sprintf("%q", r.Pool), "the name of a pool in the pools table")
	}
	switch r.Access {
	case AccessKey, AccessOpen, AccessInternal:
	default:
		fault("access", fmt.Sprintf("%q", r.Access), `"key", "open" or "internal"`)
	}
	switch r.WhenStale {
	case StaleRefuse, StaleServe:
	default:
		fault("whenStale", fmt.Sprintf("%q", r.WhenStale), `"refuse" or "serve"`)
	}
	if d := time.Duration(r.Timeout); d <= 0 || d > maxTimeout {
		fault("timeout", fmt.Sprintf("%q", d), fmt.Sprintf("a duration above 0s and up to %v", maxTimeout))
	}
	if !r.Idempotent && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		fault("idempotent", fmt.Sprintf("false with method %s", r.Method), "true, or a method that may have effects")
	}
	if r.Retries > maxRetries {
		fault("retries", fmt.Sprint(r.Retries), fmt.Sprintf("at most %d", maxRetries))
	}
}

func setRouteDefaults(r *Route) {
	if r.Access == "" {
		r.Access = AccessKey
	}
	if r.WhenStale == "" {
		r.WhenStale = StaleRefuse
	}
}

func checkPattern(fault func(key, got, want string), r *Route, patterns map[string]string) {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		fault("method", fmt.Sprintf("%q", r.Method), "GET, HEAD, POST, PUT, PATCH or DELETE")
	}
	if !isPattern(r.Path) {
		fault("path", fmt.Sprintf("%q", r.Path), `a path such as "/catalogue/{track}" or "/previews/*"`)
		return
	}
	shape := r.Method + " " + patternShape(r.Path)
	if other, ok := patterns[shape]; ok {
		fault("path", fmt.Sprintf("%s %s, as in route %q", r.Method, r.Path, other), "a method and path used once")
		return
	}
	patterns[shape] = r.Name
}

// Segments splits a path or pattern at its slashes.
func Segments(path string) []string {
	return strings.Split(strings.TrimPrefix(path, "/"), "/")
}

// IsWildcard tells whether a pattern segment stands for any one segment.
func IsWildcard(segment string) bool {
	return strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}")
}

func isPattern(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " ?#%") {
		return false
	}
	segments := Segments(path)
	for i, s := range segments {
		if s == "*" && i == len(segments)-1 {
			continue
		}
		if IsWildcard(s) && len(s) > len("{}") {
			continue
		}
		if s == "." || s == ".." || strings.ContainsAny(s, "{}*") {
			return false
		}
	}
	return true
}

// patternShape is equal for patterns that match the same paths.
func patternShape(path string) string {
	segments := Segments(path)
	for i, s := range segments {
		if IsWildcard(s) {
			segments[i] = "{}"
		}
	}
	return strings.Join(segments, "/")
}
