package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// jobBody returns the body of a best-effort job of equal tasks.
func jobBody(count int, cores, ms int64) []byte {
	text, err := json.Marshal(spec{Ms: ms, Cores: cores})
	check(err)
	body, err := json.Marshal(map[string]any{
		"Spec":       string(text),
		"JobSteps":   []map[string]any{{"Count": count, "Cpu": cores, "MemMb": 64, "EstimatedMs": ms}},
		"BestEffort": true,
	})
	check(err)
	return body
}

// response is what a caller has got. A status of zero is no complete answer.
type response struct {
	status int
	body   string
	err    error
	sent   time.Time
	at     time.Time
}

func (r response) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer: %v", r.err)
	}
	return strconv.Itoa(r.status) + " " + r.body
}

// call sends one request on a channel of its own.
func (s *stage) call(e *entry, method, path string, deadline time.Duration, body []byte) response {
	ctx, cancel := context.WithTimeout(s.ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers()+path, bytes.NewReader(body)) //nolint:gosec // A loopback address.
	check(err)
	req.Host = "desk.example"
	req.GetBody = nil
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: false, MaxIdleConns: -1}}
	defer client.CloseIdleConnections()
	out := response{sent: time.Now()}
	resp, err := client.Do(req) //nolint:gosec // A loopback address.
	out.at, out.err = time.Now(), err
	if err != nil {
		return out
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	out.at, out.err = time.Now(), err
	if err == nil {
		out.status, out.body = resp.StatusCode, string(bytes.TrimSpace(raw))
	}
	return out
}
