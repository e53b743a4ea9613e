package describer

import (
	"encoding/json"
	"fmt"
	"time"

	"medlargw.example/medlargw"
)

// DecodeStatus decodes a complete status.
func (Describer) DecodeStatus(body []byte) (medlargw.EntryStatus, error) {
	var wire statusWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return medlargw.EntryStatus{}, fmt.Errorf("decode status: %w", err)
	}
	return medlargw.EntryStatus{
		Self:         medlargw.Member{Host: medlargw.HostName(wire.Host), Zone: medlargw.ZoneName(wire.Zone)},
		Version:      wire.Version,
		Started:      wire.Started,
		TakenAt:      wire.Taken,
		LogLevel:     wire.Level,
		Generation:   wire.Config.Generation,
		ConfiguredAt: wire.Config.Since,
		Teams:        wire.Config.Teams,
		Services:     wire.Config.Services,
		Classes:      mapSlice(wire.Config.Classes, classFromWire),
		Evacuated:    mapSlice(wire.Config.Evacuated, func(zone *string) medlargw.ZoneName { return medlargw.ZoneName(*zone) }),
		Members:      mapSlice(wire.Members, memberFromWire),
		Dispatch: medlargw.DispatchStatus{
			Jobs:    wire.Jobs,
			Running: wire.Running,
			Free:    wire.Free,
			Targets: mapSlice(wire.Targets, targetFromWire),
			Queues:  mapSlice(wire.Queues, queueFromWire),
			Limits:  mapSlice(wire.Limits, limitFromWire),
			Lent:    mapSlice(wire.Loans.Lent, loanFromWire),
			Held:    mapSlice(wire.Loans.Held, loanFromWire),
		},
	}, nil
}

func classFromWire(w *classWire) medlargw.Class {
	response, _ := time.ParseDuration(w.Response) // Without an objective it is empty.
	return medlargw.Class{
		Name:      medlargw.ClassName(w.Name),
		Rank:      w.Rank,
		MinShare:  w.Floor,
		Objective: medlargw.Objective{SuccessRatio: w.Answered, ResponseTime: response},
	}
}

// memberStatesByName returns all states of a member by their names.
func memberStatesByName() map[string]medlargw.MemberState {
	states := map[string]medlargw.MemberState{}
	for s := medlargw.MemberJoining; s <= medlargw.MemberGone; s++ {
		states[s.String()] = s
	}
	return states
}

func memberFromWire(w *memberWire) medlargw.Member {
	return medlargw.Member{
		Host:      medlargw.HostName(w.Host),
		Zone:      medlargw.ZoneName(w.Zone),
		Addr:      w.Addr,
		AdminAddr: w.Admin,
		State:     memberStatesByName()[w.State],
		LastHeard: w.Since,
	}
}

func targetFromWire(w *targetWire) medlargw.TargetStatus {
	return medlargw.TargetStatus{
		Target: medlargw.Target{
			Name: medlargw.TargetName(w.Name),
			Zone: medlargw.ZoneName(w.Zone),
			Addr: w.Addr,
		},
		Slots:  w.Slots,
		Used:   w.Used,
		State:  medlargw.TargetState(w.State),
		Reason: w.Reason,
		Since:  w.Since,
	}
}

func queueFromWire(w *queueWire) medlargw.QueueStatus {
	return medlargw.QueueStatus{Rank: w.Rank, Team: medlargw.TeamName(w.Team), Tasks: w.Tasks}
}

func limitFromWire(w *limitWire) medlargw.LimitStatus {
	return medlargw.LimitStatus{
		Team:    medlargw.TeamName(w.Team),
		Running: w.Running,
		Limit:   medlargw.Limit{Running: w.Most, Starts: w.Starts},
		Blocked: w.Blocked,
	}
}

func loanFromWire(w *loanWire) medlargw.LoanStatus {
	return medlargw.LoanStatus{Peer: medlargw.HostName(w.Peer), Name: w.Name, Amount: w.Amount, ExpiresAt: w.Until}
}
