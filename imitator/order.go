package imitator

import (
	"context"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// clock returns the target's steady clock.
func (im *Imitator) clock(t *target) time.Duration { return im.now().Sub(t.began) }

// advance ends the runs whose time has come.
func (im *Imitator) advance(t *target) {
	now := im.now()
	lapse := t.began.Add(t.until)
	for _, r := range t.inOrder() {
		switch {
		case !r.ends.IsZero() && !r.ends.After(now) && !r.ends.After(lapse):
			im.end(t, r, r.kind)
		case lapse.Before(now):
			im.end(t, r, medlargw.RunStopped)
		}
	}
}

func (t *target) inOrder() []*run {
	all := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int { return a.started.Compare(b.started) })
	return all
}

func (im *Imitator) end(t *target, r *run, kind medlargw.RunEndKind) {
	delete(t.runs, r.id)
	im.alive[r.id.Task]--
	im.spend(r, kind)
	t.high[r.id.Task] = max(t.high[r.id.Task], r.id.Attempt)
	t.last++
	t.ends = append(t.ends, medlargw.RunEnd{Number: t.last, Run: r.id, Kind: kind})
	t.stir()
}

// stir lets waiting renewals look again.
func (t *target) stir() {
	close(t.wake)
	t.wake = make(chan struct{})
}

// Start carries out a start order.
func (im *Imitator) Start(name medlargw.TargetName, o medlargw.StartOrder) medlargw.OrderReply {
	im.mu.Lock()
	defer im.mu.Unlock()
	t := im.targets[name]
	for _, other := range im.targets {
		im.advance(other)
	}
	reply := medlargw.OrderReply{Clock: im.clock(t)}
	switch {
	case o.Fence < t.fence:
		reply.Verdict = medlargw.VerdictFenced
		return reply
	case o.Until < reply.Clock:
		reply.Verdict = medlargw.VerdictLate
		return reply
	}
	t.fence = o.Fence
	t.until = max(t.until, min(o.Until, reply.Clock+longest))
	switch {
	case t.runs[o.Run] != nil:
	case o.Run.Attempt <= t.high[o.Run.Task]:
		reply.Verdict = medlargw.VerdictOld
	default:
		im.begin(t, &o)
	}
	return reply
}

// begin starts a run and checks the rules.
func (im *Imitator) begin(t *target, o *medlargw.StartOrder) {
	task := o.Run.Task
	im.alive[task]++
	if im.alive[task] > 1 {
		im.breaks("task %s on %s: got %d runs at a time, want 1", task, t.info.Name, im.alive[task])
	}
	if im.refused[task] {
		im.breaks("task %s: started after its job was refused", task)
	}
	work := im.describe(task, o.Payload)
	used := work.Room
	for _, r := range t.runs {
		used = used.Plus(r.room)
	}
	if !t.info.Room.Holds(used) {
		im.breaks("room of %s: got %d thousandths of a core in use, want at most %d", t.info.Name, used.Cores, t.info.Room.Cores)
	}
	if t.fault.Slow > 0 {
		work.Time = time.Duration(float64(work.Time) * t.fault.Slow)
	}
	r := &run{id: o.Run, room: work.Room, started: im.now(), work: work.Time}
	if !t.fault.Hang {
		r.ends = r.started.Add(work.Time)
	}
	if t.fault.Fail {
		r.kind = medlargw.RunFailed
	}
	t.runs[o.Run] = r
	t.stir() // Whoever waits for the next end must know of this one.
}

// Stop carries out a stop order.
func (im *Imitator) Stop(name medlargw.TargetName, o medlargw.StopOrder) medlargw.OrderReply {
	im.mu.Lock()
	defer im.mu.Unlock()
	t := im.targets[name]
	im.advance(t)
	reply := medlargw.OrderReply{Clock: im.clock(t)}
	if o.Fence < t.fence {
		reply.Verdict = medlargw.VerdictFenced
		return reply
	}
	t.fence = o.Fence
	t.high[o.Run.Task] = max(t.high[o.Run.Task], o.Run.Attempt)
	if r := t.runs[o.Run]; r != nil {
		r.kind = medlargw.RunStopped
		r.ends = im.now().Add(stopTime)
	}
	return reply
}

// Renew renews the lease, waits for an end and reports.
func (im *Imitator) Renew(ctx context.Context, name medlargw.TargetName, n medlargw.Renewal) (medlargw.RunReport, error) {
	deadline := im.now().Add(n.Wait)
	for {
		report, wake, next := im.report(name, &n)
		left := deadline.Sub(im.now())
		if report.Verdict != medlargw.VerdictDone || len(report.Ended) > 0 || left <= 0 {
			return report, nil
		}
		n.Until = 0 // It was renewed when the order came.
		timer := time.NewTimer(max(min(left, next), time.Microsecond))
		select {
		case <-wake:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return medlargw.RunReport{}, ctx.Err()
		}
		timer.Stop()
	}
}

// report returns the report, a channel that is closed at the next end, and the
// time until one is due.
func (im *Imitator) report(name medlargw.TargetName, n *medlargw.Renewal) (medlargw.RunReport, <-chan struct{}, time.Duration) {
	im.mu.Lock()
	defer im.mu.Unlock()
	t := im.targets[name]
	im.advance(t)
	report := medlargw.RunReport{Clock: im.clock(t), Born: t.info.Born}
	if n.Fence < t.fence {
		report.Verdict = medlargw.VerdictFenced
		return report, nil, 0
	}
	t.fence = n.Fence
	t.until = max(t.until, min(n.Until, report.Clock+longest))
	t.ends = slices.DeleteFunc(t.ends, func(e medlargw.RunEnd) bool { return e.Number <= n.Seen })
	report.Ended = slices.Clone(t.ends)
	next := longest
	now := im.now()
	for _, r := range t.inOrder() {
		percent := 0
		if !r.ends.IsZero() {
			next = min(next, r.ends.Sub(now))
			percent = int(100 * now.Sub(r.started) / max(r.work, 1))
		}
		report.Active = append(report.Active, medlargw.ActiveRun{Run: r.id, Percent: percent})
	}
	return report, t.wake, next
}
