package accessor

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"medlargw.example/medlargw"
)

type hostListWire struct {
	Version uint64          `json:"version"`
	Taken   time.Time       `json:"taken"`
	Targets []targetWire    `json:"targets"`
	Entries []entryHostWire `json:"entries"`

	// Zones that get no new tasks. Null or missing is unknown.
	Evacuated []string `json:"evacuated"`
}

type targetWire struct {
	Name         string         `json:"name"`
	Zone         string         `json:"zone"`
	Addr         netip.AddrPort `json:"addr"`
	Slots        int            `json:"slots"`
	Memory       int64          `json:"memory"` // Largest task, in bytes; zero is unlimited.
	Leaving      bool           `json:"leaving"`
	Pool         string         `json:"pool,omitempty"`
	MilliCores   int64          `json:"cores,omitempty"`
	Room         int64          `json:"room,omitempty"` // Memory in MiB.
	Accelerators int64          `json:"accelerators,omitempty"`
	StartMs      int64          `json:"born,omitempty"` // Start of the incarnation, in milliseconds since 1970.

	// Milliseconds from the sending of the list, as the clocks of hosts differ.
	ColdMs   int64 `json:"cold,omitempty"`   // For which it is slow after its start.
	LeavesMs int64 `json:"leaves,omitempty"` // Until it ends while it drains, at least.
}

type entryHostWire struct {
	Name  string         `json:"name"`
	Zone  string         `json:"zone"`
	Addr  netip.AddrPort `json:"addr"`
	Admin netip.AddrPort `json:"admin"`

	Capacity int64 `json:"capacity,omitempty"` // Thousandths of a core.
}

// DecodeHosts decodes a host list from JSON, without the targets and the entries that
// can't be used.
func DecodeHosts(body []byte) (medlargw.HostList, error) {
	var wire hostListWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return medlargw.HostList{}, fmt.Errorf("decode list of hosts: %w", err)
	}
	list, _ := decodeList(&wire)
	return list, nil
}

// unusable are the names of the targets and entries of a list that can't be used.
type unusable struct {
	targets []medlargw.TargetName
	entries []medlargw.HostName
}

func decodeList(wire *hostListWire) (medlargw.HostList, unusable) {
	var odd unusable
	list := medlargw.HostList{Version: wire.Version, TakenAt: wire.Taken}
	now := time.Now()
	for _, t := range wire.Targets {
		target := medlargw.Target{
			Name:             medlargw.TargetName(t.Name),
			Zone:             medlargw.ZoneName(t.Zone),
			Addr:             t.Addr,
			Slots:            t.Slots,
			Memory:           t.Memory,
			Draining:         t.Leaving,
			Pool:             medlargw.PoolName(t.Pool),
			Resources:        medlargw.Resources{Cores: t.MilliCores, Memory: t.Room, Accelerators: t.Accelerators},
			IncarnationStart: decodeStartTime(t.StartMs),
			ColdUntil:        decodeTimeLeft(now, t.ColdMs),
			LeavesAt:         decodeTimeLeft(now, t.LeavesMs),
		}
		if target.Validate() != nil {
			odd.targets = append(odd.targets, target.Name)
			continue
		}
		list.Targets = append(list.Targets, target)
	}
	for _, e := range wire.Entries {
		if !isReachable(&e) {
			odd.entries = append(odd.entries, medlargw.HostName(e.Name))
			continue
		}
		list.Entries = append(list.Entries, medlargw.EntryHost{
			Name:      medlargw.HostName(e.Name),
			Zone:      medlargw.ZoneName(e.Zone),
			Addr:      e.Addr,
			AdminAddr: e.Admin,
			Capacity:  medlargw.ValidCapacity(e.Capacity),
		})
	}
	if wire.Evacuated != nil {
		list.Evacuated = []medlargw.ZoneName{}
	}
	for _, zone := range wire.Evacuated {
		list.Evacuated = append(list.Evacuated, medlargw.ZoneName(zone))
	}
	return list, odd
}

// isReachable reports whether an entry has an address of a host. One for operators alone
// may have no other.
func isReachable(e *entryHostWire) bool {
	if !e.Addr.IsValid() {
		return medlargw.IsHostAddr(e.Admin)
	}
	return medlargw.IsHostAddr(e.Addr)
}

// EncodeHosts encodes a host list as JSON.
func EncodeHosts(list *medlargw.HostList) ([]byte, error) {
	body, err := json.Marshal(encodeList(list))
	if err != nil {
		return nil, fmt.Errorf("encode list of hosts: %w", err)
	}
	return body, nil
}

func encodeList(list *medlargw.HostList) hostListWire {
	wire := hostListWire{Version: list.Version, Taken: list.TakenAt}
	now := time.Now()
	for _, t := range list.Targets {
		wire.Targets = append(wire.Targets, targetWire{
			Name:         string(t.Name),
			Zone:         string(t.Zone),
			Addr:         t.Addr,
			Slots:        t.Slots,
			Memory:       t.Memory,
			Leaving:      t.Draining,
			Pool:         string(t.Pool),
			MilliCores:   t.Resources.Cores,
			Room:         t.Resources.Memory,
			Accelerators: t.Resources.Accelerators,
			StartMs:      encodeStartTime(t.IncarnationStart),
			ColdMs:       encodeTimeLeft(now, t.ColdUntil),
			LeavesMs:     encodeTimeLeft(now, t.LeavesAt),
		})
	}
	for _, e := range list.Entries {
		wire.Entries = append(wire.Entries, entryHostWire{
			Name:  string(e.Name),
			Zone:  string(e.Zone),
			Addr:  e.Addr,
			Admin: e.AdminAddr,

			Capacity: e.Capacity,
		})
	}
	if list.Evacuated != nil {
		wire.Evacuated = []string{}
	}
	for _, zone := range list.Evacuated {
		wire.Evacuated = append(wire.Evacuated, string(zone))
	}
	return wire
}

// changesWire are the changes after a version of the list.
type changesWire struct {
	hostListWire
	Base           uint64   `json:"base"`
	RemovedTargets []string `json:"gone,omitempty"`
	RemovedEntries []string `json:"left,omitempty"`
}

// EncodeChanges encodes the changes of a host list as JSON.
func EncodeChanges(c *medlargw.HostListChanges) ([]byte, error) {
	list := medlargw.HostList{Version: c.Version, TakenAt: c.TakenAt, Targets: c.Targets, Entries: c.Entries, Evacuated: c.Evacuated}
	wire := changesWire{hostListWire: encodeList(&list), Base: c.Base}
	for _, name := range c.RemovedTargets {
		wire.RemovedTargets = append(wire.RemovedTargets, string(name))
	}
	for _, name := range c.RemovedEntries {
		wire.RemovedEntries = append(wire.RemovedEntries, string(name))
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode changes of the host list: %w", err)
	}
	return body, nil
}

// DecodeChanges decodes the changes of a host list from JSON. The targets and the entries
// that can't be used are removed.
func DecodeChanges(body []byte) (medlargw.HostListChanges, error) {
	var wire changesWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return medlargw.HostListChanges{}, fmt.Errorf("decode changes of the host list: %w", err)
	}
	list, odd := decodeList(&wire.hostListWire)
	c := medlargw.HostListChanges{
		Base: wire.Base, Version: list.Version, TakenAt: list.TakenAt,
		Targets: list.Targets, Entries: list.Entries, Evacuated: list.Evacuated,
		RemovedTargets: odd.targets, RemovedEntries: odd.entries,
	}
	for _, name := range wire.RemovedTargets {
		c.RemovedTargets = append(c.RemovedTargets, medlargw.TargetName(name))
	}
	for _, name := range wire.RemovedEntries {
		c.RemovedEntries = append(c.RemovedEntries, medlargw.HostName(name))
	}
	return c, nil
}

// decodeStartTime returns the zero time for a target that does not report its
// start.
func decodeStartTime(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func encodeStartTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// decodeTimeLeft returns the time in so many milliseconds, or the zero time for
// none or less.
func decodeTimeLeft(now time.Time, ms int64) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(min(ms, medlargw.MaxTimeLeft.Milliseconds())) * time.Millisecond)
}

// encodeTimeLeft returns the milliseconds until a time, at least one, or zero
// for the zero time.
func encodeTimeLeft(now, t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(t.Sub(now).Milliseconds(), 1)
}
