// Package isolator sets some targets of each zone and pool apart for tasks that are
// likely to crash the target that starts them.
//
// The same few targets then fall again and again, and the others serve the rest. A
// target is chosen by its address, which stays the same when it starts again, so that
// no other one takes its place while it is down. Entries with the same host list
// choose the same targets.
package isolator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlargw.example/medlargw"
)

const (
	// share is the part of the targets that is set apart, at least one of minGroup.
	share    = 1.0 / 3
	minGroup = 3
	// retention is the time for which the address of a target that has left the host list
	// counts. A target that has crashed is back before.
	retention = 30 * time.Second
)

// group is a set of targets of which some are set apart.
type group struct {
	zone medlargw.ZoneName
	pool medlargw.PoolName
}

// place is where a target runs.
type place struct {
	group    group
	addr     netip.AddrPort
	listedAt time.Time // When it was last listed.
}

// Isolator is not safe for concurrent use. The zero value knows no targets.
type Isolator struct {
	places   map[netip.AddrPort]place
	isolated map[netip.AddrPort]bool
}

// Update replaces the host list.
func (s *Isolator) Update(now time.Time, targets []medlargw.Target) {
	if s.places == nil {
		s.places = map[netip.AddrPort]place{}
	}
	changed := false
	for i := range targets {
		t := &targets[i]
		p := place{group: group{t.Zone, t.Pool}, addr: t.Addr, listedAt: now}
		known, ok := s.places[t.Addr]
		changed = changed || !ok || known.group != p.group
		s.places[t.Addr] = p
	}
	for addr, p := range s.places {
		if now.Sub(p.listedAt) > retention {
			delete(s.places, addr)
			changed = true
		}
	}
	if changed {
		s.choose()
	}
}

// choose chooses the targets that are set apart, by the hashes of their addresses.
func (s *Isolator) choose() {
	groups := map[group][]netip.AddrPort{}
	for addr, p := range s.places {
		groups[p.group] = append(groups[p.group], addr)
	}
	s.isolated = map[netip.AddrPort]bool{}
	for _, addrs := range groups {
		slices.SortFunc(addrs, func(a, b netip.AddrPort) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.String()), xxhash.Sum64String(b.String())), a.Compare(b))
		})
		n := int(share * float64(len(addrs)))
		if len(addrs) >= minGroup {
			n = max(n, 1)
		}
		for _, addr := range addrs[:n] {
			s.isolated[addr] = true
		}
	}
}

// IsIsolated reports whether the target at an address is set apart.
func (s *Isolator) IsIsolated(addr netip.AddrPort) bool { return s.isolated[addr] }
