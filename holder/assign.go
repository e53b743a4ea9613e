package holder

import (
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
	listed := make(map[medlargw.TargetName]bool, len(g.Targets))
	for i := range g.Targets {
		info := &g.Targets[i]
		listed[info.Name] = true
		h.assignTarget(now, info)
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

func (h *Holder) assignTarget(now time.Time, info *medlargw.Target) {
	owner, found := h.owner(now, info)
	before, known := h.owners[info.Name]
	h.owners[info.Name] = owner.Incarnation
	t := h.targets[info.Name]
	if t != nil {
		t.update(*info)
	}
	switch {
	case found && owner.Incarnation == h.self.Incarnation:
		if t == nil {
			t = newTarget(*info)
			t.nextRenew = now.Add(max(h.claimDelay(before, known), h.began.Add(meetTime).Sub(now)))
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
	if p, ok := rendezvous(t.Name, h.candidates(t.Zone, true)); ok {
		return p, true
	}
	if !h.leavingZone(t.Zone) && now.Sub(h.began) < settleTime {
		return medlargw.Peer{}, false
	}
	return rendezvous(t.Name, h.candidates(t.Zone, false))
}

// leavingZone reports whether entries of the zone are in a planned stop.
func (h *Holder) leavingZone(zone medlargw.ZoneName) bool {
	for _, p := range h.group.Entries {
		if p.Zone == zone && p.Leaving {
			return true
		}
	}
	return false
}

// candidates returns the entries that may hold targets of the zone. An entry
// that is silent but has a lease at the platform still counts in its zone: it
// may be cut off from here alone.
func (h *Holder) candidates(zone medlargw.ZoneName, inside bool) []medlargw.Peer {
	var all []medlargw.Peer
	known := map[medlargw.HostName]bool{}
	for _, p := range h.group.Entries {
		known[p.Host] = true
		if !p.Leaving && (!inside || p.Zone == zone) {
			all = append(all, p)
		}
	}
	if !inside {
		return all
	}
	for _, p := range h.group.Listed {
		if !known[p.Host] && p.Zone == zone {
			all = append(all, p)
		}
	}
	return all
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
