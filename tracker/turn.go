package tracker

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// due returns the addresses to send a heartbeat to in this turn: the peers of
// the zone with which there was no exchange lately, one entry of the zone that
// was not heard for the longest time, and one address at which nobody is known.
// One exchange serves both sides, so that of two peers one sends.
func (v *view) due(now time.Time) []netip.AddrPort {
	var all []netip.AddrPort
	quiet := v.period() * 3 / 4
	for _, p := range v.ordered() {
		if p.member.Zone != v.self.Zone || p.member.State == medlargw.MemberGone {
			continue
		}
		if now.Sub(p.heard) >= quiet && now.Sub(p.tried) >= quiet {
			p.tried = now
			all = append(all, p.member.Addr)
		}
	}
	if p := v.abroad(); p != nil {
		p.tried = now
		all = append(all, p.member.Addr)
	}
	if addr, ok := v.stranger(); ok {
		all = append(all, addr)
	}
	return all
}

// reachable returns the addresses of all peers that are not gone.
func (v *view) reachable() []netip.AddrPort {
	var all []netip.AddrPort
	for _, p := range v.ordered() {
		if p.member.State != medlargw.MemberGone {
			all = append(all, p.member.Addr)
		}
	}
	return all
}

// ordered returns the peers in a fixed order.
func (v *view) ordered() []*peer {
	all := make([]*peer, 0, len(v.peers))
	for _, p := range v.peers {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *peer) int {
		return cmp.Compare(a.member.Incarnation, b.member.Incarnation)
	})
	return all
}

// abroad returns the entry of another zone to send a heartbeat to next, or nil.
func (v *view) abroad() *peer {
	heard := map[medlargw.ZoneName]time.Time{}
	var best *peer
	all := v.ordered()
	for _, p := range all {
		if last := later(p.heard, p.tried); last.After(heard[p.member.Zone]) {
			heard[p.member.Zone] = last
		}
	}
	for _, p := range all {
		if p.member.Zone == v.self.Zone || p.member.State == medlargw.MemberGone {
			continue
		}
		if best == nil || cmp.Or(
			heard[p.member.Zone].Compare(heard[best.member.Zone]),
			p.tried.Compare(best.tried),
		) < 0 {
			best = p
		}
	}
	return best
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stranger returns the next address at which no living member is known: those
// of the settings and of the host list, and of members that fell silent.
func (v *view) stranger() (netip.AddrPort, bool) {
	for range v.greet {
		addr := v.greet[v.greeted%len(v.greet)]
		v.greeted++
		if addr != v.self.Addr && !v.known(addr) {
			return addr, true
		}
	}
	return netip.AddrPort{}, false
}

func (v *view) known(addr netip.AddrPort) bool {
	for _, p := range v.peers {
		alive := p.member.State != medlargw.MemberGone && p.member.State != medlargw.MemberSuspect
		if p.member.Addr == addr && alive && !p.heard.IsZero() {
			return true
		}
	}
	return false
}

// hint replaces the addresses to greet by those of the settings and the host
// list, and keeps those of members that fell silent.
func (v *view) hint(addrs []netip.AddrPort) {
	v.greet = v.greet[:0]
	for _, addr := range addrs {
		v.greetLater(addr)
	}
	for _, p := range v.ordered() {
		if p.member.State == medlargw.MemberGone && p.member.Successor == "" {
			v.greetLater(p.member.Addr)
		}
	}
}

// behind returns the addresses of the peers of the zone that lack something of
// the digest, and of one such peer in each other zone.
func (v *view) behind(d *medlargw.Digest) []netip.AddrPort {
	told := map[medlargw.ZoneName]bool{}
	var all []netip.AddrPort
	for _, p := range v.ordered() {
		lacks := p.digest.Generation < d.Generation || p.digest.Hosts < d.Hosts
		if !lacks || !p.member.Serving() || told[p.member.Zone] {
			continue
		}
		told[p.member.Zone] = p.member.Zone != v.self.Zone
		all = append(all, p.member.Addr)
	}
	return all
}
