package checker

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"apricotrudder.dev/apricotd/decoder"
)

const (
	// maxTimeout bounds the request timeout of a route.
	maxTimeout = 5 * time.Minute
	// maxRetries bounds the retry tokens with which a request starts.
	maxRetries = 10
)

// Classes in the order in which their requests are shed.
const (
	ClassLow Class = iota
	ClassNormal
	ClassHigh
	ClassCritical
)

// Values of Access.
const (
	AccessKey      Access = "key"      // callers with a key of an organisation
	AccessOpen     Access = "open"     // all callers
	AccessInternal Access = "internal" // backend servers only
)

// Values of StalePolicy.
const (
	StaleRefuse StalePolicy = "refuse"
	StaleServe  StalePolicy = "serve"
)

type (
	// A Class is the criticality of a route's requests. Lower classes are shed
	// first.
	Class uint8

	// An Access determines who may send requests to a route.
	Access string

	// A StalePolicy determines how a node treats requests with a key while it
	// cannot confirm that its keys are current.
	StalePolicy string

	// A Route is one row of the routes table.
	Route struct {
		Name   string `toml:"name" json:"name"`
		Method string `toml:"method" json:"method"`
		// Path is a pattern of literal segments, {name} wildcards that match one
		// segment, and optionally a final * that matches the rest of the path.
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

// String returns the class name used in the routes table.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return fmt.Sprintf("class %d", uint8(c))
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Class) UnmarshalText(text []byte) error {
	for i, name := range classNames {
		if string(text) == name {
			*c = Class(i)
			return nil
		}
	}
	return fmt.Errorf("got class %q, want one of %s", text, strings.Join(classNames[:], ", "))
}

func checkRoute(errs *errorList, r *Route, i int, cfg *Config, patterns map[string]string) {
	position := fmt.Sprintf("route %q (row %d)", r.Name, i+1)
	report := func(key, got, want string) { errs.add(RoutesTable, position, key, got, want) }
	setRouteDefaults(r)
	if !isValidName(r.Name) {
		report("name", fmt.Sprintf("%q", r.Name), wantName)
	}
	if _, ok := cfg.Routes[r.Name]; ok {
		report("name", fmt.Sprintf("%q twice", r.Name), "a name used once")
	}
	cfg.Routes[r.Name] = r
	checkPattern(report, r, patterns)
	if _, ok := cfg.Pools[r.Pool]; !ok {
		report("pool", fmt.Sprintf("%q", r.Pool), "the name of a pool in the pools table")
	}
	switch r.Access {
	case AccessKey, AccessOpen, AccessInternal:
	default:
		report("access", fmt.Sprintf("%q", r.Access), `"key", "open" or "internal"`)
	}
	switch r.WhenStale {
	case StaleRefuse, StaleServe:
	default:
		report("whenStale", fmt.Sprintf("%q", r.WhenStale), `"refuse" or "serve"`)
	}
	if d := time.Duration(r.Timeout); d <= 0 || d > maxTimeout {
		report("timeout", fmt.Sprintf("%q", d), fmt.Sprintf("a duration above 0s and up to %v", maxTimeout))
	}
	if !r.Idempotent && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		report("idempotent", fmt.Sprintf("false with method %s", r.Method), "true, or a method that may have effects")
	}
	if r.Retries > maxRetries {
		report("retries", fmt.Sprint(r.Retries), fmt.Sprintf("at most %d", maxRetries))
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

func checkPattern(report func(key, got, want string), r *Route, patterns map[string]string) {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		report("method", fmt.Sprintf("%q", r.Method), "GET, HEAD, POST, PUT, PATCH or DELETE")
	}
	if !isValidPattern(r.Path) {
		report("path", fmt.Sprintf("%q", r.Path), `a path such as "/catalogue/{track}" or "/previews/*"`)
		return
	}
	canonical := r.Method + " " + canonicalPattern(r.Path)
	if other, ok := patterns[canonical]; ok {
		report("path", fmt.Sprintf("%s %s, as in route %q", r.Method, r.Path, other), "a method and path used once")
		return
	}
	patterns[canonical] = r.Name
}

// Segments splits a path or pattern at its slashes.
func Segments(path string) []string {
	return strings.Split(strings.TrimPrefix(path, "/"), "/")
}

// IsWildcard reports whether a pattern segment is a {name} wildcard.
func IsWildcard(segment string) bool {
	return strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}")
}

func isValidPattern(path string) bool {
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

// canonicalPattern removes the names of wildcards from a pattern, so that
// patterns matching the same paths become equal.
func canonicalPattern(path string) string {
	segments := Segments(path)
	for i, s := range segments {
		if IsWildcard(s) {
			segments[i] = "{}"
		}
	}
	return strings.Join(segments, "/")
}
