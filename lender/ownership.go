package lender

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"medlargw.example/medlargw"
)

// maxUnits bounds the units that one team's limit is cut into.
const maxUnits = 1000

// Heard takes what a peer last said of itself.
func (l *Lender) Heard(now time.Time, from medlargw.HostName, d medlargw.Digest) {
	if c := l.creditors[from]; c != nil {
		c.digest = d
		c.heardAt = now
	}
}

// SetGroup derives who owns what.
func (l *Lender) SetGroup(now time.Time, g *medlargw.Group) {
	l.group = *g
	l.setCreditors(now)
	l.setView()
	l.setOwners()
	l.setTargets(now)
	l.setUnits(now)
	l.recall(now)
}

// Configure sets the limits of the teams.
func (l *Lender) Configure(now time.Time, cfg *medlargw.Config) {
	l.config = cfg
	l.setOwners()
	l.setUnits(now)
	l.recall(now)
}

// setView hashes the entries of the zone. When that changes, each of them is
// told what this entry uses of its resources.
func (l *Lender) setView() {
	var text []byte
	entries := slices.Clone(l.group.Entries)
	slices.SortFunc(entries, func(a, b medlargw.Peer) int { return cmp.Compare(a.Host, b.Host) })
	for _, e := range entries {
		if e.Zone == l.zone {
			text = fmt.Appendf(text, "%s\x00%d\x00%t\x00", e.Host, e.Incarnation, e.Leaving)
		}
	}
	view := xxhash.Sum64(text)
	if view == l.view {
		return
	}
	l.view = view
	for _, c := range l.creditors {
		c.report = c.peer.Zone == l.zone
		c.reportAt = time.Time{}
	}
}

// setOwners hashes each target onto the entries of its zone, and each team
// with a limit onto the entries of the zone that has units for this one.
func (l *Lender) setOwners() {
	rings := l.rings()
	clear(l.owners)
	clear(l.targets)
	l.zoneSlots = 0
	for _, t := range l.group.Targets {
		l.targets[t.Name] = t
		if ring := rings[t.Zone]; ring != nil {
			l.owners[targetKey(t.Name)] = medlargw.HostName(ring.Lookup(string(t.Name)))
		}
		if t.Zone == l.zone && !t.Leaving {
			l.zoneSlots += t.Slots
		}
	}
	zones := l.zones()
	for _, t := range l.config.Teams {
		if unitsOf(t.Limit) == 0 {
			continue
		}
		if ring := rings[keeperZone(unitsOf(t.Limit), t.Name, l.zone, zones)]; ring != nil {
			l.owners[teamKey(t.Name)] = medlargw.HostName(ring.Lookup(string(t.Name)))
		}
	}
}

func (l *Lender) rings() map[medlargw.ZoneName]*rendezvous.Rendezvous {
	names := map[medlargw.ZoneName][]string{}
	for _, e := range l.group.Entries {
		if e.Leaving {
			continue
		}
		names[e.Zone] = append(names[e.Zone], string(e.Host))
	}
	rings := map[medlargw.ZoneName]*rendezvous.Rendezvous{}
	for zone, hosts := range names {
		slices.Sort(hosts)
		rings[zone] = rendezvous.New(hosts, xxhash.Sum64String)
	}
	return rings
}

func (l *Lender) setTargets(now time.Time) {
	totals := map[string]medlargw.Capacity{}
	for _, t := range l.group.Targets {
		if l.owners[targetKey(t.Name)] == l.host {
			totals[string(t.Name)] = medlargw.Capacity{Target: t, Slots: t.Slots}
		}
	}
	l.pools[slotPool].keep(totals, now.Add(l.settling()))
}

func (l *Lender) setUnits(now time.Time) {
	zones := l.zones()
	kept := map[key]bool{slotPool: true}
	for _, t := range l.config.Teams {
		k := teamKey(t.Name)
		share := zoneShare(unitsOf(t.Limit), t.Name, l.zone, zones)
		if share == 0 || l.owners[k] != l.host {
			continue
		}
		kept[k] = true
		if l.pools[k] == nil {
			l.pools[k] = newPool()
		}
		l.pools[k].far = unitsOf(t.Limit) < len(zones)
		l.pools[k].keep(map[string]medlargw.Capacity{k.name: {Slots: share}}, now.Add(l.settling()))
	}
	for k := range l.pools {
		if !kept[k] {
			delete(l.pools, k)
		}
	}
}

// zones returns the zones that have targets, and this entry's, sorted.
func (l *Lender) zones() []medlargw.ZoneName {
	all := []medlargw.ZoneName{l.zone}
	for _, t := range l.group.Targets {
		if !slices.Contains(all, t.Zone) {
			all = append(all, t.Zone)
		}
	}
	slices.Sort(all)
	return all
}

// unitsOf returns the units of a limit in the whole deployment; zero is no
// limit.
func unitsOf(limit medlargw.Limit) int {
	if limit.Running > 0 {
		return limit.Running
	}
	return min(maxUnits, int(math.Ceil(limit.Starts)))
}

// zoneShare returns the units of one zone. They are split evenly; the zones
// that get one more differ from team to team.
func zoneShare(units int, team medlargw.TeamName, zone medlargw.ZoneName, zones []medlargw.ZoneName) int {
	share := units / len(zones)
	if slices.Index(byZoneHash(team, zones), zone) < units%len(zones) {
		share++
	}
	return share
}

// keeperZone returns the zone whose keeper serves the given one: itself, or,
// where there are fewer units than zones, one that has a unit.
func keeperZone(units int, team medlargw.TeamName, zone medlargw.ZoneName, zones []medlargw.ZoneName) medlargw.ZoneName {
	if units >= len(zones) || units == 0 {
		return zone
	}
	byHash := byZoneHash(team, zones)
	return byHash[slices.Index(byHash, zone)%units]
}

func byZoneHash(team medlargw.TeamName, zones []medlargw.ZoneName) []medlargw.ZoneName {
	byHash := slices.Clone(zones)
	slices.SortFunc(byHash, func(a, b medlargw.ZoneName) int {
		return cmp.Compare(zoneHash(team, a), zoneHash(team, b))
	})
	return byHash
}

func zoneHash(team medlargw.TeamName, zone medlargw.ZoneName) uint64 {
	return xxhash.Sum64String(string(team) + "\x00" + string(zone))
}

// limitOf returns the limit that the team's units add up to.
func (l *Lender) limitOf(team string) medlargw.Limit {
	for _, t := range l.config.Teams {
		if string(t.Name) == team {
			return t.Limit
		}
	}
	return medlargw.Limit{}
}

// startsOf returns the starts per second that go with that many units.
func (l *Lender) startsOf(team string, units int) float64 {
	limit := l.limitOf(team)
	if limit.Starts == 0 {
		return 0
	}
	return limit.Starts * float64(units) / float64(unitsOf(limit))
}
