// Package namer holds the names of the HTTP fields that nodes exchange with
// callers and backend servers.
//
// # Usage
//
//	names := namer.Names{RequestID: "X-Request-Id", ...}
//
// All names are in canonical form; an empty name switches its field off.
package namer

// Names holds one name for each field.
type Names struct {
	// RequestID identifies one attempt of a caller; answers echo it.
	RequestID string
	// Remaining is the time left for a request, in whole milliseconds.
	Remaining string
	// Receipt marks an answer as made by a backend server.
	Receipt string
	// Organisation names the organisation for which a request runs.
	Organisation string
	// WantedServer names the only backend server that may run a request.
	WantedServer string
	// Server names the backend server that answers.
	Server string
	// NotRun marks an answer of a backend server that has not run a request.
	NotRun string
	// Caller names the pool of the VM where a request began.
	Caller string
	// Key carries a caller's key.
	Key string
}

// IsOwn tells whether only nodes may set a field.
func (n *Names) IsOwn(field string) bool {
	switch field {
	case n.Remaining, n.Organisation, n.WantedServer, n.Caller, n.Key:
		return true
	}
	return false
}
