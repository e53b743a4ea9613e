package medlargw

import "time"

// Config is the configuration of all teams in one generation. It is immutable.
type Config struct {
	Generation uint64
	Classes    []Class // The highest priority first.
	Services   []Service
	Teams      []Team
	Routes     []Route
	Evacuated  []ZoneName // Zones whose targets get no new tasks, sorted.
}

// Class is a priority class.
type Class struct {
	Name      ClassName
	Rank      int     // Position by priority; zero is the highest.
	MinShare  float64 // Guaranteed share of the task starts, 0 to 1; zero is none.
	Objective Objective
}

// Objective is the service level objective of a class.
type Objective struct {
	SuccessRatio float64       // Share of jobs that must return all results, 0 to 1; zero is no objective.
	ResponseTime time.Duration // Longest response time of such a job; zero is no objective.
}

// Service is a kind of task that a team may submit.
type Service struct {
	Name  ServiceName
	Team  TeamName // The team that declared it.
	Class ClassName
	Limit Limit

	// Only for services whose targets run tasks under a lease.
	Rank        int           // Of the class; zero is the highest priority.
	Pool        PoolName      // The targets that run its tasks.
	MaxAttempts int           // Failed runs of one task after which its job fails; zero is one.
	SlackFactor float64       // A job's target response time is SlackFactor times its longest task plus Grace.
	Grace       time.Duration // See SlackFactor.
	Timeout     time.Duration // Deadline of a job for which the caller sets none.
}

// Route sends the requests for a host and a path prefix to a service. Of the
// routes that match, the one with the longest prefix is used.
type Route struct {
	Host    string
	Prefix  string
	Service ServiceName
}

// Team is a group of callers that share keys, a weight and a limit.
type Team struct {
	Name   TeamName
	Keys   [][32]byte // SHA-256 of each bearer token.
	Weight int        // Weight in fair sharing among the teams of one class; at least 1.
	Limit  Limit
}

// Limit bounds the use of the targets. A zero field means unlimited.
type Limit struct {
	Running int     // Tasks running at a time in the deployment.
	Starts  float64 // Task starts in the deployment, per second.
}

// Service returns the service of that name and whether there is one.
func (c *Config) Service(name ServiceName) (Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return c.Services[i], true
		}
	}
	return Service{}, false
}
