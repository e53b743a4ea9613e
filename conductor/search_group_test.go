package conductor_test

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"medlargw.example/medlargw"
)

// leaving reports whether the entry is in a planned stop by its own group.
func (e *searchEntry) leaving() bool {
	return slices.ContainsFunc(e.group.Entries, func(p medlargw.Peer) bool { return p.Incarnation == e.peer.Incarnation && p.Leaving })
}

// beat sends a heartbeat to all other entries, and looks for silent ones.
func (e *searchEntry) beat() {
	switch {
	case e.stopped:
		return
	case e.frozen():
		e.w.at(e.frozenUntil.Add(time.Millisecond), e.beat)
		return
	}
	e.gossip()
	e.updateGroup()
	e.w.after(searchHeartbeat, e.beat)
}

// gossip tells all other entries that this one is alive, and whom it has heard.
func (e *searchEntry) gossip() {
	resources, peer, heard := e.resources, e.peer, slices.Clone(e.heard)
	resources.Clock = e.uptime(e.w.now)
	lag := e.gauger.Lag(e.w.now)
	var sightings []medlargw.Sighting
	for _, k := range heard {
		if e.w.indirect && !k.at.IsZero() {
			sightings = append(sightings, medlargw.Sighting{Incarnation: k.peer.Incarnation, Age: e.w.now.Sub(k.at)})
		}
	}
	for _, other := range e.w.entries {
		if other.host == e.host {
			continue
		}
		d, ok := e.w.transit(heartbeatMessage, e.host, other.host)
		if !ok {
			continue
		}
		e.w.after(d, func() {
			receiver := e.w.entry(other.host)
			if receiver == nil {
				return
			}
			receiver.post(func(now time.Time) {
				receiver.hear(peer, now)
				if e.w.indirect {
					for _, k := range heard {
						receiver.hear(k.peer, k.at)
					}
				}
				receiver.holder.HandleHeartbeat(now, peer.Incarnation, receiver.uptime(now), resources.Clock)
				receiver.coord.HandleHeartbeat(now, peer.Incarnation, lag, sightings)
				receiver.coord.SetFreeResources(now, peer.Incarnation, resources)
			})
			receiver.updateGroup()
		})
	}
}

// hear records that a peer was alive at a time. A new incarnation replaces the
// former one.
func (e *searchEntry) hear(peer medlargw.Peer, at time.Time) {
	if peer.Host == e.peer.Host {
		return
	}
	for i := range e.heard {
		k := &e.heard[i]
		switch {
		case k.peer.Host != peer.Host:
			continue
		case k.peer.Incarnation > peer.Incarnation:
			return
		case k.peer.Incarnation < peer.Incarnation:
			*k = heardEntry{peer: peer, at: at}
		case at.After(k.at) && !k.at.IsZero():
			k.at = at
			k.peer.Leaving = peer.Leaving
		}
		return
	}
	e.heard = append(e.heard, heardEntry{peer: peer, at: at})
}

// updateGroup passes on a group that has changed.
func (e *searchEntry) updateGroup() {
	g := medlargw.Group{Entries: []medlargw.Peer{e.peer}}
	for _, k := range e.heard {
		if !k.at.IsZero() && e.w.now.Sub(k.at) <= e.w.suspect {
			g.Entries = append(g.Entries, k.peer)
		}
	}
	if e.w.listed {
		for _, other := range e.w.entries {
			if !other.stopped {
				g.ListedEntries = append(g.ListedEntries, medlargw.Peer{Host: other.peer.Host, Zone: other.peer.Zone, Addr: other.peer.Addr})
			}
		}
	}
	for zone, until := range e.w.evacuated {
		if until.After(e.w.now) {
			g.Evacuated = append(g.Evacuated, zone)
		}
	}
	slices.Sort(g.Evacuated)
	// All lists are read at the same pace, each with its own lag.
	g.Targets = e.group.Targets
	if next := e.w.targetList(); len(g.Targets) == 0 || !slices.Equal(next, g.Targets) {
		if len(g.Targets) == 0 {
			g.Targets = next
		} else {
			e.w.after(e.listLag, func() { e.post(func(now time.Time) { e.setTargets(now, next) }) })
		}
	}
	if e.w.reports {
		e.readReports(g.Targets)
	}
	slices.SortFunc(g.Entries[1:], func(a, b medlargw.Peer) int { return int(a.Incarnation) - int(b.Incarnation) })
	key := groupKey(&g)
	if key == e.groupKey {
		return
	}
	e.groupKey = key
	e.w.log("%s has group %s", e.host, lazyString(func() string { return describeGroup(&g) }))
	e.post(func(now time.Time) { e.setGroup(now, g) })
}

// readReports tells the entry, with the lag of its list, when the targets have reported what
// the list shows.
func (e *searchEntry) readReports(targets []medlargw.Target) {
	reports := e.w.reportsOf(targets)
	if e.w.listUntil.After(e.w.now) {
		reports = e.w.lastReports
	}
	e.w.after(e.listLag, func() { e.post(func(now time.Time) { e.holder.SetReports(now, reports) }) })
}

func (e *searchEntry) setGroup(now time.Time, g medlargw.Group) {
	e.group = g
	e.holder.SetGroup(now, g)
	e.coord.SetGroup(now, g)
}

// setTargets replaces the targets of the group.
func (e *searchEntry) setTargets(now time.Time, all []medlargw.Target) {
	if slices.Equal(all, e.group.Targets) {
		return
	}
	g := e.group
	g.Targets = all
	e.setGroup(now, g)
}

// groupKey returns a string that differs between groups with other entries.
func groupKey(g *medlargw.Group) string {
	var b []byte
	for _, p := range g.Entries {
		b = strconv.AppendUint(b, uint64(p.Incarnation), 10)
		b = strconv.AppendBool(append(b, ' '), p.Leaving)
	}
	for _, p := range g.ListedEntries {
		b = append(append(b, ' '), p.Host...)
	}
	for _, zone := range g.Evacuated {
		b = append(append(b, " without "...), zone...)
	}
	return string(b)
}

func describeGroup(g *medlargw.Group) string {
	var s string
	for _, p := range g.Entries {
		s += fmt.Sprintf("%s/%d", p.Host, p.Incarnation)
		if p.Leaving {
			s += " (leaving)"
		}
		s += " "
	}
	return s
}

// setLeaving begins or takes back a planned stop.
func (e *searchEntry) setLeaving(leaving bool) {
	if e.stopped {
		return
	}
	e.w.log("%s leaving: %v", e.host, leaving)
	e.peer.Leaving = leaving
	e.updateGroup()
	e.gossip()
}

// stop ends the process. An entry that says so leaves the groups of the others at
// once.
func (e *searchEntry) stop(says bool) {
	if e.stopped {
		return
	}
	e.w.log("%s stops", e.host)
	e.stopped = true
	e.w.processes[e.host]++
	if says {
		for _, other := range e.w.running() {
			if d, ok := e.w.transit(heartbeatMessage, e.host, other.host); ok {
				e.w.after(d, func() {
					for i := range other.heard {
						if other.heard[i].peer.Incarnation == e.peer.Incarnation {
							other.heard[i].at = time.Time{}
						}
					}
					other.updateGroup()
				})
			}
		}
	}
	e.w.entryLost(e)
}

func describeTransfer(t *medlargw.Transfer) string {
	var s string
	for i := range t.Targets {
		t := &t.Targets[i]
		s += fmt.Sprintf("%s token %d acked %d runs", t.Name, t.FenceToken>>40, t.AckedSequence)
		for _, r := range t.Runs {
			s += fmt.Sprintf(" %v", r.Task.Run)
		}
		s += "; "
	}
	return s
}
