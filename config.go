package medlargw

import "time"

// Config is the operators' configuration of one generation. It is immutable.
type Config struct {
	Generation uint64
	Classes    []Class // From the highest precedence to the lowest.
	Services   []Service
	Teams      []Team
	Routes     []Route
}

// Class is a priority class.
type Class struct {
	Name      ClassName
	Rank      int     // Zero is the highest.
	Floor     float64 // Guaranteed share of the starts, 0 to 1; zero is none.
	Objective Objective
}

// Objective is what a class promises its teams.
type Objective struct {
	Answered float64       // Share of jobs answered whole, 0 to 1; zero is none.
	Response time.Duration // Response time of an answered job; zero is none.
}

// Service is a kind of task that a team may submit.
type Service struct {
	Name  ServiceName
	Team  TeamName // The team that declared it.
	Class ClassName
	Limit Limit

	// Of services whose targets are under lease.
	Rank     int           // Of its class; zero is the highest.
	Pool     PoolName      // The targets that run its tasks.
	Attempts int           // Runs of one task that may fail; zero is one.
	Slack    float64       // Objective of a job: Slack times its longest task, and Grace.
	Grace    time.Duration // See Slack.
	Timeout  time.Duration // Longest time to an answer when the caller names none.
}

// Route sends the requests for a host and a path to a service. Of the routes
// that match, the one with the longest prefix counts.
type Route struct {
	Host    string
	Prefix  string
	Service ServiceName
}

// Team is a group of callers that shares keys, a weight and a limit.
type Team struct {
	Name   TeamName
	Keys   [][32]byte // SHA-256 of each bearer token.
	Weight int        // Share among the teams of one class; at least 1.
	Limit  Limit
}

// Limit bounds the use of the targets. A zero field is no bound.
type Limit struct {
	Running int     // Tasks running at a time in the deployment.
	Starts  float64 // Task starts per second in the deployment.
}

// Service returns the service of that name.
func (c *Config) Service(name ServiceName) (Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return c.Services[i], true
		}
	}
	return Service{}, false
}
