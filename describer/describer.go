// Package describer converts the status of an entry to the JSON of the
// administration interface and back.
//
// Field names are short words. Times have the format of RFC 3339, in UTC; an
// unknown time is omitted.
package describer

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"medlargw.example/medlargw"
)

// Describer encodes and decodes statuses. It has no state.
type Describer struct{}

type statusWire struct {
	Host    string       `json:"host"`
	Zone    string       `json:"zone"`
	Version string       `json:"version"`
	Started time.Time    `json:"started"`
	Taken   time.Time    `json:"taken"`
	Level   string       `json:"level"`
	Config  configWire   `json:"config"`
	Members []memberWire `json:"members"`
	Jobs    int          `json:"jobs"`
	Running int          `json:"running"`
	Free    int          `json:"free"`
	Targets []targetWire `json:"targets"`
	Queues  []queueWire  `json:"queues"`
	Limits  []limitWire  `json:"limits"`
	Loans   loansWire    `json:"loans"`
}

type configWire struct {
	Generation uint64      `json:"generation"`
	Since      time.Time   `json:"since,omitzero"`
	Teams      int         `json:"teams"`
	Services   int         `json:"services"`
	Classes    []classWire `json:"classes"`
	Evacuated  []string    `json:"evacuated,omitempty"` // Zones.
}

type classWire struct {
	Name     string  `json:"name"`
	Rank     int     `json:"rank"`
	Floor    float64 `json:"floor,omitempty"`
	Answered float64 `json:"answered,omitempty"`
	Response string  `json:"response,omitempty"`
}

type memberWire struct {
	Host  string         `json:"host"`
	Zone  string         `json:"zone"`
	Addr  netip.AddrPort `json:"addr,omitzero"`
	Admin netip.AddrPort `json:"admin,omitzero"`
	State string         `json:"state"`
	Since time.Time      `json:"since,omitzero"`
}

type targetWire struct {
	Name   string         `json:"name"`
	Zone   string         `json:"zone"`
	Addr   netip.AddrPort `json:"addr"`
	Slots  int            `json:"slots"`
	Used   int            `json:"used"`
	State  string         `json:"state"`
	Reason string         `json:"reason,omitempty"`
	Since  time.Time      `json:"since,omitzero"`
}

type queueWire struct {
	Rank  int    `json:"rank"`
	Team  string `json:"team"`
	Tasks int    `json:"tasks"`
}

type limitWire struct {
	Team    string  `json:"team"`
	Running int     `json:"running"`
	Most    int     `json:"most,omitempty"`
	Starts  float64 `json:"starts,omitempty"`
	Blocked bool    `json:"blocked"`
}

type loansWire struct {
	Lent []loanWire `json:"lent"`
	Held []loanWire `json:"held"`
}

type loanWire struct {
	Peer   string    `json:"peer"`
	Name   string    `json:"name"`
	Amount int       `json:"amount"`
	Until  time.Time `json:"until"`
}

// EncodeStatus encodes the complete status.
func (Describer) EncodeStatus(s *medlargw.EntryStatus) ([]byte, error) {
	return marshal(statusToWire(s))
}

// EncodeSection encodes one section of the status: config, members, targets,
// queues, limits or loans.
func (Describer) EncodeSection(s *medlargw.EntryStatus, section string) ([]byte, error) {
	wire := statusToWire(s)
	switch section {
	case "config":
		return marshal(wire.Config)
	case "members":
		return marshal(wire.Members)
	case "targets":
		return marshal(wire.Targets)
	case "queues":
		return marshal(wire.Queues)
	case "limits":
		return marshal(wire.Limits)
	case "loans":
		return marshal(wire.Loans)
	}
	return nil, fmt.Errorf("encode status: got part %q", section)
}

func marshal(wire any) ([]byte, error) {
	body, err := json.MarshalIndent(wire, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode status: %w", err)
	}
	return append(body, '\n'), nil
}

// mapSlice converts each element of a slice. It never returns nil, so that the
// JSON holds an empty list instead of null.
func mapSlice[A, B any](elements []A, convert func(a *A) B) []B {
	mapped := make([]B, 0, len(elements))
	for i := range elements {
		mapped = append(mapped, convert(&elements[i]))
	}
	return mapped
}

func statusToWire(s *medlargw.EntryStatus) statusWire {
	return statusWire{
		Host:    string(s.Self.Host),
		Zone:    string(s.Self.Zone),
		Version: s.Version,
		Started: s.Started.UTC(),
		Taken:   s.TakenAt.UTC(),
		Level:   s.LogLevel,
		Config: configWire{
			Generation: s.Generation,
			Since:      s.ConfiguredAt.UTC(),
			Teams:      s.Teams,
			Services:   s.Services,
			Classes:    mapSlice(s.Classes, classToWire),
			Evacuated:  zonesToWire(s.Evacuated),
		},
		Members: mapSlice(s.Members, memberToWire),
		Jobs:    s.Dispatch.Jobs,
		Running: s.Dispatch.Running,
		Free:    s.Dispatch.Free,
		Targets: mapSlice(s.Dispatch.Targets, targetToWire),
		Queues:  mapSlice(s.Dispatch.Queues, queueToWire),
		Limits:  mapSlice(s.Dispatch.Limits, limitToWire),
		Loans:   loansWire{Lent: mapSlice(s.Dispatch.Lent, loanToWire), Held: mapSlice(s.Dispatch.Held, loanToWire)},
	}
}

func zonesToWire(zones []medlargw.ZoneName) []string {
	var wire []string // Nil if there are none, which is omitted.
	for _, zone := range zones {
		wire = append(wire, string(zone))
	}
	return wire
}

func classToWire(c *medlargw.Class) classWire {
	wire := classWire{Name: string(c.Name), Rank: c.Rank, Floor: c.MinShare, Answered: c.Objective.SuccessRatio}
	if c.Objective.ResponseTime > 0 {
		wire.Response = c.Objective.ResponseTime.String()
	}
	return wire
}

func memberToWire(m *medlargw.Member) memberWire {
	return memberWire{
		Host:  string(m.Host),
		Zone:  string(m.Zone),
		Addr:  m.Addr,
		Admin: m.AdminAddr,
		State: m.State.String(),
		Since: m.LastHeard.UTC(),
	}
}

func targetToWire(t *medlargw.TargetStatus) targetWire {
	return targetWire{
		Name:   string(t.Target.Name),
		Zone:   string(t.Target.Zone),
		Addr:   t.Target.Addr,
		Slots:  t.Slots,
		Used:   t.Used,
		State:  string(t.State),
		Reason: t.Reason,
		Since:  t.Since.UTC(),
	}
}

func queueToWire(q *medlargw.QueueStatus) queueWire {
	return queueWire{Rank: q.Rank, Team: string(q.Team), Tasks: q.Tasks}
}

func limitToWire(l *medlargw.LimitStatus) limitWire {
	return limitWire{
		Team:    string(l.Team),
		Running: l.Running,
		Most:    l.Limit.Running,
		Starts:  l.Limit.Starts,
		Blocked: l.Blocked,
	}
}

func loanToWire(l *medlargw.LoanStatus) loanWire {
	return loanWire{Peer: string(l.Peer), Name: l.Name, Amount: l.Amount, Until: l.ExpiresAt.UTC()}
}
