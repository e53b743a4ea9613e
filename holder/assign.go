package holder

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/apportioner"
)

// transferWait is the time that a new owner waits for the transfer of a target
// from its live former owner before it claims the target itself.
const transferWait = 600 * time.Millisecond

// settleTime is the time after the first assignment in which an entry claims no
// targets of other zones, because the entries there may still be starting.
const settleTime = 2 * time.Second

// lapsedRetention is the time for which the owner of a target that has left the host
// list is kept.
const lapsedRetention = 10 * time.Second

// SetGroup handles a change of the group: it claims the targets that this entry
// owns now, and releases those that another entry owns.
func (h *Holder) SetGroup(now time.Time, g medlargw.Group) {
	h.group = g
	h.lastAssigned = now
	h.evacuated = map[medlargw.ZoneName]bool{}
	for _, zone := range g.Evacuated {
		h.evacuated[zone] = true
	}
	if h.firstAssigned.IsZero() {
		h.firstAssigned = now
	}
	h.discoverer.Update(now, &g)
	before := h.candidates
	h.candidates = candidatesOf(&g, h.discoverer.Silent(now))
	h.isolator.Update(now, g.Targets)
	former := h.apportion(&g, &before)
	listed := make(map[medlargw.TargetName]bool, len(g.Targets))
	for i := range g.Targets {
		info := &g.Targets[i]
		listed[info.Name] = true
		h.assignTarget(now, info, former)
	}
	for _, t := range h.sorted {
		if !listed[t.info.Name] && t.unlistedSince.IsZero() {
			t.unlistedSince = now
		}
		t.isolated = h.isolator.IsIsolated(t.info.Addr)
	}
	h.forgetOwners(now, listed)
	h.applyEvacuations(now)
	h.claimOwned(now)
}

// forgetOwners forgets the owners of targets that have left the host list for a while.
// An entry that lapses may come back, and its owner still hold the target.
func (h *Holder) forgetOwners(now time.Time, listed map[medlargw.TargetName]bool) {
	for name := range h.owners {
		since, lapsed := h.lapsed[name]
		switch {
		case listed[name]:
			delete(h.lapsed, name)
		case !lapsed:
			h.lapsed[name] = now
		case now.Sub(since) > lapsedRetention:
			delete(h.owners, name)
			delete(h.lapsed, name)
		}
	}
}

// applyEvacuations takes the targets of the evacuated zones out of use for new
// runs, and puts the others back. What runs there goes on. Tasks that wait for
// targets of evacuated zones alone are returned at once.
func (h *Holder) applyEvacuations(now time.Time) {
	changed := false
	for _, t := range h.sorted {
		if evacuated := h.evacuated[t.info.Zone]; evacuated != t.evacuated {
			t.evacuated = evacuated
			changed = true
		}
	}
	if changed {
		h.returnUnserved(now)
		h.place(now)
	}
}

// apportion divides the targets among the candidates, in the zones whose owners
// this entry needs. It returns the former division of the zones that have lost all
// entries since the last assignment, given the candidates of that.
func (h *Holder) apportion(g *medlargw.Group, before *candidates) *apportioner.Apportioner {
	needed := map[medlargw.ZoneName]bool{h.self.Zone: true}
	for _, t := range h.sorted {
		needed[t.info.Zone] = true
	}
	byZone := map[medlargw.ZoneName][]medlargw.TargetName{}
	for i := range g.Targets {
		info := &g.Targets[i]
		if needed[info.Zone] || len(h.candidates.byZone[info.Zone]) == 0 {
			byZone[info.Zone] = append(byZone[info.Zone], info.Name)
		}
	}
	former := apportioner.New()
	for zone, targets := range byZone {
		entries := h.candidates.byZone[zone]
		if len(entries) == 0 {
			entries = h.candidates.all
			if zone != h.self.Zone && len(before.byZone[zone]) > 0 {
				former.Update(zone, targets, before.byZone[zone])
			}
		}
		h.apportioner.Update(zone, targets, entries)
	}
	h.apportioner.Retain(func(zone medlargw.ZoneName) bool { return len(byZone[zone]) > 0 })
	return former
}

// Share returns this entry's share of the targets of its zone.
func (h *Holder) Share() medlargw.TargetShare {
	return h.apportioner.Share(h.self.Zone, h.self.Incarnation)
}

// assignTarget claims or releases a target, given the former division of zones
// that have lost all entries.
func (h *Holder) assignTarget(now time.Time, info *medlargw.Target, formerZones *apportioner.Apportioner) {
	t := h.targets[info.Name]
	if t != nil {
		if !t.isCold(now) && now.Before(info.ColdUntil) {
			h.log.Info("target is cold", zap.String("target", string(info.Name)), zap.Duration("left", info.ColdUntil.Sub(now)))
		}
		t.update(*info)
	}
	if t == nil && info.Zone != h.self.Zone && len(h.candidates.byZone[info.Zone]) > 0 {
		delete(h.owners, info.Name)
		return // An entry of its zone owns it.
	}
	former, known := h.owners[info.Name]
	if !known {
		// The owners of targets of other zones are not stored while those zones have
		// entries.
		former, known = formerZones.Owner(info.Zone, info.Name)
	}
	owner, found := h.owner(now, info)
	h.owners[info.Name] = owner
	switch {
	case found && owner.Incarnation == h.self.Incarnation:
		if t == nil {
			t = h.addOwned(now, info, former.Incarnation, known)
		}
		t.releasing = false
	case t != nil && found:
		t.releasing = true
		t.releaseTo = owner
	}
}

// addOwned adds a target that this entry owns now, and schedules its claim, given the
// former owner if that is known.
func (h *Holder) addOwned(now time.Time, info *medlargw.Target, former medlargw.Incarnation, known bool) *target {
	t := h.newTarget(*info)
	wait := h.claimDelay(former, known)
	t.unheld = known && wait == 0
	if !known && h.knowsZone(now, info.Zone) {
		wait = 0 // The target is new: it has no holder that could transfer it.
	}
	t.nextRenew = now.Add(max(wait, h.discoverer.EarliestClaim().Sub(now)))
	h.addTarget(now, t)
	return t
}

// HandleHeartbeat handles a sign of life of a peer, given the time since the peer's
// start and since that of this entry. A peer that started well before this entry may
// hold the targets that this entry owns now, and transfers them once it knows of this
// entry. Claims that were due before this entry heard of such a peer wait for that.
func (h *Holder) HandleHeartbeat(now time.Time, from medlargw.Incarnation, uptime, peerUptime time.Duration) {
	h.discoverer.Hear(now, from, uptime, peerUptime)
	if h.postponedClaims || !h.discoverer.HasOlderPeer() {
		h.claimOwned(now)
		return
	}
	h.postponedClaims = true
	if !h.firstAssigned.IsZero() {
		h.SetGroup(now, h.group) // Without the entries that only count while none has run for long.
	}
	earliest := now.Add(transferWait)
	for _, t := range h.sorted {
		if !t.claimed && !t.renewing && t.nextRenew.Before(earliest) {
			t.nextRenew = earliest
		}
	}
}

// claimOwned claims the targets of this entry's zone once it is known that no living
// entry holds them.
func (h *Holder) claimOwned(now time.Time) {
	if h.claimedOwned || h.postponedClaims || !h.discoverer.IsComplete() {
		return
	}
	h.claimedOwned = true
	h.log.Info("claiming targets", zap.Duration("after", now.Sub(h.firstAssigned)), zap.Int("targets", len(h.sorted)))
	for _, t := range h.sorted {
		if t.info.Zone == h.self.Zone && t.awaitsClaim() {
			t.unheld = true
			h.renew(now, t)
		}
	}
}

// knowsZone reports whether this entry knows the owners of the targets of a zone
// well enough.
func (h *Holder) knowsZone(now time.Time, zone medlargw.ZoneName) bool {
	return zone == h.self.Zone && (now.Sub(h.firstAssigned) >= settleTime || h.discoverer.IsComplete())
}

// claimDelay returns how long to wait for a transfer by the former owner. If
// the former owner is unknown, it may be any other entry of the group.
func (h *Holder) claimDelay(former medlargw.Incarnation, known bool) time.Duration {
	for i := range h.group.Entries {
		e := &h.group.Entries[i]
		if e.Incarnation == h.self.Incarnation {
			continue
		}
		if !known || e.Incarnation == former {
			return transferWait
		}
	}
	return 0
}

// owner returns the entry that should hold the target: an entry of its zone, or
// of any zone when that zone has none.
func (h *Holder) owner(now time.Time, t *medlargw.Target) (medlargw.Peer, bool) {
	settled := h.candidates.leaving[t.Zone] || now.Sub(h.firstAssigned) >= settleTime
	if len(h.candidates.byZone[t.Zone]) == 0 && !settled {
		return medlargw.Peer{}, false
	}
	return h.apportioner.Owner(t.Zone, t.Name)
}

// candidates are the entries that may hold targets.
type candidates struct {
	byZone  map[medlargw.ZoneName][]medlargw.Peer // For the targets of a zone.
	all     []medlargw.Peer                       // For the targets of zones without entries.
	leaving map[medlargw.ZoneName]bool            // Zones with entries in a planned stop.
}

// candidatesOf returns the entries of a group that may hold targets. An entry
// that is silent but still has a lease at the platform counts in its zone: it
// may be unreachable from this entry only. So do the given silent entries.
func candidatesOf(g *medlargw.Group, silent []medlargw.Peer) candidates {
	c := candidates{byZone: map[medlargw.ZoneName][]medlargw.Peer{}, leaving: map[medlargw.ZoneName]bool{}}
	known := make(map[medlargw.HostName]bool, len(g.Entries))
	for _, p := range g.Entries {
		known[p.Host] = true
		if p.Leaving {
			c.leaving[p.Zone] = true
			continue
		}
		c.all = append(c.all, p)
		c.byZone[p.Zone] = append(c.byZone[p.Zone], p)
	}
	for _, p := range slices.Concat(g.ListedEntries, silent) {
		if !known[p.Host] {
			known[p.Host] = true
			c.byZone[p.Zone] = append(c.byZone[p.Zone], p)
		}
	}
	return c
}
