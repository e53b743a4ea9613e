// Package apportioner divides the targets of each zone among the entries in
// proportion to the capacity of their hosts.
//
// A target goes to the entry with the highest weighted hash of target and host
// (weighted rendezvous hashing), unless that entry has its bound of targets
// already (consistent hashing with bounded loads). The targets take their turns
// in the order of their names. All entries thus compute the same owners from the
// same targets and entries, in whatever order they list the entries.
//
// The weights apply only while every entry of the zone states its capacity, and
// not all state the same one. At other times the highest hash decides alone, as in
// builds without capacities, so that the entries agree on the owners while a
// planned replacement mixes builds.
package apportioner

import (
	"maps"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"medlargw.example/medlargw"
)

// loadBound is the most targets of an entry in relation to its share by capacity.
// A lower bound moves more targets with each change of the entries or targets.
const loadBound = 1.25

// Apportioner keeps the owners of the targets of each zone while the targets and
// the entries do not change. It is not safe for concurrent use.
type Apportioner struct {
	zones map[medlargw.ZoneName]*zone
}

// zone is the division of the targets of one zone.
type zone struct {
	targets  []medlargw.TargetName // Sorted.
	entries  []medlargw.Peer
	owners   []int // Index in entries of the owner of each target.
	next     int   // Index of the target that is likely to be asked for next.
	weighted bool
	weights  int64 // Sum of the entries' capacities.
	columns  map[medlargw.HostName]*column
}

// column holds what the hashes of the targets with one host give, by the index of
// the target. It is kept while the targets do not change: in a large zone entries
// come one after the other, and each of them changes all owners' scores but few
// columns.
type column struct {
	hashes  []uint64
	inverse []float64 // See inverseLog; nil until it is needed.
}

// New returns an apportioner that knows no targets.
func New() *Apportioner {
	return &Apportioner{zones: map[medlargw.ZoneName]*zone{}}
}

// Update sets the targets of a zone and the entries that may own them, and
// computes the owners if either has changed.
func (a *Apportioner) Update(name medlargw.ZoneName, targets []medlargw.TargetName, entries []medlargw.Peer) {
	if !slices.IsSorted(targets) {
		targets = slices.Sorted(slices.Values(targets))
	}
	z := a.zones[name]
	if z != nil && slices.Equal(z.entries, entries) && slices.Equal(z.targets, targets) {
		return
	}
	former := z
	z = &zone{targets: targets, entries: slices.Clone(entries), owners: make([]int, len(targets))}
	z.weights, z.weighted = sumCapacities(entries)
	z.hash(former)
	z.assign()
	a.zones[name] = z
}

// Owner returns the owner of a target of the last Update of the zone, and whether
// there is one.
func (a *Apportioner) Owner(name medlargw.ZoneName, target medlargw.TargetName) (medlargw.Peer, bool) {
	z := a.zones[name]
	if z == nil || len(z.entries) == 0 {
		return medlargw.Peer{}, false
	}
	if z.next >= len(z.targets) || z.targets[z.next] != target {
		var found bool
		if z.next, found = slices.BinarySearch(z.targets, target); !found {
			return medlargw.Peer{}, false
		}
	}
	owner := z.owners[z.next]
	z.next++
	return z.entries[owner], true
}

// Share returns the share of an entry in the targets of a zone.
func (a *Apportioner) Share(name medlargw.ZoneName, incarnation medlargw.Incarnation) medlargw.TargetShare {
	z := a.zones[name]
	if z == nil {
		return medlargw.TargetShare{}
	}
	s := medlargw.TargetShare{Weighted: z.weighted, Entries: len(z.entries), Targets: len(z.targets)}
	for i := range z.entries {
		p := &z.entries[i]
		if p.Capacity == 0 {
			s.Unstated = p.Host
		}
		if p.Incarnation != incarnation {
			continue
		}
		s.Capacity = p.Capacity
		s.Due = float64(len(z.targets)) / float64(len(z.entries))
		if z.weighted {
			s.Due = float64(len(z.targets)) * float64(p.Capacity) / float64(z.weights)
		}
		for _, owner := range z.owners {
			if owner == i {
				s.Owned++
			}
		}
	}
	return s
}

// Retain forgets the zones that are not to be kept.
func (a *Apportioner) Retain(keep func(name medlargw.ZoneName) bool) {
	maps.DeleteFunc(a.zones, func(name medlargw.ZoneName, _ *zone) bool { return !keep(name) })
}

// hash computes the columns of the entries. It takes over those of the former
// division of the zone if that is of the same targets.
func (z *zone) hash(former *zone) {
	same := former != nil && slices.Equal(former.targets, z.targets)
	z.columns = make(map[medlargw.HostName]*column, len(z.entries))
	for i := range z.entries {
		host := z.entries[i].Host
		if same && former.columns[host] != nil {
			z.columns[host] = former.columns[host]
			continue
		}
		c := &column{hashes: make([]uint64, len(z.targets))}
		for j, t := range z.targets {
			c.hashes[j] = pairHash(t, host)
		}
		z.columns[host] = c
	}
}

// byEntry returns the columns in the order of the entries.
func (z *zone) byEntry() []*column {
	all := make([]*column, len(z.entries))
	for i := range z.entries {
		all[i] = z.columns[z.entries[i].Host]
	}
	return all
}

// highestHash returns the entry with the highest hash of a target and its host.
func highestHash(target int, columns []*column) int {
	best, highest := 0, uint64(0)
	for i, c := range columns {
		if h := c.hashes[target]; h >= highest {
			best, highest = i, h
		}
	}
	return best
}

func pairHash(target medlargw.TargetName, host medlargw.HostName) uint64 {
	return xxhash.Sum64String(string(target) + "/" + string(host))
}

// sumCapacities returns the sum of the capacities, and whether they are weights.
func sumCapacities(entries []medlargw.Peer) (int64, bool) {
	var sum int64
	differ := false
	for i := range entries {
		c := entries[i].Capacity
		if c <= 0 {
			return 0, false
		}
		sum += c
		differ = differ || c != entries[0].Capacity
	}
	return sum, differ
}

// assign computes the owners of all targets of the zone.
func (z *zone) assign() {
	columns := z.byEntry()
	if !z.weighted {
		for i := range z.targets {
			z.owners[i] = highestHash(i, columns)
		}
		return
	}
	for _, c := range columns {
		c.invert()
	}
	left := z.bounds()
	for i := range z.targets {
		owner := z.highestScore(i, columns, left)
		left[owner]--
		z.owners[i] = owner
	}
}

// bounds returns the most targets of each entry. Their sum is at least the number
// of targets.
func (z *zone) bounds() []int {
	all := make([]int, len(z.entries))
	n := roundUp(len(z.targets))
	for i := range z.entries {
		all[i] = int(math.Ceil(loadBound * float64(n) * float64(z.entries[i].Capacity) / float64(z.weights)))
	}
	return all
}

// roundUp rounds a number of targets up to four binary digits, so that the bounds
// stay the same when a few targets come or go.
func roundUp(n int) int {
	const digits = 4
	step := 1 << max(0, bits.Len(uint(n))-digits)
	return (n + step - 1) / step * step
}

// highestScore returns the entry with the highest score for the target among those
// that may take one more.
func (z *zone) highestScore(target int, columns []*column, left []int) int {
	best, highest := -1, 0.0
	for i := range z.entries {
		if left[i] <= 0 {
			continue
		}
		p := &z.entries[i]
		s := float64(p.Capacity) * columns[i].inverse[target] // weight / -ln(u)
		if best < 0 || s > highest || s == highest && p.Host < z.entries[best].Host {
			best, highest = i, s
		}
	}
	return best
}

// invert computes the inverse logarithms once.
func (c *column) invert() {
	if c.inverse != nil {
		return
	}
	c.inverse = make([]float64, len(c.hashes))
	for i, h := range c.hashes {
		c.inverse[i] = inverseLog(h)
	}
}

// inverseLog returns 1 / -ln(u), where u is the hash as a fraction of its range.
// The entry with the highest product of it and a weight is each one with a
// probability in proportion to its weight.
func inverseLog(hash uint64) float64 {
	const scale = 1 << 53
	u := (float64(hash>>11) + 0.5) / scale
	return 1 / -math.Log(u)
}
