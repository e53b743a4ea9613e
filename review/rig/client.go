package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Step is a step of equal tasks, each of which works for Ms.
type Step struct {
	Count int
	Cpu   int64 //nolint:revive // The name on the wire.
	Ms    int
}

// Answer is the end of a request.
type Answer struct {
	Sent   time.Time
	At     time.Time
	Status int // Zero if the channel has ended without an answer.
	Body   string
	Err    error
}

func (a *Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", a.At.Sub(a.Sent).Milliseconds(), a.Err)
	}
	return fmt.Sprintf("answer %d %s after %d ms", a.Status, strings.TrimSpace(a.Body), a.At.Sub(a.Sent).Milliseconds())
}

// Body returns a job that needn't be stored, with one step.
func Body(s Step) string {
	spec, _ := json.Marshal(map[string]int{"Ms": s.Ms}) // These types can be encoded.
	raw, _ := json.Marshal(map[string]any{
		"Spec": string(spec), "BestEffort": true,
		"JobSteps": []map[string]any{{"Count": s.Count, "Cpu": s.Cpu, "EstimatedMs": s.Ms}},
	})
	return string(raw)
}

// Send sends a request over a channel of its own and waits for its end. The deadline
// is how long the requester waits.
func (e *Entry) Send(method, path, body string, deadline time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a := Answer{Sent: time.Now()}
	e.rig.Logf("requester: %s %s to %s, waits for %v %s", method, path, e.Name, deadline, body)
	a.Status, a.Body, a.Err = e.exchange(ctx, method, path, body, deadline)
	a.At = time.Now()
	e.rig.Logf("requester: %s %s: %s", method, path, a.String())
	return a
}

func (e *Entry) exchange(ctx context.Context, method, path, body string, deadline time.Duration) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", e.IP, e.rig.ports.frontend, path), strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = hostName
	req.GetBody = nil // No second copy by the transport.
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	return resp.StatusCode, string(raw), nil
}

// SendAsync is Send on another goroutine.
func (e *Entry) SendAsync(method, path, body string, deadline time.Duration) <-chan Answer {
	c := make(chan Answer, 1)
	go func() { c <- e.Send(method, path, body, deadline) }()
	return c
}
