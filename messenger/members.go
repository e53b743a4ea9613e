package messenger

import (
	"net/netip"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
)

// heartbeatMessage has the accessors that a heartbeat and its reply share.
type heartbeatMessage interface {
	GetFrom() *wire.Member
	GetDigest() *wire.Digest
	GetChanged() []*wire.Member
	GetView() uint64
}

func encodeHeartbeat(b *medlargw.Heartbeat) *wire.BeatRequest {
	r := &wire.BeatRequest{
		From: encodeMember(&b.From),
		Digest: &wire.Digest{
			Generation: b.Digest.Generation,
			Hosts:      b.Digest.HostsVersion,
			HostsAgeMs: b.Digest.HostsAge.Milliseconds(),
			Free:       int32(b.Digest.FreeSlots),
			Waiting:    encodeDemand(b.Digest.Waiting),
			Room:       encodeHolderResources(&b.Digest.FreeResources),
			LagUs:      b.Digest.Lag.Microseconds(),
			Heard:      encodeSightings(b.Digest.Heard),
		},
		View: b.ViewHash,
	}
	for i := range b.Changed {
		r.Changed = append(r.Changed, encodeMember(&b.Changed[i]))
	}
	return r
}

func decodeHeartbeat(r heartbeatMessage) medlargw.Heartbeat {
	b := medlargw.Heartbeat{
		From: decodeMember(r.GetFrom()),
		Digest: medlargw.Digest{
			Generation:    r.GetDigest().GetGeneration(),
			HostsVersion:  r.GetDigest().GetHosts(),
			HostsAge:      time.Duration(r.GetDigest().GetHostsAgeMs()) * time.Millisecond,
			FreeSlots:     int(r.GetDigest().GetFree()),
			Waiting:       decodeDemand(r.GetDigest().GetWaiting()),
			FreeResources: decodeHolderResources(r.GetDigest().GetRoom()),
			Lag:           max(0, microsToDuration(r.GetDigest().GetLagUs())),
			Heard:         decodeSightings(r.GetDigest().GetHeard()),
		},
		ViewHash: r.GetView(),
	}
	for _, m := range r.GetChanged() {
		b.Changed = append(b.Changed, decodeMember(m))
	}
	return b
}

func encodeSightings(all []medlargw.Sighting) []*wire.Sighting {
	var sightings []*wire.Sighting
	for _, s := range all {
		sightings = append(sightings, &wire.Sighting{Incarnation: uint64(s.Incarnation), AgeUs: s.Age.Microseconds()})
	}
	return sightings
}

// decodeSightings leaves out sightings in the future, which would make a lost
// entry look alive.
func decodeSightings(all []*wire.Sighting) []medlargw.Sighting {
	var sightings []medlargw.Sighting
	for _, s := range all {
		if age := microsToDuration(s.GetAgeUs()); age >= 0 {
			sightings = append(sightings, medlargw.Sighting{Incarnation: medlargw.Incarnation(s.GetIncarnation()), Age: age})
		}
	}
	return sightings
}

func encodeMember(m *medlargw.Member) *wire.Member {
	return &wire.Member{
		Host:        string(m.Host),
		Zone:        string(m.Zone),
		Addr:        encodeAddr(m.Addr),
		Admin:       encodeAddr(m.AdminAddr),
		Incarnation: uint64(m.Incarnation),
		Counter:     m.StateVersion,
		State:       int32(m.State),
		Successor:   string(m.Successor),
		Capacity:    m.Capacity,
	}
}

func decodeMember(m *wire.Member) medlargw.Member {
	return medlargw.Member{
		Host:         medlargw.HostName(m.GetHost()),
		Zone:         medlargw.ZoneName(m.GetZone()),
		Addr:         decodeAddr(m.GetAddr()),
		AdminAddr:    decodeAddr(m.GetAdmin()),
		Incarnation:  medlargw.Incarnation(m.GetIncarnation()),
		StateVersion: m.GetCounter(),
		State:        decodeState(m.GetState()),
		Successor:    medlargw.HostName(m.GetSuccessor()),
		Capacity:     medlargw.ValidCapacity(m.GetCapacity()),
	}
}

// decodeState returns MemberSuspect for an unknown state, which a newer version
// of the program may send. This is the safest choice: a suspect member is not
// chosen as an owner, and is not given up as gone either.
func decodeState(s int32) medlargw.MemberState {
	if s < int32(medlargw.MemberJoining) || s > int32(medlargw.MemberGone) {
		return medlargw.MemberSuspect
	}
	return medlargw.MemberState(s)
}

func encodeAddr(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// decodeAddr returns the zero address if the text is not a valid address.
func decodeAddr(text string) netip.AddrPort {
	a, _ := netip.ParseAddrPort(text)
	return a
}

func encodeDemand(all []medlargw.ClassDemand) []*wire.Demand {
	var demand []*wire.Demand
	for _, d := range all {
		demand = append(demand, &wire.Demand{Rank: int64(d.Rank), Tasks: int32(d.Tasks), Running: int32(d.Running)})
	}
	return demand
}

func decodeDemand(all []*wire.Demand) []medlargw.ClassDemand {
	var demand []medlargw.ClassDemand
	for _, d := range all {
		demand = append(demand, medlargw.ClassDemand{Rank: int(d.GetRank()), Tasks: int(d.GetTasks()), Running: int(d.GetRunning())})
	}
	return demand
}
