package imitator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// clock returns the time on the target's monotonic clock, which starts at zero
// with each incarnation.
func (im *Imitator) clock(t *target) time.Duration {
	return time.Duration(float64(im.now().Sub(t.startedAt)) * t.clockRate)
}

// Clock returns a target's clock.
func (im *Imitator) Clock(name medlargw.TargetName) time.Duration {
	im.mu.Lock()
	defer im.mu.Unlock()
	return im.clock(im.targets[name])
}

// endDueRuns ends the runs that are due to end, and stops the others if the
// lease has expired.
func (im *Imitator) endDueRuns(t *target) {
	now := im.now()
	leaseEnd := t.startedAt.Add(time.Duration(float64(t.leaseEnd) / t.clockRate))
	if leaseEnd.Before(now) {
		t.lapsedAt = leaseEnd
	}
	for _, r := range t.runsByStart() {
		switch {
		case !r.endsAt.IsZero() && !r.endsAt.After(now) && !r.endsAt.After(leaseEnd):
			im.endRun(t, r, r.endKind)
		case leaseEnd.Before(now):
			im.endRun(t, r, medlargw.RunStopped)
		}
	}
}

func (t *target) runsByStart() []*run {
	all := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int {
		return cmp.Or(a.startedAt.Compare(b.startedAt), cmp.Compare(a.id.Task, b.id.Task), cmp.Compare(a.id.Attempt, b.id.Attempt))
	})
	return all
}

func (im *Imitator) endRun(t *target, r *run, kind medlargw.RunEndKind) {
	delete(t.runs, r.id)
	im.activeRuns[r.id.Task]--
	im.addCoreSeconds(r, kind)
	t.highestEnded[r.id.Task] = max(t.highestEnded[r.id.Task], r.id.Attempt)
	t.lastEnd++
	t.pendingEnds = append(t.pendingEnds, medlargw.RunEnd{Sequence: t.lastEnd, Run: r.id, Kind: kind})
	if kind == medlargw.RunSucceeded {
		im.recordSuccess(t, r)
	}
	t.notifyWaiters()
}

// notifyWaiters wakes the waiting renewals.
func (t *target) notifyWaiters() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Start carries out a start order.
func (im *Imitator) Start(name medlargw.TargetName, o medlargw.StartOrder) medlargw.OrderReply {
	im.mu.Lock()
	defer im.mu.Unlock()
	t := im.targets[name]
	for _, other := range im.targets {
		im.endDueRuns(other)
	}
	reply := medlargw.OrderReply{Clock: im.clock(t)}
	switch {
	case o.FenceToken < t.fencingToken:
		reply.Status = medlargw.OrderFenced
		return reply
	case o.LeaseEnd < reply.Clock:
		reply.Status = medlargw.OrderExpired
		return reply
	}
	t.fencingToken = o.FenceToken
	t.leaseEnd = max(t.leaseEnd, min(o.LeaseEnd, reply.Clock+maxLease))
	switch {
	case t.runs[o.Run] != nil:
	case o.Run.Attempt <= t.highestEnded[o.Run.Task]:
		reply.Status = medlargw.OrderSuperseded
	default:
		im.startRun(t, &o)
	}
	return reply
}

// startRun starts a run and records violations of the rules.
func (im *Imitator) startRun(t *target, o *medlargw.StartOrder) {
	task := o.Run.Task
	im.activeRuns[task]++
	if im.activeRuns[task] > 1 {
		im.addViolation("task %s on %s: got %d runs at a time, want 1", task, t.info.Name, im.activeRuns[task])
	}
	if im.notRun[task] {
		im.addViolation("task %s: started after its job was refused", task)
	}
	of := newSubmission(task, o.Payload)
	im.recordStart(t, o.Run, of)
	if im.crashes[of] >= maxCrashes {
		im.lateStarts[of]++
		if im.lateStarts[of] > maxLateStarts {
			im.addViolation("task %s: got %d starts after %d crashes, want at most %d", task, im.lateStarts[of], maxCrashes, maxLateStarts)
		}
	}
	work := im.describe(task, o.Payload)
	used := work.Resources
	for _, r := range t.runs {
		used = used.Add(r.resources)
	}
	if !im.covers(t, used) {
		im.addViolation("room of %s: got %d thousandths of a core in use, want at most %d", t.info.Name, used.Cores, t.info.Resources.Cores)
	}
	if t.faults.SlowFactor > 0 {
		work.RunTime = time.Duration(float64(work.RunTime) * t.faults.SlowFactor)
	}
	r := &run{id: o.Run, of: of, resources: work.Resources, startedAt: im.now(), runTime: work.RunTime}
	if !t.faults.Hang {
		r.endsAt = r.startedAt.Add(work.RunTime)
	}
	if t.faults.Fail {
		r.endKind = medlargw.RunFailed
	}
	t.runs[o.Run] = r
	if work.Downtime > 0 {
		im.crashes[of]++
		im.crash(t, work.Downtime)
		return
	}
	t.notifyWaiters() // Waiting renewals must take the end of this run into account.
}

// Stop carries out a stop order.
func (im *Imitator) Stop(name medlargw.TargetName, o medlargw.StopOrder) medlargw.OrderReply {
	im.mu.Lock()
	defer im.mu.Unlock()
	t := im.targets[name]
	im.endDueRuns(t)
	reply := medlargw.OrderReply{Clock: im.clock(t)}
	if o.FenceToken < t.fencingToken {
		reply.Status = medlargw.OrderFenced
		return reply
	}
	t.fencingToken = o.FenceToken
	t.highestEnded[o.Run.Task] = max(t.highestEnded[o.Run.Task], o.Run.Attempt)
	if r := t.runs[o.Run]; r != nil {
		r.endKind = medlargw.RunStopped
		r.endsAt = im.now().Add(stopDelay)
	}
	return reply
}

// Renew renews the lease, waits for the end of a run and returns a report. It
// waits no longer than n.MaxWait.
func (im *Imitator) Renew(ctx context.Context, name medlargw.TargetName, n medlargw.Renewal) (medlargw.RunReport, error) {
	deadline := im.now().Add(n.MaxWait)
	var incarnation time.Time
	for {
		report, changed, next := im.report(name, &n)
		if incarnation.IsZero() {
			incarnation = report.IncarnationStart
		}
		if !report.IncarnationStart.Equal(incarnation) {
			return medlargw.RunReport{}, medlargw.ErrConnectionClosed
		}
		remaining := deadline.Sub(im.now())
		if report.Status != medlargw.OrderDone || len(report.Ended) > 0 || remaining <= 0 {
			return report, nil
		}
		n.LeaseEnd = 0 // The first iteration has renewed the lease.
		timer := time.NewTimer(max(min(remaining, next), time.Microsecond))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return medlargw.RunReport{}, ctx.Err()
		}
		timer.Stop()
	}
}

// Report renews the lease and returns a report at once, whatever n.MaxWait is,
// with the time until the next run is due to end.
func (im *Imitator) Report(name medlargw.TargetName, n medlargw.Renewal) (medlargw.RunReport, time.Duration) {
	report, _, next := im.report(name, &n)
	return report, next
}

// report applies the renewal. It returns the report, a channel that is closed
// when the next run starts or ends, and the time until the next run is due to
// end.
func (im *Imitator) report(name medlargw.TargetName, n *medlargw.Renewal) (medlargw.RunReport, <-chan struct{}, time.Duration) {
	im.mu.Lock()
	defer im.mu.Unlock()
	t := im.targets[name]
	im.endDueRuns(t)
	report := medlargw.RunReport{Clock: im.clock(t), IncarnationStart: t.info.IncarnationStart}
	if n.FenceToken < t.fencingToken {
		report.Status = medlargw.OrderFenced
		return report, nil, 0
	}
	t.fencingToken = n.FenceToken
	t.leaseEnd = max(t.leaseEnd, min(n.LeaseEnd, report.Clock+maxLease))
	im.recordAck(t, n.AckedSequence)
	t.pendingEnds = slices.DeleteFunc(t.pendingEnds, func(e medlargw.RunEnd) bool { return e.Sequence <= n.AckedSequence })
	report.Ended = slices.Clone(t.pendingEnds)
	next := maxLease
	now := im.now()
	for _, r := range t.runsByStart() {
		percent := 0
		if !r.endsAt.IsZero() {
			next = min(next, r.endsAt.Sub(now))
			percent = int(100 * now.Sub(r.startedAt) / max(r.runTime, 1))
		}
		report.Active = append(report.Active, medlargw.ActiveRun{Run: r.id, Percent: percent})
	}
	return report, t.changed, next
}
