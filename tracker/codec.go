package tracker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// errNotStarted is returned to peers whose requests arrive before Start.
var errNotStarted = errors.New("the tracker has not started")

type memberWire struct {
	Host        string         `json:"host"`
	Zone        string         `json:"zone"`
	Addr        netip.AddrPort `json:"addr"`
	Admin       netip.AddrPort `json:"admin"`
	Incarnation uint64         `json:"incarnation"`
	Counter     uint64         `json:"counter"`
	State       int            `json:"state"`
	Successor   string         `json:"successor,omitempty"`
	Capacity    int64          `json:"capacity,omitempty"`
}

type viewWire struct {
	From    memberWire   `json:"from"`
	Members []memberWire `json:"members"`
}

func encodeMember(m *medlargw.Member) memberWire {
	return memberWire{
		Host:        string(m.Host),
		Zone:        string(m.Zone),
		Addr:        m.Addr,
		Admin:       m.AdminAddr,
		Incarnation: uint64(m.Incarnation),
		Counter:     m.StateVersion,
		State:       int(m.State),
		Successor:   string(m.Successor),
		Capacity:    m.Capacity,
	}
}

func decodeMember(w *memberWire) (medlargw.Member, error) {
	if w.State < int(medlargw.MemberJoining) || w.State > int(medlargw.MemberGone) {
		return medlargw.Member{}, fmt.Errorf("state of %s: got %d, want at most %d", w.Host, w.State, medlargw.MemberGone)
	}
	return medlargw.Member{
		Host:         medlargw.HostName(w.Host),
		Zone:         medlargw.ZoneName(w.Zone),
		Addr:         w.Addr,
		AdminAddr:    w.Admin,
		Incarnation:  medlargw.Incarnation(w.Incarnation),
		StateVersion: w.Counter,
		State:        medlargw.MemberState(w.State),
		Successor:    medlargw.HostName(w.Successor),
		Capacity:     medlargw.ValidCapacity(w.Capacity),
	}, nil
}

// HandleFetch returns the whole view to a peer, or only its version if the peer
// already has it.
func (t *Tracker) HandleFetch(_ context.Context, r medlargw.FetchRequest) (medlargw.FetchReply, error) {
	t.mu.Lock()
	version, all := t.view.hash(), t.view.members()
	t.mu.Unlock()
	if r.Version == version {
		return medlargw.FetchReply{Version: version}, nil
	}
	wire := viewWire{From: encodeMember(&all[0])}
	for i := range all[1:] {
		wire.Members = append(wire.Members, encodeMember(&all[1+i]))
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return medlargw.FetchReply{}, fmt.Errorf("encode members: %w", err)
	}
	return medlargw.FetchReply{Version: version, Body: body}, nil
}

// fetchView fetches a peer's whole view and merges it.
func (t *Tracker) fetchView(ctx context.Context, from netip.AddrPort) {
	t.mu.Lock()
	version := t.view.hash()
	t.mu.Unlock()
	reply, err := t.messenger.Fetch(ctx, from, medlargw.FetchRequest{Kind: medlargw.FetchMembers, Version: version, Protocol: medlargw.ProtocolChanges})
	if err == nil && len(reply.Body) > 0 {
		err = t.mergeView(reply.Body)
	}
	if err != nil && ctx.Err() == nil {
		t.log.Debug("fetching the membership from a peer failed", zap.Stringer("peer", from), zap.Error(err))
	}
}

func (t *Tracker) mergeView(body []byte) error {
	var wire viewWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return fmt.Errorf("decode members: %w", err)
	}
	from, err := decodeMember(&wire.From)
	if err != nil {
		return err
	}
	all := make([]medlargw.Member, len(wire.Members))
	for i := range wire.Members {
		if all[i], err = decodeMember(&wire.Members[i]); err != nil {
			return err
		}
	}
	now := time.Now()
	t.updateView(func(v *view) { v.applyMessage(now, &from, all) })
	return nil
}
