package scheduler

import (
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/ranker"
)

// class is the queue of one class.
type class struct {
	rank            int
	minShare        float64
	credit          float64 // Starts that the class is owed by its minimum share.
	tasks           int
	work            time.Duration
	weight          int     // Sum over the teams with waiting tasks.
	virtualClock    float64 // Highest virtual time at which a task of a team was taken.
	teams           map[medlargw.TeamName]*teamQueue
	tierHeaps       []ranker.Ranker[*tierQueue] // By size tier.
	newestUnstarted *queuedJob                  // Head of the list of unstarted jobs, linked by age.
}

// teamQueue is the queue of one team in one class.
type teamQueue struct {
	class       *class
	name        medlargw.TeamName
	weight      int
	virtualTime float64 // Tasks taken divided by the weight.
	tasks       int
	work        time.Duration
	tiers       []*tierQueue // By size tier; nil where the team had no work yet.
}

// tierQueue is the queue of one team in one size tier of a class.
type tierQueue struct {
	teamQueue *teamQueue
	tier      int
	services  ranker.Ranker[*serviceQueue]
	heapIndex int
}

// Position implements the element interface of package ranker.
func (q *tierQueue) Position() *int { return &q.heapIndex }

// Before implements the element interface of package ranker.
func (q *tierQueue) Before(other *tierQueue) bool {
	if q.teamQueue.virtualTime != other.teamQueue.virtualTime {
		return q.teamQueue.virtualTime < other.teamQueue.virtualTime
	}
	return q.teamQueue.name < other.teamQueue.name
}

// serviceQueue is the queue of one service in a tierQueue.
type serviceQueue struct {
	tierQueue *tierQueue
	jobs      ranker.Ranker[*queuedJob]
	heapIndex int
}

// Position implements the element interface of package ranker.
func (sq *serviceQueue) Position() *int { return &sq.heapIndex }

// Before implements the element interface of package ranker.
func (sq *serviceQueue) Before(other *serviceQueue) bool {
	return sq.jobs.First().Before(other.jobs.First())
}

// queuedJob is a job from Add to Remove. It stays when no task of it waits any
// more, because Requeue may put one back.
type queuedJob struct {
	job          *medlargw.Job
	class        *class
	teamQueue    *teamQueue
	serviceQueue *serviceQueue
	sortKey      float64       // Jobs with a lower key go first.
	arrival      uint64        // Sequence number of its arrival.
	estimate     time.Duration // Expected run time of one task.
	nextNew      int           // The tasks from this index on were never taken.
	requeued     []int         // Indexes of the tasks that were put back.
	heapIndex    int
	older        *queuedJob // Links of the list of unstarted jobs.
	newer        *queuedJob
	started      bool
}

// Position implements the element interface of package ranker.
func (j *queuedJob) Position() *int { return &j.heapIndex }

// Before implements the element interface of package ranker.
func (j *queuedJob) Before(other *queuedJob) bool {
	if j.sortKey != other.sortKey {
		return j.sortKey < other.sortKey
	}
	return j.arrival < other.arrival
}

func (j *queuedJob) waiting() int { return len(j.job.Tasks) - j.nextNew + len(j.requeued) }

// firstTask returns the index of the task to start next.
func (j *queuedJob) firstTask() int {
	if n := len(j.requeued); n > 0 {
		return j.requeued[n-1]
	}
	return j.nextNew
}

func (j *queuedJob) takeTask() {
	if n := len(j.requeued); n > 0 {
		j.requeued = j.requeued[:n-1]
		return
	}
	j.nextNew++
}

// link adds a job to the list of unstarted jobs.
func (c *class) link(j *queuedJob) {
	j.older = c.newestUnstarted
	if c.newestUnstarted != nil {
		c.newestUnstarted.newer = j
	}
	c.newestUnstarted = j
}

// unlink removes a job from the list of unstarted jobs.
func (c *class) unlink(j *queuedJob) {
	if j.started {
		return
	}
	j.started = true
	if j.newer != nil {
		j.newer.older = j.older
	} else {
		c.newestUnstarted = j.older
	}
	if j.older != nil {
		j.older.newer = j.newer
	}
	j.older = nil
	j.newer = nil
}

// addWork adds a number of waiting tasks, which may be negative, to the team
// and its class.
func (t *teamQueue) addWork(tasks int, estimate time.Duration) {
	before := t.tasks
	t.tasks += tasks
	t.class.tasks += tasks
	work := time.Duration(tasks) * estimate
	t.work += work
	t.class.work += work
	switch {
	case before == 0 && t.tasks > 0:
		t.class.weight += t.weight
	case before > 0 && t.tasks == 0:
		t.class.weight -= t.weight
	}
}
