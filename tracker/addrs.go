package tracker

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// Numbers of addresses that an entry probes in one round. Some of them may be those of
// hosts that are gone.
const (
	firstProbes = 12 // In the first round with addresses.
	laterProbes = 3  // Afterwards, while it has no peers.
)

// dueAddrs returns the addresses to send a heartbeat to in this round: the
// peers of this entry's zone without a recent exchange, one peer of another
// zone, and one address at which no live member is known. One exchange serves
// both sides, so usually only one of two peers sends.
func (v *view) dueAddrs(now time.Time) []netip.AddrPort {
	var all []netip.AddrPort
	minGap := v.heartbeatPeriod() * 3 / 4
	for _, p := range v.sortedPeers() {
		if p.member.Zone != v.self.Zone || p.member.State == medlargw.MemberGone {
			continue
		}
		if now.Sub(p.lastDirectMessage) >= minGap && now.Sub(p.lastSent) >= minGap {
			p.lastSent = now
			all = append(all, p.member.Addr)
		}
	}
	if p := v.nextRemotePeer(); p != nil && now.Sub(v.lastRemote) >= v.remotePeriod()*3/4 {
		v.lastRemote = now
		p.lastSent = now
		all = append(all, p.member.Addr)
	}
	for _, addr := range v.nextProbes() {
		if !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	return all
}

// nextProbes returns the addresses to probe in this round.
func (v *view) nextProbes() []netip.AddrPort {
	if !v.hasProbed && len(v.probeAddrs) > 0 {
		v.hasProbed = true
		return v.probeAddrs[:min(firstProbes, len(v.probeAddrs))]
	}
	n := 1
	if len(v.peers) == 0 {
		n = laterProbes
	}
	var all []netip.AddrPort
	for range n {
		if addr, ok := v.nextProbeAddr(); ok {
			all = append(all, addr)
		}
	}
	return all
}

// addrsNotGone returns the addresses of all peers that are not gone.
func (v *view) addrsNotGone() []netip.AddrPort {
	var all []netip.AddrPort
	for _, p := range v.sortedPeers() {
		if p.member.State != medlargw.MemberGone {
			all = append(all, p.member.Addr)
		}
	}
	return all
}

// sortedPeers returns the peers sorted by incarnation.
func (v *view) sortedPeers() []*peer {
	all := make([]*peer, 0, len(v.peers))
	for _, p := range v.peers {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *peer) int {
		return cmp.Compare(a.member.Incarnation, b.member.Incarnation)
	})
	return all
}

// nextRemotePeer returns the peer of another zone to send the next heartbeat
// to, or nil. It takes the zone whose last contact is the oldest, and in it the
// peer to which the last heartbeat is the oldest.
func (v *view) nextRemotePeer() *peer {
	lastContact := map[medlargw.ZoneName]time.Time{}
	var best *peer
	all := v.sortedPeers()
	for _, p := range all {
		if last := later(p.lastDirectMessage, p.lastSent); last.After(lastContact[p.member.Zone]) {
			lastContact[p.member.Zone] = last
		}
	}
	for _, p := range all {
		if p.member.Zone == v.self.Zone || p.member.State == medlargw.MemberGone {
			continue
		}
		if best == nil || cmp.Or(
			lastContact[p.member.Zone].Compare(lastContact[best.member.Zone]),
			p.lastSent.Compare(best.lastSent),
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

// nextProbeAddr returns the next address to probe at which no live member is
// known. Such addresses come from the settings and the host list, and from
// members that fell silent.
func (v *view) nextProbeAddr() (netip.AddrPort, bool) {
	for range v.probeAddrs {
		addr := v.probeAddrs[v.nextProbe%len(v.probeAddrs)]
		v.nextProbe++
		if addr != v.self.Addr && !v.isKnownAddr(addr) {
			return addr, true
		}
	}
	return netip.AddrPort{}, false
}

func (v *view) isKnownAddr(addr netip.AddrPort) bool {
	for _, p := range v.peers {
		alive := p.member.State != medlargw.MemberGone && p.member.State != medlargw.MemberSuspect
		if p.member.Addr == addr && alive {
			return true
		}
	}
	return false
}

// setProbeAddrs replaces the addresses to probe by the given ones, which come
// from the settings and the host list. It keeps those of members that are gone
// without a successor.
func (v *view) setProbeAddrs(addrs []netip.AddrPort) {
	v.probeAddrs = v.probeAddrs[:0]
	for _, addr := range addrs {
		if v.mayProbe(addr) {
			v.probeAddrs = append(v.probeAddrs, addr)
		}
	}
	for _, p := range v.sortedPeers() {
		if p.member.State == medlargw.MemberGone && p.member.Successor == "" {
			v.addProbeAddr(p.member.Addr)
		}
	}
}

// laggingAddrs returns the addresses of the peers of the zone whose
// configuration or host list is older than the digest's, and of one such peer
// in each other zone.
func (v *view) laggingAddrs(d *medlargw.Digest) []netip.AddrPort {
	zoneDone := map[medlargw.ZoneName]bool{}
	var all []netip.AddrPort
	for _, p := range v.sortedPeers() {
		lacks := p.digest.Generation < d.Generation || p.digest.HostsVersion < d.HostsVersion
		if !lacks || !p.member.CanOwn() || zoneDone[p.member.Zone] {
			continue
		}
		zoneDone[p.member.Zone] = p.member.Zone != v.self.Zone
		all = append(all, p.member.Addr)
	}
	return all
}
