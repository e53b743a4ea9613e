package scheduler

import (
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/ranker"
)

// class holds the waiting work of one class.
type class struct {
	rank    int
	floor   float64
	credit  float64 // Starts that the floor still owes to the class.
	tasks   int
	work    time.Duration
	weight  int     // Of the members with work.
	clock   float64 // Virtual time of the member served last.
	members map[medlargw.TeamName]*member
	heaps   []ranker.Ranker[*part] // By size tier.
	newest  *entry                 // Jobs without a start, linked by age.
}

// member is one team in one class.
type member struct {
	class   *class
	name    medlargw.TeamName
	weight  int
	virtual float64 // Tasks taken divided by the weight.
	tasks   int
	work    time.Duration
	parts   []*part // By size tier; nil where the team never had work.
}

// part is the work of a member in one size tier.
type part struct {
	member *member
	tier   int
	lanes  ranker.Ranker[*lane]
	index  int
}

// Position is part of a ranker's element.
func (p *part) Position() *int { return &p.index }

// Before is part of a ranker's element.
func (p *part) Before(other *part) bool {
	if p.member.virtual != other.member.virtual {
		return p.member.virtual < other.member.virtual
	}
	return p.member.name < other.member.name
}

// lane is the work of a part in one service.
type lane struct {
	part  *part
	jobs  ranker.Ranker[*entry]
	index int
}

// Position is part of a ranker's element.
func (l *lane) Position() *int { return &l.index }

// Before is part of a ranker's element.
func (l *lane) Before(other *lane) bool { return l.jobs.First().Before(other.jobs.First()) }

// entry is a job that has not been removed.
type entry struct {
	job      *medlargw.Job
	class    *class
	member   *member
	lane     *lane
	key      float64 // The lower, the sooner.
	sequence uint64  // Order of arrival.
	estimate time.Duration
	next     int   // The tasks from next on were never taken.
	back     []int // Tasks that were put back.
	index    int
	older    *entry // Links of the jobs without a start.
	newer    *entry
	started  bool
}

// Position is part of a ranker's element.
func (e *entry) Position() *int { return &e.index }

// Before is part of a ranker's element.
func (e *entry) Before(other *entry) bool {
	if e.key != other.key {
		return e.key < other.key
	}
	return e.sequence < other.sequence
}

func (e *entry) waiting() int { return len(e.job.Tasks) - e.next + len(e.back) }

// first returns the position of the task to start next.
func (e *entry) first() int {
	if n := len(e.back); n > 0 {
		return e.back[n-1]
	}
	return e.next
}

func (e *entry) take() {
	if n := len(e.back); n > 0 {
		e.back = e.back[:n-1]
		return
	}
	e.next++
}

// link adds a job to those without a start.
func (c *class) link(e *entry) {
	e.older = c.newest
	if c.newest != nil {
		c.newest.newer = e
	}
	c.newest = e
}

// unlink takes a job from those without a start.
func (c *class) unlink(e *entry) {
	if e.started {
		return
	}
	e.started = true
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		c.newest = e.older
	}
	if e.older != nil {
		e.older.newer = e.newer
	}
	e.older = nil
	e.newer = nil
}

// count changes the waiting work of the member and its class.
func (m *member) count(tasks int, estimate time.Duration) {
	was := m.tasks
	m.tasks += tasks
	m.class.tasks += tasks
	work := time.Duration(tasks) * estimate
	m.work += work
	m.class.work += work
	switch {
	case was == 0 && m.tasks > 0:
		m.class.weight += m.weight
	case was > 0 && m.tasks == 0:
		m.class.weight -= m.weight
	}
}
