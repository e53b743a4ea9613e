// Package gatherer queries the administration interfaces of all entries of a
// deployment.
//
// It starts with the given addresses and continues with the members that the
// responses list, so that one address that responds is enough. The results
// include known entries that did not respond, with an error.
package gatherer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/describer"
)

// Limits of a query of all entries.
const (
	entryTimeout          = 3 * time.Second // Per request.
	maxResponseBytes      = 16 << 20
	maxConcurrentRequests = 32 // Entries queried at a time.
	maxRounds             = 4  // Rounds of discovery; each queries the entries found in the previous one.
)

// errNoAddress is the error for a member without a known administration
// address.
var errNoAddress = errors.New("its administration address is not known")

// Gatherer queries entries.
type Gatherer struct {
	client          *http.Client
	scheme          string
	key             string
	statusDescriber describer.Describer
}

// New returns a gatherer that authenticates with the administration key. With a
// nil transport it uses plain HTTP, with any other transport HTTPS.
func New(key string, transport *http.Transport) *Gatherer {
	g := &Gatherer{client: &http.Client{Transport: transport}, scheme: "https", key: key}
	if transport == nil {
		g.client.Transport = &http.Transport{}
		g.scheme = "http"
	}
	g.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return g
}

// Close closes the idle connections.
func (g *Gatherer) Close() { g.client.CloseIdleConnections() }

// Status queries the status of all entries.
func (g *Gatherer) Status(ctx context.Context, addrs []netip.AddrPort) []medlargw.EntryResponse {
	var answers []medlargw.EntryResponse
	asked := map[netip.AddrPort]bool{}
	next := addrs
	for range maxRounds {
		next = slices.DeleteFunc(slices.Clone(next), func(addr netip.AddrPort) bool {
			known := asked[addr]
			asked[addr] = true
			return known
		})
		if len(next) == 0 {
			break
		}
		round := g.queryStatus(ctx, next)
		answers = append(answers, round...)
		next = nil
		for i := range round {
			next = append(next, adminAddrs(&round[i].Status)...)
		}
	}
	return mergeAnswers(answers)
}

// queryStatus queries the status of the given entries concurrently.
func (g *Gatherer) queryStatus(ctx context.Context, addrs []netip.AddrPort) []medlargw.EntryResponse {
	p := pool.NewWithResults[medlargw.EntryResponse]().WithMaxGoroutines(maxConcurrentRequests)
	for _, addr := range addrs {
		p.Go(func() medlargw.EntryResponse {
			a := medlargw.EntryResponse{Addr: addr}
			body, err := g.get(ctx, addr, "/admin/v1/status")
			if err == nil {
				a.Status, err = g.statusDescriber.DecodeStatus(body)
			}
			a.Err = err
			a.Host = a.Status.Self.Host
			a.Zone = a.Status.Self.Zone
			return a
		})
	}
	return p.Wait()
}

// BurnStatus queries the status and the burn status of all entries.
func (g *Gatherer) BurnStatus(ctx context.Context, addrs []netip.AddrPort) []medlargw.EntryResponse {
	answers := g.Status(ctx, addrs)
	p := pool.New().WithMaxGoroutines(maxConcurrentRequests)
	for i := range answers {
		a := &answers[i]
		if a.Err != nil {
			continue
		}
		p.Go(func() {
			body, err := g.get(ctx, a.Addr, "/admin/v1/burn")
			if err == nil {
				a.Burn, err = g.statusDescriber.DecodeBurnStatus(body)
			}
			a.Err = err
		})
	}
	p.Wait()
	return answers
}

// SetAside sets a target aside, or back into use, on all entries. The results
// hold the status before the change.
func (g *Gatherer) SetAside(
	ctx context.Context,
	addrs []netip.AddrPort,
	target medlargw.TargetName,
	aside bool,
) []medlargw.EntryResponse {
	body := fmt.Sprintf(`{"aside": %t}`, aside)
	return g.putAll(ctx, addrs, "/admin/v1/targets/"+url.PathEscape(string(target)), body)
}

// SetLogLevel sets the log level of all entries. The results hold the status
// before the change.
func (g *Gatherer) SetLogLevel(ctx context.Context, addrs []netip.AddrPort, level string) []medlargw.EntryResponse {
	return g.putAll(ctx, addrs, "/admin/v1/log", fmt.Sprintf(`{"level": %q}`, level))
}

// putAll queries the status of all entries, and sends a PUT request with the
// body to those that respond.
func (g *Gatherer) putAll(ctx context.Context, addrs []netip.AddrPort, path, body string) []medlargw.EntryResponse {
	answers := g.Status(ctx, addrs)
	p := pool.New().WithMaxGoroutines(maxConcurrentRequests)
	for i := range answers {
		a := &answers[i]
		if a.Err == nil {
			p.Go(func() { _, a.Err = g.send(ctx, http.MethodPut, a.Addr, path, strings.NewReader(body)) })
		}
	}
	p.Wait()
	return answers
}

// adminAddrs returns the administration addresses of the members. It omits
// members that are gone, which the status still lists for a while.
func adminAddrs(s *medlargw.EntryStatus) []netip.AddrPort {
	var addrs []netip.AddrPort
	for i := range s.Members {
		m := &s.Members[i]
		if m.State != medlargw.MemberGone && m.AdminAddr.IsValid() {
			addrs = append(addrs, m.AdminAddr)
		}
	}
	return addrs
}

// mergeAnswers removes repeated responses of an entry that was queried at two
// addresses, fills in the names of entries that did not respond, and adds
// members that could not be queried. The result is ordered by zone and host.
func mergeAnswers(answers []medlargw.EntryResponse) []medlargw.EntryResponse {
	known := map[medlargw.HostName]bool{}
	var merged []medlargw.EntryResponse
	for _, a := range answers {
		if a.Err == nil && known[a.Host] {
			continue
		}
		known[a.Host] = true
		merged = append(merged, a)
	}
	for _, a := range answers {
		for i := range a.Status.Members {
			merged = addMember(merged, known, &a.Status.Members[i])
		}
	}
	slices.SortStableFunc(merged, func(a, b medlargw.EntryResponse) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Host, b.Host), a.Addr.Compare(b.Addr))
	})
	return merged
}

// addMember adds a member unless it is gone or already among the results. If an
// address without a response is that of the member, addMember names that result
// instead.
func addMember(
	merged []medlargw.EntryResponse,
	known map[medlargw.HostName]bool,
	m *medlargw.Member,
) []medlargw.EntryResponse {
	if m.State == medlargw.MemberGone || known[m.Host] {
		return merged
	}
	known[m.Host] = true
	missing := medlargw.EntryResponse{Host: m.Host, Zone: m.Zone, Addr: m.AdminAddr, Err: errNoAddress}
	for i := range merged {
		switch {
		case merged[i].Addr != m.AdminAddr || !m.AdminAddr.IsValid():
			continue
		case merged[i].Host == "":
			merged[i].Host, merged[i].Zone = m.Host, m.Zone
			return merged
		}
		missing.Err = fmt.Errorf("its administration address is that of %s", merged[i].Host)
	}
	return append(merged, missing)
}

func (g *Gatherer) get(ctx context.Context, addr netip.AddrPort, path string) ([]byte, error) {
	return g.send(ctx, http.MethodGet, addr, path, http.NoBody)
}

func (g *Gatherer) send(
	ctx context.Context,
	method string,
	addr netip.AddrPort,
	path string,
	content io.Reader,
) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, g.scheme+"://"+addr.String()+path, content)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+g.key)
	resp, err := g.client.Do(req)
	if err != nil {
		return nil, rootCause(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("got status %d, want 200", resp.StatusCode)
	}
	return body, nil
}

// rootCause reduces an error of the HTTP client to its cause, without the URL.
func rootCause(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("no response within %s", entryTimeout)
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Err
	}
	return err
}
