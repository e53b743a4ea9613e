package tracker

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlargw.example/medlargw"
)

// Bounds of the view.
const (
	maxRoundExchanges = 5   // Exchanges with peers of the zone in one round, started by either side.
	maxRoundRemote    = 12  // Heartbeats from one zone to the entries of others in one round, by all its entries.
	maxChangedMembers = 8   // Changed members that one heartbeat carries.
	maxPeers          = 512 // Incarnations of other entries that are stored.
	maxSightings      = 8   // Sightings that one heartbeat carries.
	missedHeartbeats  = 3   // Least number of lost heartbeats that makes a peer suspect.
)

// peer is what is known of one incarnation of another entry.
type peer struct {
	digest            medlargw.Digest // From its last heartbeat.
	member            medlargw.Member // LastHeard also counts what other entries told of it.
	lastDirectMessage time.Time       // Last message from the peer itself; zero if there was none.
	lastSent          time.Time       // Last heartbeat sent to it.
	lastSighting      time.Time       // Last message from it to another entry that told of it.
	lastDoubted       time.Time       // When another entry last told that it is suspect.
	verdict           medlargw.PeerVerdict
	stateChangedAt    time.Time // Last change of its state.
}

// view is the membership state machine of one entry. It does no I/O and takes
// the current time as an argument.
type view struct {
	settings      medlargw.GroupSettings
	goneRetention time.Duration // How long a gone incarnation is kept.
	self          medlargw.Member
	peers         map[medlargw.Incarnation]*peer
	probeAddrs    []netip.AddrPort // Addresses to send heartbeats to while no live member is known there.
	lastRemote    time.Time        // Last heartbeat to an entry of another zone.
	nextProbe     int              // Position in probeAddrs, modulo its length, of the next address.
	hasProbed     bool             // The first listed addresses were probed.
	lastTick      time.Time
	lag           time.Duration // How late this entry acts.
	maxLag        time.Duration // LeaseSettings.Lag.
	judgements    []judgement
	version       uint64 // Rises when a member is added, is removed or changes its state, and with each change of this entry's own member.
}

func newView(self medlargw.Member, settings medlargw.GroupSettings, retention time.Duration) *view {
	return &view{
		settings:      settings,
		goneRetention: max(retention, settings.Gone),
		self:          self,
		peers:         map[medlargw.Incarnation]*peer{},
		nextProbe:     int(self.Incarnation >> 33), // Differs between entries, so that not all probe the same address first.
	}
}

// setSelf changes this entry's own state and raises its state version.
func (v *view) setSelf(change func(m *medlargw.Member)) {
	before := v.self
	change(&v.self)
	if before != v.self {
		v.self.StateVersion++
		v.version++
	}
}

// applyMessage applies a message sent by the member itself: its own state, and
// the changed members that it reports.
func (v *view) applyMessage(now time.Time, from *medlargw.Member, changed []medlargw.Member) {
	if from.Incarnation == v.self.Incarnation {
		return
	}
	p := v.peers[from.Incarnation]
	switch {
	case p == nil:
		if p = v.add(now, from); p == nil {
			return
		}
		v.markOthersGone(now, from)
	case from.StateVersion < p.member.StateVersion:
		return // The message is older than the known state.
	default:
		v.update(now, p, from, from.State)
	}
	p.lastDirectMessage = now
	p.member.LastHeard = now
	for i := range changed {
		v.applyGossip(now, from, &changed[i])
	}
}

// add stores an incarnation that was unknown so far. It returns nil when the
// view is full or the member names no host.
func (v *view) add(now time.Time, m *medlargw.Member) *peer {
	if len(v.peers) >= maxPeers || m.Host == "" {
		return nil
	}
	p := &peer{member: *m, stateChangedAt: now}
	p.member.LastHeard = now
	v.peers[m.Incarnation] = p
	v.version++
	return p
}

// markOthersGone marks the other incarnations of the host as gone.
func (v *view) markOthersGone(now time.Time, m *medlargw.Member) {
	for _, p := range v.peers {
		if p.member.Host == m.Host && p.member.Incarnation != m.Incarnation {
			v.setState(now, p, medlargw.MemberGone)
		}
	}
}

// update replaces what is known of a member, apart from the time at which it
// was last heard of, and sets its state. The known capacity is kept if the message
// states none: an entry of an older build that reports of another leaves it out.
func (v *view) update(now time.Time, p *peer, m *medlargw.Member, state medlargw.MemberState) {
	before := p.member
	p.member = *m
	p.member.LastHeard = before.LastHeard
	p.member.State = before.State
	if m.Capacity == 0 {
		p.member.Capacity = before.Capacity
	}
	if p.member.Capacity != before.Capacity {
		v.version++
	}
	v.setState(now, p, state)
}

func (v *view) setState(now time.Time, p *peer, state medlargw.MemberState) {
	if p.member.State == state {
		return
	}
	p.member.State = state
	p.stateChangedAt = now
	v.version++
}

// applyGossip applies what one member reports about another.
func (v *view) applyGossip(now time.Time, from, m *medlargw.Member) {
	if m.Incarnation == v.self.Incarnation {
		v.refute(m)
		return
	}
	p := v.peers[m.Incarnation]
	if p == nil {
		v.addFromGossip(now, m)
		return
	}
	switch {
	case m.StateVersion > p.member.StateVersion:
		v.update(now, p, m, m.State)
	case m.StateVersion == p.member.StateVersion:
		v.mergeState(now, p, from, m)
	}
}

// mergeState applies another entry's view of a member when both entries know
// the same state version of that member.
func (v *view) mergeState(now time.Time, p *peer, from, m *medlargw.Member) {
	if p.member.Capacity == 0 && m.Capacity != 0 {
		p.member.Capacity = m.Capacity
		v.version++
	}
	ended := m.State == medlargw.MemberLeaving || m.State == medlargw.MemberGone
	if m.State == medlargw.MemberSuspect {
		p.lastDoubted = now
	}
	switch {
	case m.State == p.member.State:
		if from.Zone == m.Zone && m.Zone != v.self.Zone && !ended {
			p.member.LastHeard = now // Within this entry's zone, only direct messages count.
		}
	case p.member.State == medlargw.MemberGone || p.member.State == medlargw.MemberSuspect:
		if !ended {
			v.addProbeAddr(p.member.Addr)
		}
	case from.Zone == m.Zone && m.State >= medlargw.MemberSuspect && v.isSilent(now, p):
		v.setState(now, p, m.State)
	}
}

// confirmZone treats a heartbeat with the same view hash as a sign of life from
// all live members of the sender's zone, if that is another zone.
func (v *view) confirmZone(now time.Time, b *medlargw.Heartbeat) {
	if b.ViewHash != v.hash() {
		return
	}
	for _, p := range v.peers {
		if p.member.Zone == b.From.Zone && p.member.Zone != v.self.Zone && p.member.State == medlargw.MemberLive {
			p.member.LastHeard = now
		}
	}
}

// refute raises the state version when another entry takes this one for suspect
// or gone, so that this entry's own state is the newer one.
func (v *view) refute(m *medlargw.Member) {
	wrong := m.State == medlargw.MemberGone || m.State == medlargw.MemberSuspect
	if wrong && m.StateVersion >= v.self.StateVersion && v.self.State != medlargw.MemberGone {
		v.self.StateVersion = m.StateVersion + 1
		v.version++
	}
}

// addFromGossip adds a member that another entry reports. If this entry knows
// another incarnation of the same host that is not gone, it only schedules a
// heartbeat to the reported address: a direct message alone shows which
// incarnation is newer.
func (v *view) addFromGossip(now time.Time, m *medlargw.Member) {
	if m.State == medlargw.MemberGone && m.Successor == "" {
		return
	}
	for _, p := range v.peers {
		if p.member.Host == m.Host && p.member.State != medlargw.MemberGone {
			v.addProbeAddr(m.Addr)
			return
		}
	}
	if m.Host == v.self.Host {
		return
	}
	v.add(now, m)
}

// addProbeAddr schedules a heartbeat to the address, ahead of the other
// addresses to probe.
func (v *view) addProbeAddr(addr netip.AddrPort) {
	if v.mayProbe(addr) {
		v.probeAddrs = slices.Insert(v.probeAddrs, v.nextProbe%(len(v.probeAddrs)+1), addr)
	}
}

// mayProbe reports whether the address can be added to those to probe.
func (v *view) mayProbe(addr netip.AddrPort) bool {
	return addr.IsValid() && addr != v.self.Addr && !slices.Contains(v.probeAddrs, addr) && len(v.probeAddrs) < maxPeers
}

// tick updates the states of members that are silent. A pause of this process
// is not counted as silence of its peers.
func (v *view) tick(now time.Time) {
	if gap := now.Sub(v.lastTick) - 2*v.settings.Beat; !v.lastTick.IsZero() && gap > 0 {
		for _, p := range v.peers {
			p.member.LastHeard = p.member.LastHeard.Add(gap)
		}
	}
	v.lastTick = now
	for incarnation, p := range v.peers {
		silence := now.Sub(later(p.member.LastHeard, p.lastSighting))
		verdict := v.judge(now, p)
		v.recordVerdict(now, p, verdict)
		switch {
		case p.member.State == medlargw.MemberGone:
			if silence > v.goneRetention {
				delete(v.peers, incarnation)
				v.version++
			}
		case verdict != medlargw.PeerLost:
		case silence-min(v.lag, v.maxLag) > v.suspectTimeout(p.member.Zone)+v.settings.Gone-v.settings.Suspect:
			v.setState(now, p, medlargw.MemberGone)
		case p.member.State != medlargw.MemberLeaving:
			v.setState(now, p, medlargw.MemberSuspect)
		}
	}
}

// heartbeatPeriod returns the time between two exchanges with one peer of the
// zone. It grows with the size of the zone, which bounds the cost for one entry.
// One of the two peers starts an exchange.
func (v *view) heartbeatPeriod() time.Duration {
	return max(v.settings.Beat, v.settings.Beat*time.Duration(v.zonePeers())/maxRoundExchanges)
}

// remotePeriod returns the time between two heartbeats of this entry to entries
// of other zones. The entries of a large zone share the contact with other zones.
func (v *view) remotePeriod() time.Duration {
	return max(v.settings.Beat, v.settings.Beat*time.Duration(1+v.zonePeers())/maxRoundRemote)
}

// zonePeers returns the number of peers of the zone that are not gone.
func (v *view) zonePeers() int {
	n := 0
	for _, p := range v.peers {
		if p.member.Zone == v.self.Zone && p.member.State != medlargw.MemberGone {
			n++
		}
	}
	return n
}

// suspectTimeout returns the silence after which a member of the given zone is
// suspect.
func (v *view) suspectTimeout(zone medlargw.ZoneName) time.Duration {
	if zone == v.self.Zone {
		return max(v.settings.Suspect, missedHeartbeats*v.heartbeatPeriod())
	}
	return v.settings.Suspect + missedHeartbeats*v.remotePeriod()*time.Duration(len(v.otherZones()))
}

// otherZones returns the names of the other zones, sorted.
func (v *view) otherZones() []medlargw.ZoneName {
	var all []medlargw.ZoneName
	for _, p := range v.peers {
		if p.member.Zone != v.self.Zone && p.member.State != medlargw.MemberGone {
			all = append(all, p.member.Zone)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// members returns this entry, followed by its peers sorted by host and
// incarnation.
func (v *view) members() []medlargw.Member {
	all := make([]medlargw.Member, 0, 1+len(v.peers))
	all = append(all, v.self)
	for _, p := range v.peers {
		all = append(all, p.member)
	}
	slices.SortFunc(all[1:], func(a, b medlargw.Member) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return all
}

// recentChanges returns the members whose state changed recently, the newest
// first.
func (v *view) recentChanges(now time.Time) []medlargw.Member {
	var all []*peer
	for _, p := range v.peers {
		if now.Sub(p.stateChangedAt) <= 2*missedHeartbeats*v.settings.Beat {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *peer) int {
		return cmp.Or(b.stateChangedAt.Compare(a.stateChangedAt), cmp.Compare(a.member.Incarnation, b.member.Incarnation))
	})
	var changed []medlargw.Member
	for _, p := range all[:min(len(all), maxChangedMembers)] {
		changed = append(changed, p.member)
	}
	return changed
}

// hash returns a hash of the view. A suspect member counts like a live one,
// since suspicion is local to this entry; a gone member does not count. The
// hash is a sum, which does not depend on the order, so the members need not be
// sorted.
func (v *view) hash() uint64 {
	sum := memberHash(&v.self)
	for _, p := range v.peers {
		sum += memberHash(&p.member)
	}
	return sum
}

func memberHash(m *medlargw.Member) uint64 {
	if m.State == medlargw.MemberGone {
		return 0
	}
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(m.Incarnation))
	binary.LittleEndian.PutUint64(buf[8:], m.StateVersion)
	return xxhash.Sum64(buf[:])
}
