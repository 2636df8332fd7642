// Package loadgen is an open-loop load generator that acts as the callers of
// the nodes and records the outcome of each request.
//
// It verifies every response: the nonce shows that the response belongs to the
// request, and the digest shows that the request body arrived complete. If
// retries are enabled, they are sent immediately and without backoff, as some
// real clients do.
//
// # Usage
//
//	g := &loadgen.Generator{Targets: nodes, Mix: mix, Organisations: orgs, Duration: 10 * time.Second}
//	outcomes := g.Run(ctx)
package loadgen

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"apricotrudder.dev/standin/responder"
)

const maxResponseBytes = 8 << 20

type (
	// A RequestKind is one kind of request in the request mix.
	RequestKind struct {
		Name       string  `toml:"name"`
		Method     string  `toml:"method"`
		Path       string  `toml:"path"`
		Share      float64 `toml:"share"` // relative frequency
		Idempotent bool    `toml:"idempotent"`
	}

	// An Organisation is one source of load.
	Organisation struct {
		Name string
		Key  string  // API key
		Rate float64 // requests per second
	}

	// A Generator sends the load. Its fields must be set before Run is called.
	Generator struct {
		Targets       []netip.AddrPort
		Mix           []RequestKind
		Organisations []Organisation
		Duration      time.Duration
		Timeout       time.Duration
		Retries       int // per request, without backoff
		Client        *http.Client
	}

	// An Outcome is the final result of one request, including its retries.
	Outcome struct {
		Organisation string
		Kind         string
		Reason       string // Answered, the reason of a refusal, or the kind of failure
		Status       int
		Latency      time.Duration
		Attempts     int
	}

	// problemDetails is the part of an application/problem+json body that the
	// generator uses.
	problemDetails struct {
		Reason string `json:"reason"`
		Ran    string `json:"ran"`
	}
)

// Answered is the reason of complete and correct responses.
const Answered = "answered"

// Run sends requests until Duration has passed, and returns all outcomes.
func (g *Generator) Run(ctx context.Context) []Outcome {
	ctx, cancel := context.WithTimeout(ctx, g.Duration+g.Timeout)
	defer cancel()
	var (
		mu       sync.Mutex
		outcomes []Outcome
		wg       sync.WaitGroup
	)
	end := time.Now().Add(g.Duration)
	for _, o := range g.Organisations {
		wg.Go(func() {
			g.generateArrivals(ctx, o, end, func() {
				outcome := g.sendWithRetries(ctx, o, g.pickKind())
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, outcome)
			})
		})
	}
	wg.Wait()
	return outcomes
}

// generateArrivals starts requests as a Poisson process with the mean rate of
// the organisation, independent of how long earlier requests take, and waits
// for all of them.
func (g *Generator) generateArrivals(ctx context.Context, o Organisation, end time.Time, send func()) {
	var wg sync.WaitGroup
	defer wg.Wait()
	next := time.Now()
	for {
		next = next.Add(time.Duration(mathrand.ExpFloat64() / o.Rate * float64(time.Second)))
		if next.After(end) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		wg.Go(send)
	}
}

func (g *Generator) pickKind() RequestKind {
	total := 0.0
	for _, k := range g.Mix {
		total += k.Share
	}
	pick := mathrand.Float64() * total
	for _, k := range g.Mix {
		if pick -= k.Share; pick < 0 {
			return k
		}
	}
	return g.Mix[len(g.Mix)-1]
}

func (g *Generator) sendWithRetries(ctx context.Context, o Organisation, k RequestKind) Outcome {
	start := time.Now()
	id := rand.Text()
	outcome := Outcome{Organisation: o.Name, Kind: k.Name}
	for outcome.Attempts <= g.Retries {
		outcome.Attempts++
		outcome.Status, outcome.Reason = g.sendOnce(ctx, o, k, id)
		if outcome.Reason == Answered {
			break
		}
	}
	outcome.Latency = time.Since(start)
	return outcome
}

func (g *Generator) sendOnce(ctx context.Context, o Organisation, k RequestKind, id string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	target := g.Targets[mathrand.IntN(len(g.Targets))]
	var body []byte
	if k.Method != http.MethodGet {
		body = []byte("request " + id)
	}
	request, err := http.NewRequestWithContext(ctx, k.Method, "http://"+target.String()+k.Path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	nonce := rand.Text()
	request.Header.Set(responder.HeaderNonce, nonce)
	request.Header.Set("Authorization", "Bearer "+o.Key)
	if !k.Idempotent {
		request.Header["idempotency-key"] = []string{id}
	}
	response, err := g.Client.Do(request)
	if err != nil {
		return 0, "noAnswer"
	}
	defer response.Body.Close()
	return response.StatusCode, classify(response, nonce, body, k.Idempotent)
}

// classify returns Answered if the response is complete and belongs to the
// request, and otherwise a reason. With checkNonce false it accepts any nonce:
// the response to a repeated idempotency key may be the recorded one, which has
// the nonce of an earlier attempt.
func classify(response *http.Response, nonce string, body []byte, checkNonce bool) string {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return "answerCut"
	}
	if response.StatusCode != http.StatusOK {
		var p problemDetails
		if json.Unmarshal(data, &p) == nil && p.Reason != "" {
			return p.Reason + " (" + p.Ran + ")"
		}
		return fmt.Sprintf("status %d", response.StatusCode)
	}
	var a responder.ResponseBody
	if err := json.Unmarshal(data, &a); err != nil {
		return "answerBroken"
	}
	sum := sha256.Sum256(body)
	if a.Digest != hex.EncodeToString(sum[:]) || checkNonce && a.Nonce != nonce {
		return "answerCrossed"
	}
	return Answered
}
