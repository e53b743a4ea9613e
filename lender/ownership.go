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

// maxTeamUnits bounds the units into which a team's limit of starts per second
// is divided.
const maxTeamUnits = 1000

// SetDigest records the latest digest of a peer.
func (l *Lender) SetDigest(now time.Time, from medlargw.HostName, d medlargw.Digest) {
	if pl := l.lenders[from]; pl != nil {
		pl.digest = d
		pl.digestAt = now
	}
}

// SetGroup replaces the entries and targets, and derives the owners from them.
func (l *Lender) SetGroup(now time.Time, g *medlargw.Group) {
	l.group = *g
	l.updateLenders(now)
	l.updateViewHash()
	l.assignOwners()
	l.updateSlotPool(now)
	l.updateUnitPools(now)
	l.restoreGrants(now)
}

// Configure replaces the limits of the teams.
func (l *Lender) Configure(now time.Time, cfg *medlargw.Config) {
	l.config = cfg
	l.assignOwners()
	l.updateUnitPools(now)
	l.restoreGrants(now)
}

// updateViewHash hashes the entries of the zone. When the hash changes, this
// entry must report to each of them what it uses of that entry's resources.
func (l *Lender) updateViewHash() {
	var text []byte
	entries := slices.Clone(l.group.Entries)
	slices.SortFunc(entries, func(a, b medlargw.Peer) int { return cmp.Compare(a.Host, b.Host) })
	for _, e := range entries {
		if e.Zone == l.zone {
			text = fmt.Appendf(text, "%s\x00%d\x00%t\x00", e.Host, e.Incarnation, e.Leaving)
		}
	}
	view := xxhash.Sum64(text)
	if view == l.viewHash {
		return
	}
	l.viewHash = view
	for _, pl := range l.lenders {
		pl.reportDue = pl.peer.Zone == l.zone
		pl.nextReportAt = time.Time{}
	}
}

// assignOwners maps each target to an entry of its zone, and each team with a
// limit to an entry of the zone that serves this zone's units, by rendezvous
// hashing.
func (l *Lender) assignOwners() {
	hashers := l.zoneHashers()
	clear(l.owners)
	clear(l.targets)
	l.zoneSlots = 0
	for _, t := range l.group.Targets {
		l.targets[t.Name] = t
		if hasher := hashers[t.Zone]; hasher != nil {
			l.owners[targetKey(t.Name)] = medlargw.HostName(hasher.Lookup(string(t.Name)))
		}
		if t.Zone == l.zone && !t.Draining {
			l.zoneSlots += t.Slots
		}
	}
	zones := l.zones()
	for _, t := range l.config.Teams {
		if limitUnits(t.Limit) == 0 {
			continue
		}
		if hasher := hashers[ownerZone(limitUnits(t.Limit), t.Name, l.zone, zones)]; hasher != nil {
			l.owners[teamKey(t.Name)] = medlargw.HostName(hasher.Lookup(string(t.Name)))
		}
	}
}

// zoneHashers returns the rendezvous hash of each zone over its entries, without
// those that are leaving.
func (l *Lender) zoneHashers() map[medlargw.ZoneName]*rendezvous.Rendezvous {
	names := map[medlargw.ZoneName][]string{}
	for _, e := range l.group.Entries {
		if e.Leaving {
			continue
		}
		names[e.Zone] = append(names[e.Zone], string(e.Host))
	}
	hashers := map[medlargw.ZoneName]*rendezvous.Rendezvous{}
	for zone, hosts := range names {
		slices.Sort(hosts)
		hashers[zone] = rendezvous.New(hosts, xxhash.Sum64String)
	}
	return hashers
}

func (l *Lender) updateSlotPool(now time.Time) {
	totals := map[string]medlargw.Allocation{}
	for _, t := range l.group.Targets {
		if l.owners[targetKey(t.Name)] == l.host {
			totals[string(t.Name)] = medlargw.Allocation{Target: t, Slots: t.Slots}
		}
	}
	l.pools[slotPoolKey].setResources(totals, now.Add(l.takeoverDelay()))
}

func (l *Lender) updateUnitPools(now time.Time) {
	zones := l.zones()
	kept := map[resourceKey]bool{slotPoolKey: true}
	for _, t := range l.config.Teams {
		k := teamKey(t.Name)
		share := zoneShare(limitUnits(t.Limit), t.Name, l.zone, zones)
		if share == 0 || l.owners[k] != l.host {
			continue
		}
		kept[k] = true
		if l.pools[k] == nil {
			l.pools[k] = newPool()
		}
		l.pools[k].sharedAcrossZones = limitUnits(t.Limit) < len(zones)
		l.pools[k].setResources(map[string]medlargw.Allocation{k.name: {Slots: share}}, now.Add(l.takeoverDelay()))
	}
	for k := range l.pools {
		if !kept[k] {
			delete(l.pools, k)
		}
	}
}

// zones returns the zones that have targets and the zone of this entry, sorted.
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

// limitUnits returns the number of units of a limit in the whole deployment;
// zero means that there is no limit.
func limitUnits(limit medlargw.Limit) int {
	if limit.Running > 0 {
		return limit.Running
	}
	return min(maxTeamUnits, int(math.Ceil(limit.Starts)))
}

// zoneShare returns the units of one zone. The units are split evenly; which
// zones get the remainder differs from team to team.
func zoneShare(units int, team medlargw.TeamName, zone medlargw.ZoneName, zones []medlargw.ZoneName) int {
	share := units / len(zones)
	if slices.Index(zonesByHash(team, zones), zone) < units%len(zones) {
		share++
	}
	return share
}

// ownerZone returns the zone whose entries own the units that the given zone
// uses: the zone itself or, if there are fewer units than zones, one that has a
// unit.
func ownerZone(units int, team medlargw.TeamName, zone medlargw.ZoneName, zones []medlargw.ZoneName) medlargw.ZoneName {
	if units >= len(zones) || units == 0 {
		return zone
	}
	byHash := zonesByHash(team, zones)
	return byHash[slices.Index(byHash, zone)%units]
}

func zonesByHash(team medlargw.TeamName, zones []medlargw.ZoneName) []medlargw.ZoneName {
	byHash := slices.Clone(zones)
	slices.SortFunc(byHash, func(a, b medlargw.ZoneName) int {
		return cmp.Compare(zoneHash(team, a), zoneHash(team, b))
	})
	return byHash
}

func zoneHash(team medlargw.TeamName, zone medlargw.ZoneName) uint64 {
	return xxhash.Sum64String(string(team) + "\x00" + string(zone))
}

// teamLimit returns the configured limit of the team.
func (l *Lender) teamLimit(team string) medlargw.Limit {
	for _, t := range l.config.Teams {
		if string(t.Name) == team {
			return t.Limit
		}
	}
	return medlargw.Limit{}
}

// startsPerSecond returns the starts per second that the units of the team allow.
func (l *Lender) startsPerSecond(team string, units int) float64 {
	limit := l.teamLimit(team)
	if limit.Starts == 0 {
		return 0
	}
	return limit.Starts * float64(units) / float64(limitUnits(limit))
}
