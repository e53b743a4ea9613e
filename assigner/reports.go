package assigner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

const (
	reportsInterval = 500 * time.Millisecond // Between two fetches of the reports of targets from a peer.
	reportsTimeout  = 400 * time.Millisecond
	ownReadAge      = 1250 * time.Millisecond // From which on a reader fetches the reports from a peer too.
	unawareTime     = 5 * time.Second         // For which this entry reads the list after a peer did not know the fetch.
	quickReadPause  = 250 * time.Millisecond  // Between two reads while targets have not reported since an outage.
	quickReadTime   = 3 * time.Second         // For which that is done.
)

// reportSetter receives the latest reports of the targets.
type reportSetter interface {
	SetReports(reports map[medlargw.TargetName]medlargw.TargetReport)
}

// followReports fetches the reports of targets from peers, while this entry does not read
// the list itself, until the context ends.
func (a *Assigner) followReports(ctx context.Context) {
	for n := 0; ; n++ {
		select {
		case <-time.After(withJitter(reportsInterval)):
		case <-ctx.Done():
			return
		}
		if time.Since(a.createdAt)-time.Duration(a.lastOwnRead.Load()) < ownReadAge {
			continue
		}
		if peers := a.reportPeers(); len(peers) > 0 {
			a.fetchReports(ctx, &peers[n%len(peers)])
		}
	}
}

// reportPeers returns the entries that may know the latest reports: the readers of the
// zone, or all others if the zone's entries can't read the list.
func (a *Assigner) reportPeers() []medlargw.Member {
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

// fetchReports fetches the reports that a peer knows. They are of no use before this entry
// has the peer's list, which shows what was reported. If the peer's build does not know
// them, this entry reads the list itself for a while.
func (a *Assigner) fetchReports(ctx context.Context, from *medlargw.Member) {
	ctx, cancel := context.WithTimeout(ctx, reportsTimeout)
	defer cancel()
	reply, err := a.messenger.Fetch(ctx, from.Addr, medlargw.FetchRequest{Kind: medlargw.FetchReports}) // Hashes don't compress.
	if errors.Is(err, medlargw.ErrUnknownFetch) {
		a.unawareUntil.Store(int64(time.Since(a.createdAt) + unawareTime))
	}
	if err == nil {
		err = a.mergeReports(&reply)
	}
	if err != nil {
		a.log.Debug("fetching the reports of targets failed", zap.String("peer", string(from.Host)), zap.Error(err))
	}
}

// mergeReports takes the reports of a peer, if the list in use is not older than its.
func (a *Assigner) mergeReports(reply *medlargw.FetchReply) error {
	a.mu.Lock() // A list that is being applied goes first.
	defer a.mu.Unlock()
	list := a.list.Load()
	if list == nil || list.Version < reply.Version {
		return nil
	}
	a.reportsMu.Lock()
	defer a.reportsMu.Unlock()
	if err := a.chronicler.Merge(time.Now(), reply.Body, list.Targets); err != nil {
		return err
	}
	a.reportSetter.SetReports(a.chronicler.Reports())
	return nil
}

// hasUnawarePeers reports whether a peer of this zone did not know the reports of targets.
func (a *Assigner) hasUnawarePeers() bool {
	return time.Since(a.createdAt) < time.Duration(a.unawareUntil.Load())
}

// recordReports records the reports in a list that was read. The list must be in use: the
// reports make its content count as recent.
func (a *Assigner) recordReports(sentAt time.Time, list *medlargw.HostList) {
	if a.reportSetter == nil {
		return
	}
	a.reportsMu.Lock()
	defer a.reportsMu.Unlock()
	a.lastOwnRead.Store(int64(sentAt.Sub(a.createdAt)))
	a.chronicler.Record(time.Now(), list.Reports)
	a.reportSetter.SetReports(a.chronicler.Reports())
}

// awaitsReports reports whether targets have not reported since the given time, soon after
// it.
func (a *Assigner) awaitsReports(since time.Time) bool {
	if a.reportSetter == nil || time.Since(since) > quickReadTime {
		return false
	}
	a.reportsMu.Lock()
	defer a.reportsMu.Unlock()
	return !a.chronicler.AllSince(since)
}

// serveReports returns the reports to a peer, with the version of the list that shows them.
func (a *Assigner) serveReports() medlargw.FetchReply {
	a.reportsMu.Lock()
	defer a.reportsMu.Unlock()
	body := a.chronicler.Encode()
	return medlargw.FetchReply{Version: a.HostsVersion(), Body: body}
}
