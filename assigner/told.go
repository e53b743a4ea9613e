package assigner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

const (
	toldInterval     = 500 * time.Millisecond // Between two fetches of the times of reports from a peer.
	toldTimeout      = 400 * time.Millisecond
	ownReadAge       = 1250 * time.Millisecond // From which on a reader fetches the times from a peer too.
	quickReadPause   = 250 * time.Millisecond  // Between two reads while targets have not reported since an outage.
	quickReadReports = 2                       // Number of intervals of reports for which that is done.
)

// toldSetter receives the times at which targets have reported to the platform, at the
// earliest.
type toldSetter interface {
	SetTold(told map[medlargw.TargetName]time.Time)
}

// followTold fetches from peers when the targets have reported, while this entry does not
// read the list itself, until the context ends.
func (a *Assigner) followTold(ctx context.Context) {
	for n := 0; ; n++ {
		select {
		case <-time.After(withJitter(toldInterval)):
		case <-ctx.Done():
			return
		}
		if time.Since(a.createdAt)-time.Duration(a.lastOwnRead.Load()) < ownReadAge {
			continue
		}
		if peers := a.toldPeers(); len(peers) > 0 {
			a.fetchTold(ctx, &peers[n%len(peers)])
		}
	}
}

// toldPeers returns the entries that may know when targets have reported: the readers of
// the zone, or all others if the zone's entries can't read the list.
func (a *Assigner) toldPeers() []medlargw.Member {
	members := a.members.Members()
	from := readersOf(servingMembers(members))
	if a.HostsAge() > staleAfter {
		from = members[1:]
	}
	var peers []medlargw.Member
	for i := range from {
		if from[i].Host != a.settings.Host && from[i].CanOwn() {
			peers = append(peers, from[i])
		}
	}
	return peers
}

// fetchTold fetches the times from a peer. One of an older build knows only when the list
// was last read.
func (a *Assigner) fetchTold(ctx context.Context, from *medlargw.Member) {
	ctx, cancel := context.WithTimeout(ctx, toldTimeout)
	defer cancel()
	requestedAt := time.Now()
	reply, err := a.messenger.Fetch(ctx, from.Addr, medlargw.FetchRequest{Kind: medlargw.FetchTold, Protocol: medlargw.ProtocolChanges})
	list := a.list.Load()
	if list == nil {
		return
	}
	names := make([]medlargw.TargetName, len(list.Targets))
	for i := range list.Targets {
		names[i] = list.Targets[i].Name
	}
	a.toldMu.Lock()
	defer a.toldMu.Unlock()
	switch {
	case errors.Is(err, medlargw.ErrUnknownFetch):
		a.chronicler.Raise(names, requestedAt.Add(-a.HostsAge()-a.settings.Lease.Report))
	case err == nil:
		err = a.chronicler.Merge(reply.Body, requestedAt, names)
	}
	if err != nil {
		a.log.Debug("fetching the times of reports failed", zap.String("peer", string(from.Host)), zap.Error(err))
	}
	a.toldSetter.SetTold(a.chronicler.Told())
}

// recordReports records the reports of targets that a read has shown.
func (a *Assigner) recordReports(sentAt time.Time, list *medlargw.HostList) {
	if a.toldSetter == nil {
		return
	}
	a.toldMu.Lock()
	defer a.toldMu.Unlock()
	a.lastOwnRead.Store(int64(sentAt.Sub(a.createdAt)))
	a.chronicler.Record(sentAt, list.Reports)
	a.toldSetter.SetTold(a.chronicler.Told())
}

// awaitsReports reports whether targets have not reported since the given time, soon after
// it.
func (a *Assigner) awaitsReports(since time.Time) bool {
	if a.toldSetter == nil || time.Since(since) > quickReadReports*a.settings.Lease.Report {
		return false
	}
	a.toldMu.Lock()
	defer a.toldMu.Unlock()
	return a.chronicler.Oldest().Before(since)
}

// serveTold returns the ages of the targets' reports to a peer.
func (a *Assigner) serveTold() medlargw.FetchReply {
	a.toldMu.Lock()
	defer a.toldMu.Unlock()
	return medlargw.FetchReply{Body: a.chronicler.Encode(time.Now())}
}
