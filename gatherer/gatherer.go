// Package gatherer asks all entries of a deployment for their state.
//
// It begins with the given addresses and goes on to the members that the
// answers name, so that one address that answers is enough. An entry that is
// known and doesn't answer is among the results, with the reason.
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

// Bounds of a gathering.
const (
	entryTimeout = 3 * time.Second // For one entry's answer.
	maxAnswer    = 16 << 20        // Bytes.
	maxAtOnce    = 32              // Entries asked at a time.
	maxRounds    = 4               // Of entries learnt from the round before.
)

// errNoAddress is the reason of a member that told no administration address.
var errNoAddress = errors.New("its administration address is not known")

// Gatherer asks entries.
type Gatherer struct {
	client   *http.Client
	scheme   string
	key      string
	describe describer.Describer
}

// New returns a gatherer that shows the administration key to the entries. A
// nil transport reaches them by plain HTTP, any other by TLS.
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

// Status asks all entries for their status.
func (g *Gatherer) Status(ctx context.Context, addrs []netip.AddrPort) []medlargw.EntryAnswer {
	var all []medlargw.EntryAnswer
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
		round := g.round(ctx, next)
		all = append(all, round...)
		next = nil
		for i := range round {
			next = append(next, adminAddrs(&round[i].Status)...)
		}
	}
	return complete(all)
}

// round asks entries side by side.
func (g *Gatherer) round(ctx context.Context, addrs []netip.AddrPort) []medlargw.EntryAnswer {
	p := pool.NewWithResults[medlargw.EntryAnswer]().WithMaxGoroutines(maxAtOnce)
	for _, addr := range addrs {
		p.Go(func() medlargw.EntryAnswer {
			a := medlargw.EntryAnswer{Addr: addr}
			body, err := g.get(ctx, addr, "/admin/v1/status")
			if err == nil {
				a.Status, err = g.describe.DecodeStatus(body)
			}
			a.Err = err
			a.Host = a.Status.Self.Host
			a.Zone = a.Status.Self.Zone
			return a
		})
	}
	return p.Wait()
}

// Burn asks all entries for their status and for what they know of the jobs.
func (g *Gatherer) Burn(ctx context.Context, addrs []netip.AddrPort) []medlargw.EntryAnswer {
	all := g.Status(ctx, addrs)
	p := pool.New().WithMaxGoroutines(maxAtOnce)
	for i := range all {
		a := &all[i]
		if a.Err != nil {
			continue
		}
		p.Go(func() {
			body, err := g.get(ctx, a.Addr, "/admin/v1/burn")
			if err == nil {
				a.Burn, err = g.describe.DecodeBurn(body)
			}
			a.Err = err
		})
	}
	p.Wait()
	return all
}

// SetAside has all entries take a target out of use, or back into it. The
// answers hold the status from before.
func (g *Gatherer) SetAside(
	ctx context.Context,
	addrs []netip.AddrPort,
	target medlargw.TargetName,
	aside bool,
) []medlargw.EntryAnswer {
	body := fmt.Sprintf(`{"aside": %t}`, aside)
	return g.act(ctx, addrs, "/admin/v1/targets/"+url.PathEscape(string(target)), body)
}

// SetLevel has all entries change the level of their log.
func (g *Gatherer) SetLevel(ctx context.Context, addrs []netip.AddrPort, level string) []medlargw.EntryAnswer {
	return g.act(ctx, addrs, "/admin/v1/log", fmt.Sprintf(`{"level": %q}`, level))
}

// act puts the body to all entries that answer.
func (g *Gatherer) act(ctx context.Context, addrs []netip.AddrPort, path, body string) []medlargw.EntryAnswer {
	all := g.Status(ctx, addrs)
	p := pool.New().WithMaxGoroutines(maxAtOnce)
	for i := range all {
		a := &all[i]
		if a.Err == nil {
			p.Go(func() { _, a.Err = g.call(ctx, http.MethodPut, a.Addr, path, strings.NewReader(body)) })
		}
	}
	p.Wait()
	return all
}

// adminAddrs returns where the members serve operators. Those that are gone
// are left out, for the list keeps them for a while.
func adminAddrs(s *medlargw.EntryStatus) []netip.AddrPort {
	var addrs []netip.AddrPort
	for i := range s.Members {
		m := &s.Members[i]
		if m.State != medlargw.MemberGone && m.Admin.IsValid() {
			addrs = append(addrs, m.Admin)
		}
	}
	return addrs
}

// complete names the entries that didn't answer, adds members that could not
// be asked, and joins what one entry said on two addresses.
func complete(all []medlargw.EntryAnswer) []medlargw.EntryAnswer {
	known := map[medlargw.HostName]bool{}
	var kept []medlargw.EntryAnswer
	for _, a := range all {
		if a.Err == nil && known[a.Host] {
			continue
		}
		known[a.Host] = true
		kept = append(kept, a)
	}
	for _, a := range all {
		for i := range a.Status.Members {
			kept = addMember(kept, known, &a.Status.Members[i])
		}
	}
	slices.SortStableFunc(kept, func(a, b medlargw.EntryAnswer) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Host, b.Host), a.Addr.Compare(b.Addr))
	})
	return kept
}

func addMember(
	kept []medlargw.EntryAnswer,
	known map[medlargw.HostName]bool,
	m *medlargw.Member,
) []medlargw.EntryAnswer {
	if m.State == medlargw.MemberGone || known[m.Host] {
		return kept
	}
	known[m.Host] = true
	missing := medlargw.EntryAnswer{Host: m.Host, Zone: m.Zone, Addr: m.Admin, Err: errNoAddress}
	for i := range kept {
		switch {
		case kept[i].Addr != m.Admin || !m.Admin.IsValid():
			continue
		case kept[i].Host == "":
			kept[i].Host, kept[i].Zone = m.Host, m.Zone
			return kept
		}
		missing.Err = fmt.Errorf("its administration address is that of %s", kept[i].Host)
	}
	return append(kept, missing)
}

func (g *Gatherer) get(ctx context.Context, addr netip.AddrPort, path string) ([]byte, error) {
	return g.call(ctx, http.MethodGet, addr, path, http.NoBody)
}

func (g *Gatherer) call(
	ctx context.Context,
	method string,
	addr netip.AddrPort,
	path string,
	send io.Reader,
) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, g.scheme+"://"+addr.String()+path, send)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+g.key)
	resp, err := g.client.Do(req)
	if err != nil {
		return nil, reason(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("got status %d, want 200", resp.StatusCode)
	}
	return body, nil
}

// reason returns the part of a client's error that says what happened.
func reason(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("no answer within %s", entryTimeout)
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Err
	}
	return err
}
