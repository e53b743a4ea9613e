// Package differ computes the changes between versions of the host list, so that
// an entry can send a peer what the peer lacks instead of the whole list.
package differ

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"medlargw.example/medlargw"
)

// Differ holds the current list and the versions in which its elements changed.
// A version may be higher than the one that made the change: a difference may
// repeat a change that the peer knows, and lacks none. It is not safe for
// concurrent use.
type Differ struct {
	list    medlargw.HostList
	history medlargw.HostHistory
}

// New returns a differ with an empty list.
func New() *Differ { return &Differ{} }

// Update replaces the current list by a newer one, whose History it takes over.
func (d *Differ) Update(list medlargw.HostList) {
	d.list = list
	d.history = list.History.Bounded(list.Version)
	if d.history.Since == 0 {
		d.history.Since = list.Version // No change is known.
	}
}

func targetsByName(all []medlargw.Target) map[medlargw.TargetName]medlargw.Target {
	byName := make(map[medlargw.TargetName]medlargw.Target, len(all))
	for _, t := range all {
		byName[t.Name] = t
	}
	return byName
}

func entriesByName(all []medlargw.EntryHost) map[medlargw.HostName]medlargw.EntryHost {
	byName := make(map[medlargw.HostName]medlargw.EntryHost, len(all))
	for _, e := range all {
		byName[e.Name] = e
	}
	return byName
}

// Changes returns what has changed after a version of the list. It returns false
// if that is not known.
func (d *Differ) Changes(base uint64) (medlargw.HostListChanges, bool) {
	if base == 0 || base < d.history.Since || base > d.list.Version {
		return medlargw.HostListChanges{}, false
	}
	c := medlargw.HostListChanges{Base: base, Version: d.list.Version, TakenAt: d.list.TakenAt, Evacuated: d.list.Evacuated}
	targets := changedAfter(d.history.Targets, base)
	for _, t := range d.list.Targets {
		if targets[t.Name] {
			c.Targets = append(c.Targets, t)
			delete(targets, t.Name)
		}
	}
	entries := changedAfter(d.history.Entries, base)
	for _, e := range d.list.Entries {
		if entries[e.Name] {
			c.Entries = append(c.Entries, e)
			delete(entries, e.Name)
		}
	}
	c.RemovedTargets = slices.Sorted(maps.Keys(targets))
	c.RemovedEntries = slices.Sorted(maps.Keys(entries))
	return c, true
}

// changedAfter returns the names with a version above the given one.
func changedAfter[K comparable](versions map[K]uint64, base uint64) map[K]bool {
	names := map[K]bool{}
	for name, version := range versions {
		if version > base {
			names[name] = true
		}
	}
	return names
}

// Apply applies changes to the current list and returns the new one. It returns
// an error if they are the changes to another version.
func (d *Differ) Apply(c *medlargw.HostListChanges) (medlargw.HostList, error) {
	if c.Base != d.list.Version {
		return medlargw.HostList{}, fmt.Errorf("changes of the host list: got those after version %d, want %d", c.Base, d.list.Version)
	}
	targets, entries := targetsByName(d.list.Targets), entriesByName(d.list.Entries)
	history := medlargw.HostHistory{
		Since: d.history.Since, Targets: copyOf(d.history.Targets), Entries: copyOf(d.history.Entries),
	}
	for _, name := range c.RemovedTargets {
		delete(targets, name)
		history.Targets[name] = c.Version
	}
	for _, t := range c.Targets {
		targets[t.Name] = t
		history.Targets[t.Name] = c.Version
	}
	for _, name := range c.RemovedEntries {
		delete(entries, name)
		history.Entries[name] = c.Version
	}
	for _, e := range c.Entries {
		entries[e.Name] = e
		history.Entries[e.Name] = c.Version
	}
	d.Update(medlargw.HostList{
		Version: c.Version,
		TakenAt: c.TakenAt,
		Targets: slices.SortedFunc(maps.Values(targets), func(a, b medlargw.Target) int { return cmp.Compare(a.Name, b.Name) }),
		Entries: slices.SortedFunc(maps.Values(entries), func(a, b medlargw.EntryHost) int { return cmp.Compare(a.Name, b.Name) }),
		History: history,

		Evacuated: c.Evacuated,
	})
	return d.list, nil
}

// copyOf returns a copy of the map that is not nil.
func copyOf[K comparable](versions map[K]uint64) map[K]uint64 {
	all := make(map[K]uint64, len(versions))
	maps.Copy(all, versions)
	return all
}
