package holder

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlargw.example/medlargw"
)

// transferWait is the time that a new owner gives a live former one to hand a
// target over before it claims the target itself.
const transferWait = 600 * time.Millisecond

// meetTime is the time after its start in which an entry claims nothing: others
// that started with it have then been heard of.
const meetTime = 300 * time.Millisecond

// settleTime is the time after its start in which an entry claims no targets of
// other zones: their own entries may be starting too.
const settleTime = 2 * time.Second

// Assign takes the hosts that act together: it claims the targets that this
// entry owns now, and releases those that another one owns.
func (h *Holder) Assign(now time.Time, g medlargw.Group) {
	h.group = g
	h.assigned = now
	if h.began.IsZero() {
		h.began = now
	}
	before := h.candidates
	h.candidates = candidatesOf(&g)
	listed := make(map[medlargw.TargetName]bool, len(g.Targets))
	for i := range g.Targets {
		info := &g.Targets[i]
		listed[info.Name] = true
		h.assignTarget(now, info, h.candidates.same(&before, info.Zone))
	}
	for _, t := range h.order {
		if !listed[t.info.Name] && t.unlisted.IsZero() {
			t.unlisted = now
		}
	}
	for name := range h.owners {
		if !listed[name] {
			delete(h.owners, name)
		}
	}
}

// assignTarget claims or releases a target. When its zone has the same entries
// as before, it has the same owner.
func (h *Holder) assignTarget(now time.Time, info *medlargw.Target, same bool) {
	before, known := h.owners[info.Name]
	owner, found := before, known
	if !same || !known || before.Zone != info.Zone {
		owner, found = h.owner(now, info)
		h.owners[info.Name] = owner
	}
	t := h.targets[info.Name]
	if t != nil {
		t.update(*info)
	}
	switch {
	case found && owner.Incarnation == h.self.Incarnation:
		if t == nil {
			t = newTarget(*info)
			t.nextRenew = now.Add(max(h.claimDelay(before.Incarnation, known), h.began.Add(meetTime).Sub(now)))
			h.add(t)
		}
		t.releasing = false
	case t != nil && found:
		t.releasing = true
		t.releaseTo = owner
	}
}

// claimDelay returns how long to wait for a transfer by the former owner.
func (h *Holder) claimDelay(before medlargw.Incarnation, known bool) time.Duration {
	for i := range h.group.Entries {
		e := &h.group.Entries[i]
		if e.Incarnation == h.self.Incarnation {
			continue
		}
		if !known || e.Incarnation == before {
			return transferWait
		}
	}
	return 0
}

// owner returns the entry that shall hold the target: of its zone, or of any
// zone when that one has none.
func (h *Holder) owner(now time.Time, t *medlargw.Target) (medlargw.Peer, bool) {
	if p, ok := rendezvous(t.Name, h.candidates.inside[t.Zone]); ok {
		return p, true
	}
	if !h.candidates.leaving[t.Zone] && now.Sub(h.began) < settleTime {
		return medlargw.Peer{}, false
	}
	return rendezvous(t.Name, h.candidates.all)
}

// candidates are the entries that may hold targets.
type candidates struct {
	inside  map[medlargw.ZoneName][]medlargw.Peer // Of the targets of a zone.
	all     []medlargw.Peer                       // When a zone has none.
	leaving map[medlargw.ZoneName]bool            // Zones with entries in a planned stop.
}

// candidatesOf returns the entries of a group that may hold targets. An entry
// that is silent but has a lease at the platform still counts in its zone: it
// may be cut off from here alone.
func candidatesOf(g *medlargw.Group) candidates {
	c := candidates{inside: map[medlargw.ZoneName][]medlargw.Peer{}, leaving: map[medlargw.ZoneName]bool{}}
	known := make(map[medlargw.HostName]bool, len(g.Entries))
	for _, p := range g.Entries {
		known[p.Host] = true
		if p.Leaving {
			c.leaving[p.Zone] = true
			continue
		}
		c.all = append(c.all, p)
		c.inside[p.Zone] = append(c.inside[p.Zone], p)
	}
	for _, p := range g.Listed {
		if !known[p.Host] {
			c.inside[p.Zone] = append(c.inside[p.Zone], p)
		}
	}
	return c
}

// same reports whether a zone has entries, and the same as before.
func (c *candidates) same(before *candidates, zone medlargw.ZoneName) bool {
	return len(c.inside[zone]) > 0 && slices.Equal(c.inside[zone], before.inside[zone])
}

// rendezvous returns the candidate with the highest hash of host and target.
func rendezvous(target medlargw.TargetName, all []medlargw.Peer) (medlargw.Peer, bool) {
	var best medlargw.Peer
	var highest uint64
	for _, p := range all {
		if score := xxhash.Sum64String(string(target) + "/" + string(p.Host)); score >= highest {
			best, highest = p, score
		}
	}
	return best, len(all) > 0
}
