// Package caller stands in for the callers: it sends a bounded load and keeps
// account of what came back.
//
// It checks every answer: the nonce shows that it belongs to the request, the
// digest that the body arrived whole. Callers retry at once and without
// restraint if told to, as real ones do.
//
// # Usage
//
//	c := &caller.Caller{Targets: nodes, Mix: mix, Organisations: orgs, Duration: 10 * time.Second}
//	report := c.Run(ctx)
package caller

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

const maxAnswer = 8 << 20 // bytes

type (
	// A Kind is one kind of request in the mix.
	Kind struct {
		Name       string  `toml:"name"`
		Method     string  `toml:"method"`
		Path       string  `toml:"path"`
		Share      float64 `toml:"share"`
		Idempotent bool    `toml:"idempotent"`
	}

	// An Organisation is one sender.
	Organisation struct {
		Name string
		Key  string
		Rate float64 // requests per second
	}

	// A Caller sends the load. Its fields must be set before Run.
	Caller struct {
		Targets       []netip.AddrPort
		Mix           []Kind
		Organisations []Organisation
		Duration      time.Duration
		Timeout       time.Duration
		Retries       int // sent at once after a failure
		Client        *http.Client
	}

	// An Outcome is what became of one request.
	Outcome struct {
		Organisation string
		Kind         string
		Reason       string // "answered", a refusal's reason, or a fault of the answer
		Status       int
		Latency      time.Duration
		Attempts     int
	}

	problem struct {
		Reason string `json:"reason"`
		Ran    string `json:"ran"`
	}
)

// Answered is the reason of whole, correct answers.
const Answered = "answered"

// Run sends until Duration has passed and returns every outcome.
func (c *Caller) Run(ctx context.Context) []Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.Duration+c.Timeout)
	defer cancel()
	var (
		mu       sync.Mutex
		outcomes []Outcome
		wg       sync.WaitGroup
	)
	end := time.Now().Add(c.Duration)
	for _, o := range c.Organisations {
		wg.Go(func() {
			c.arrivals(ctx, o, end, func() {
				out := c.send(ctx, o, c.draw())
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, out)
			})
		})
	}
	wg.Wait()
	return outcomes
}

// arrivals starts requests at random times with the organisation's mean rate,
// however long earlier ones take, and waits for all of them.
func (c *Caller) arrivals(ctx context.Context, o Organisation, end time.Time, send func()) {
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

func (c *Caller) draw() Kind {
	total := 0.0
	for _, k := range c.Mix {
		total += k.Share
	}
	at := mathrand.Float64() * total
	for _, k := range c.Mix {
		if at -= k.Share; at < 0 {
			return k
		}
	}
	return c.Mix[len(c.Mix)-1]
}

func (c *Caller) send(ctx context.Context, o Organisation, k Kind) Outcome {
	begun := time.Now()
	id := rand.Text()
	out := Outcome{Organisation: o.Name, Kind: k.Name}
	for out.Attempts <= c.Retries {
		out.Attempts++
		out.Status, out.Reason = c.attempt(ctx, o, k, id)
		if out.Reason == Answered {
			break
		}
	}
	out.Latency = time.Since(begun)
	return out
}

func (c *Caller) attempt(ctx context.Context, o Organisation, k Kind, id string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	target := c.Targets[mathrand.IntN(len(c.Targets))]
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
	response, err := c.Client.Do(request)
	if err != nil {
		return 0, "noAnswer"
	}
	defer response.Body.Close()
	return response.StatusCode, judge(response, nonce, body, k.Idempotent)
}

// judge tells whether an answer is whole and belongs to the request. The
// answer to a repeated request id may be the recorded one, with the nonce of
// an earlier attempt.
func judge(response *http.Response, nonce string, body []byte, checkNonce bool) string {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return "answerCut"
	}
	if response.StatusCode != http.StatusOK {
		var p problem
		if json.Unmarshal(data, &p) == nil && p.Reason != "" {
			return p.Reason + " (" + p.Ran + ")"
		}
		return fmt.Sprintf("status %d", response.StatusCode)
	}
	var a responder.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return "answerBroken"
	}
	sum := sha256.Sum256(body)
	if a.Digest != hex.EncodeToString(sum[:]) || checkNonce && a.Nonce != nonce {
		return "answerCrossed"
	}
	return Answered
}
