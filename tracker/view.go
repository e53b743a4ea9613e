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
	maxExchanges = 6   // Heartbeats to peers of the zone that one turn should not exceed.
	maxChanged   = 8   // Members whose change one heartbeat tells.
	maxPeers     = 512 // Incarnations that are remembered.
	missedBeats  = 3   // Lost heartbeats after which a peer is suspect, at least.
)

// peer is what is known of one incarnation of another entry.
type peer struct {
	digest  medlargw.Digest // Of its last heartbeat.
	member  medlargw.Member // Since is the last word of it, direct or not.
	heard   time.Time       // Last direct message; zero is never.
	tried   time.Time       // Last heartbeat to it.
	changed time.Time       // Last change of its state.
}

// view is the state machine of the membership of one entry. It has no I/O; the
// time is an argument.
type view struct {
	settings medlargw.GroupSettings
	keep     time.Duration // How long a gone incarnation is remembered.
	self     medlargw.Member
	peers    map[medlargw.Incarnation]*peer
	greet    []netip.AddrPort // Addresses to greet until they are known.
	greeted  int              // Position of the next address to greet.
	ticked   time.Time
	version  uint64 // Rises with each change of a state.
}

func newView(self medlargw.Member, settings medlargw.GroupSettings, keep time.Duration) *view {
	return &view{
		settings: settings,
		keep:     max(keep, settings.Gone),
		self:     self,
		peers:    map[medlargw.Incarnation]*peer{},
	}
}

// setSelf changes this entry's own state and raises its counter.
func (v *view) setSelf(change func(m *medlargw.Member)) {
	before := v.self
	change(&v.self)
	if before != v.self {
		v.self.Counter++
		v.version++
	}
}

// hear takes a message that came from the member itself.
func (v *view) hear(now time.Time, from *medlargw.Member, changed []medlargw.Member) {
	if from.Incarnation == v.self.Incarnation {
		return
	}
	p := v.peers[from.Incarnation]
	switch {
	case p == nil:
		if p = v.add(now, from); p == nil {
			return
		}
		v.replace(now, from)
	case from.Counter < p.member.Counter:
		return // It was sent before what is known.
	default:
		v.update(now, p, from, from.State)
	}
	p.heard = now
	p.member.Since = now
	for i := range changed {
		v.hearsay(now, from, &changed[i])
	}
}

// add remembers an incarnation that is new here, or returns nil for want of
// room.
func (v *view) add(now time.Time, m *medlargw.Member) *peer {
	if len(v.peers) >= maxPeers || m.Host == "" {
		return nil
	}
	p := &peer{member: *m, changed: now}
	p.member.Since = now
	v.peers[m.Incarnation] = p
	v.version++
	return p
}

// replace marks the other incarnations of the host as gone.
func (v *view) replace(now time.Time, m *medlargw.Member) {
	for _, p := range v.peers {
		if p.member.Host == m.Host && p.member.Incarnation != m.Incarnation {
			v.setState(now, p, medlargw.MemberGone)
		}
	}
}

// update takes a member's word of itself.
func (v *view) update(now time.Time, p *peer, m *medlargw.Member, state medlargw.MemberState) {
	since := p.member.Since
	before := p.member.State
	p.member = *m
	p.member.Since = since
	p.member.State = before
	v.setState(now, p, state)
}

func (v *view) setState(now time.Time, p *peer, state medlargw.MemberState) {
	if p.member.State == state {
		return
	}
	p.member.State = state
	p.changed = now
	v.version++
}

// hearsay takes what one member says of another.
func (v *view) hearsay(now time.Time, from, m *medlargw.Member) {
	if m.Incarnation == v.self.Incarnation {
		v.refute(m)
		return
	}
	p := v.peers[m.Incarnation]
	if p == nil {
		v.meet(now, m)
		return
	}
	switch {
	case m.Counter > p.member.Counter:
		v.update(now, p, m, m.State)
	case m.Counter == p.member.Counter:
		v.compare(now, p, from, m)
	}
}

// compare takes another's opinion of a member of which both have the same word.
func (v *view) compare(now time.Time, p *peer, from, m *medlargw.Member) {
	ended := m.State == medlargw.MemberLeaving || m.State == medlargw.MemberGone
	silent := now.Sub(p.heard) > v.settings.Suspect
	switch {
	case m.State == p.member.State:
		if from.Zone == m.Zone && m.Zone != v.self.Zone && !ended {
			p.member.Since = now // In the own zone only its own word counts.
		}
	case p.member.State == medlargw.MemberGone || p.member.State == medlargw.MemberSuspect:
		if !ended {
			v.greetLater(p.member.Addr)
		}
	case from.Zone == m.Zone && silent && m.State >= medlargw.MemberSuspect:
		v.setState(now, p, m.State)
	}
}

// agree takes an equal view for a word on all members of the sender's zone.
func (v *view) agree(now time.Time, b *medlargw.Beat) {
	if b.View != v.hash() {
		return
	}
	for _, p := range v.peers {
		if p.member.Zone == b.From.Zone && p.member.Zone != v.self.Zone && p.member.State == medlargw.MemberLive {
			p.member.Since = now
		}
	}
}

// refute raises the counter when another entry holds this one for dead, so
// that its own word is newer.
func (v *view) refute(m *medlargw.Member) {
	wrong := m.State == medlargw.MemberGone || m.State == medlargw.MemberSuspect
	if wrong && m.Counter >= v.self.Counter && v.self.State != medlargw.MemberGone {
		v.self.Counter = m.Counter + 1
		v.version++
	}
}

// meet remembers a member that another one knows. When this entry knows a
// living incarnation of the same host, only a greeting can tell which is newer.
func (v *view) meet(now time.Time, m *medlargw.Member) {
	if m.State == medlargw.MemberGone && m.Successor == "" {
		return
	}
	for _, p := range v.peers {
		if p.member.Host == m.Host && p.member.State != medlargw.MemberGone {
			v.greetLater(m.Addr)
			return
		}
	}
	if m.Host == v.self.Host {
		return
	}
	v.add(now, m)
}

// greetLater puts an address among those to greet first.
func (v *view) greetLater(addr netip.AddrPort) {
	if addr.IsValid() && addr != v.self.Addr && !slices.Contains(v.greet, addr) && len(v.greet) < maxPeers {
		v.greet = slices.Insert(v.greet, v.greeted%(len(v.greet)+1), addr)
	}
}

// tick moves the states of silent members on. A pause of this process is not
// taken for the peers' silence.
func (v *view) tick(now time.Time) {
	if gap := now.Sub(v.ticked) - 2*v.settings.Beat; !v.ticked.IsZero() && gap > 0 {
		for _, p := range v.peers {
			p.member.Since = p.member.Since.Add(gap)
		}
	}
	v.ticked = now
	for incarnation, p := range v.peers {
		silence := now.Sub(p.member.Since)
		suspect := v.suspectAfter(p.member.Zone)
		switch {
		case p.member.State == medlargw.MemberGone:
			if silence > v.keep {
				delete(v.peers, incarnation)
				v.version++
			}
		case silence > suspect+v.settings.Gone-v.settings.Suspect:
			v.setState(now, p, medlargw.MemberGone)
		case silence > suspect && p.member.State != medlargw.MemberLeaving:
			v.setState(now, p, medlargw.MemberSuspect)
		}
	}
}

// period returns the time between two heartbeats to one peer of the zone. It
// stretches with the size of the zone, which bounds the cost of an entry.
func (v *view) period() time.Duration {
	n := 0
	for _, p := range v.peers {
		if p.member.Zone == v.self.Zone && p.member.State != medlargw.MemberGone {
			n++
		}
	}
	return v.settings.Beat * time.Duration(1+n/(maxExchanges+1))
}

// suspectAfter returns the silence after which a member of the zone is suspect.
func (v *view) suspectAfter(zone medlargw.ZoneName) time.Duration {
	if zone == v.self.Zone {
		return max(v.settings.Suspect, missedBeats*v.period())
	}
	return v.settings.Suspect + missedBeats*v.settings.Beat*time.Duration(len(v.zones()))
}

// zones returns the other zones, in order.
func (v *view) zones() []medlargw.ZoneName {
	var all []medlargw.ZoneName
	for _, p := range v.peers {
		if p.member.Zone != v.self.Zone && p.member.State != medlargw.MemberGone {
			all = append(all, p.member.Zone)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// members returns this entry and its peers, in order of host and incarnation.
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

// recent returns the members whose state changed lately, the newest first.
func (v *view) recent(now time.Time) []medlargw.Member {
	var all []*peer
	for _, p := range v.peers {
		if now.Sub(p.changed) <= 2*missedBeats*v.settings.Beat {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *peer) int {
		return cmp.Or(b.changed.Compare(a.changed), cmp.Compare(a.member.Incarnation, b.member.Incarnation))
	})
	var recent []medlargw.Member
	for _, p := range all[:min(len(all), maxChanged)] {
		recent = append(recent, p.member)
	}
	return recent
}

// hash sums up the view. A suspect member counts as live, since suspicion is
// this entry's opinion alone; a gone one does not count. The sum does not depend
// on the order, so that the members need not be sorted.
func (v *view) hash() uint64 {
	sum := hashOf(&v.self)
	for _, p := range v.peers {
		sum += hashOf(&p.member)
	}
	return sum
}

func hashOf(m *medlargw.Member) uint64 {
	if m.State == medlargw.MemberGone {
		return 0
	}
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(m.Incarnation))
	binary.LittleEndian.PutUint64(buf[8:], m.Counter)
	return xxhash.Sum64(buf[:])
}
