package scheduler

import (
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// agingShare is the part of a job's waiting time that counts against the work
// of jobs that came later, so that no job is passed over for ever.
const agingShare = 0.25

// key returns what orders the jobs of one lane. Since all jobs age alike, the
// time of arrival stands for the age, and a key changes with its job only.
func (s *Scheduler) key(e *entry) float64 {
	arrived := agingShare * time.Duration(e.job.Arrived.UnixNano()).Seconds()
	switch s.order {
	case medlargw.OrderArrival:
		return 0
	case medlargw.OrderFewest:
		return float64(e.waiting())
	case medlargw.OrderLeast:
		return (time.Duration(e.waiting()) * e.estimate).Seconds() + arrived
	}
	panic("job order out of range")
}

// attach finds the lane of the job, and makes it where there is none.
func (s *Scheduler) attach(e *entry) {
	m := s.member(e.class, e.job.Team)
	tier, _ := slices.BinarySearch(s.sizes, e.job.Size)
	if m.parts == nil {
		m.parts = make([]*part, len(s.sizes)+1)
	}
	p := m.parts[tier]
	if p == nil {
		p = &part{member: m, tier: tier}
		m.parts[tier] = p
	}
	e.member = m
	e.lane = s.lane(p, e.job.Service)
}

func (s *Scheduler) member(c *class, team medlargw.TeamName) *member {
	m := c.members[team]
	if m == nil {
		m = &member{class: c, name: team, weight: max(1, s.weights[team]), virtual: c.clock}
		c.members[team] = m
		s.teams[team] = append(s.teams[team], m)
	}
	return m
}

func (s *Scheduler) lane(p *part, service medlargw.ServiceName) *lane {
	name := medlargw.Lane{Team: p.member.name, Service: service}
	for _, l := range s.lanes[name] {
		if l.part == p {
			return l
		}
	}
	l := &lane{part: p}
	s.lanes[name] = append(s.lanes[name], l)
	return l
}

// insert lets the waiting tasks of an attached job wait.
func (s *Scheduler) insert(e *entry) {
	m := e.member
	if m.tasks == 0 {
		// An idle team gains no credit for the time it did not wait.
		m.virtual = max(m.virtual, m.class.clock)
	}
	m.count(e.waiting(), e.estimate)
	s.moved(e)
}

// moved puts the job where its waiting tasks now belong.
func (s *Scheduler) moved(e *entry) {
	if e.waiting() == 0 {
		s.detach(e)
		return
	}
	e.key = s.key(e)
	e.lane.jobs.Set(e)
	s.arrange(e.lane, e.job.Service)
}

// detach takes the job out of its lane.
func (s *Scheduler) detach(e *entry) {
	l := e.lane
	if !l.jobs.Holds(e) {
		return
	}
	if l.jobs.Len() == 1 {
		l.part.lanes.Remove(l) // While it can still be compared.
	}
	l.jobs.Remove(e)
	s.arrange(l, e.job.Service)
}

// arrange keeps the lane in its part exactly while it has work that is not
// blocked, and the part in its class while it has such a lane.
func (s *Scheduler) arrange(l *lane, service medlargw.ServiceName) {
	p := l.part
	team := p.member.name
	if l.jobs.Len() > 0 && !s.blocked[medlargw.Lane{Team: team, Service: service}] {
		p.lanes.Set(l)
	} else {
		p.lanes.Remove(l)
	}
	s.arrangePart(p)
}

func (s *Scheduler) arrangePart(p *part) {
	h := &p.member.class.heaps[p.tier]
	if p.lanes.Len() > 0 && !s.blocked[medlargw.Lane{Team: p.member.name}] {
		h.Set(p)
	} else {
		h.Remove(p)
	}
}

// Block passes over the lane until Unblock.
func (s *Scheduler) Block(lane medlargw.Lane) {
	s.blocked[lane] = true
	s.arrangeAll(lane)
}

// Unblock lets the lane's work start again.
func (s *Scheduler) Unblock(lane medlargw.Lane) {
	if !s.blocked[lane] {
		return
	}
	delete(s.blocked, lane)
	s.arrangeAll(lane)
}

func (s *Scheduler) arrangeAll(name medlargw.Lane) {
	if name.Service != "" {
		for _, l := range s.lanes[name] {
			s.arrange(l, name.Service)
		}
		return
	}
	for _, m := range s.teams[name.Team] {
		for _, p := range m.parts {
			if p != nil {
				s.arrangePart(p)
			}
		}
	}
}
