// Package accessor is an HTTP client of the platform's key-value store and host
// list.
//
// A value is sent as the body and its revision as a header, so that values are
// never encoded twice.
package accessor

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"medlargw.example/medlargw"
)

// Limits of one call.
const (
	maxValueBytes = 2 << 20
	writeTimeout  = 5 * time.Second
	watchMargin   = 5 * time.Second // For the answer of the platform.
	maxWatchTime  = 8 * time.Second // Then Watch returns, and the caller watches again.
)

// headerRevision is the header that holds the revision of a value.
const headerRevision = "Revision"

// Accessor implements medlargw.Store and medlargw.HostLister.
type Accessor struct {
	base        string
	client      *http.Client
	readTimeout time.Duration // Zero is unlimited.
}

var (
	_ medlargw.Store      = (*Accessor)(nil)
	_ medlargw.HostLister = (*Accessor)(nil)
)

// New returns a client of the platform at the address. Reads that take longer than the
// timeout fail; with zero, they end with their contexts.
func New(addr netip.AddrPort, readTimeout time.Duration) *Accessor {
	return &Accessor{base: "http://" + addr.String(), client: &http.Client{Transport: &http.Transport{}}, readTimeout: readTimeout}
}

// boundRead returns the context of a read.
func (a *Accessor) boundRead(ctx context.Context) (context.Context, context.CancelFunc) {
	if a.readTimeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, a.readTimeout)
}

// Close closes the idle connections.
func (a *Accessor) Close() { a.client.CloseIdleConnections() }

func keyPath(key string) string { return "/v1/keys/" + key }

// Get returns the value of a key, or medlargw.ErrNotFound.
func (a *Accessor) Get(ctx context.Context, key string) (medlargw.KeyValue, error) {
	ctx, cancel := a.boundRead(ctx)
	defer cancel()
	return a.getEntry(ctx, key, keyPath(key))
}

// Watch waits until the key's revision differs from the given one, and returns
// the entry. After maxWatchTime it returns the entry unchanged.
func (a *Accessor) Watch(ctx context.Context, key string, revision uint64) (medlargw.KeyValue, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWatchTime+watchMargin)
	defer cancel()
	query := "?after=" + strconv.FormatUint(revision, 10) + "&wait=" + maxWatchTime.String()
	return a.getEntry(ctx, key, "/v1/watch/"+key+query)
}

func (a *Accessor) getEntry(ctx context.Context, key, path string) (medlargw.KeyValue, error) {
	body, revision, err := a.call(ctx, http.MethodGet, path, nil, "")
	if err != nil {
		return medlargw.KeyValue{}, fmt.Errorf("get %s: %w", key, err)
	}
	return medlargw.KeyValue{Key: key, Value: body, Revision: revision}, nil
}

// Put writes a key if its revision is still the given one, and returns the new
// revision. Revision zero creates the key.
func (a *Accessor) Put(ctx context.Context, key string, value []byte, revision uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, written, err := a.call(ctx, http.MethodPut, keyPath(key), value, strconv.FormatUint(revision, 10))
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	return written, nil
}

// Delete removes a key if its revision is still the given one.
func (a *Accessor) Delete(ctx context.Context, key string, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, _, err := a.call(ctx, http.MethodDelete, keyPath(key), nil, strconv.FormatUint(revision, 10))
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

type entryWire struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// List returns the entries whose key starts with the prefix.
func (a *Accessor) List(ctx context.Context, prefix string) ([]medlargw.KeyValue, error) {
	ctx, cancel := a.boundRead(ctx)
	defer cancel()
	body, _, err := a.call(ctx, http.MethodGet, "/v1/keys?prefix="+url.QueryEscape(prefix), nil, "")
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	var wire []entryWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	all := make([]medlargw.KeyValue, len(wire))
	for i, w := range wire {
		all[i] = medlargw.KeyValue{Key: w.Key, Value: w.Value, Revision: w.Revision}
	}
	return all, nil
}

// Hosts returns the platform's host list.
func (a *Accessor) Hosts(ctx context.Context) (medlargw.HostList, error) {
	ctx, cancel := a.boundRead(ctx)
	defer cancel()
	body, _, err := a.call(ctx, http.MethodGet, "/v1/hosts", nil, "")
	if err != nil {
		return medlargw.HostList{}, fmt.Errorf("list hosts: %w", err)
	}
	return DecodeHosts(body)
}

// call sends one request and returns the body and the revision of the response.
func (a *Accessor) call(ctx context.Context, method, path string, value []byte, match string) ([]byte, uint64, error) {
	req, err := http.NewRequestWithContext(ctx, method, a.base+path, bytes.NewReader(value))
	if err != nil {
		return nil, 0, fmt.Errorf("build request: %w", err)
	}
	if match != "" {
		req.Header.Set(headerRevision, match)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes))
	if err != nil {
		return nil, 0, fmt.Errorf("read response: %w", err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		revision, _ := strconv.ParseUint(resp.Header.Get(headerRevision), 10, 64)
		return body, revision, nil
	case http.StatusNotFound:
		return nil, 0, medlargw.ErrNotFound
	case http.StatusConflict:
		return nil, 0, medlargw.ErrConflict
	}
	return nil, 0, fmt.Errorf("got status %d, want 200", resp.StatusCode)
}
