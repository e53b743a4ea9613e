package medlargw

import "time"

// Submission is a job as a caller asks for it.
type Submission struct {
	Service    ServiceName
	Ticket     string // Empty when the caller fetched none.
	Tasks      []Task
	Idempotent bool
	Deadline   time.Duration // From its arrival; zero is the longest allowed.
	Runtime    time.Duration // The caller's estimate for one task; zero is unknown.
	Size       int64         // The declared memory of one task, in bytes.
}

// Refused is the error of a request that can't be served.
type Refused struct {
	Code       Code
	Message    string
	RetryAfter time.Duration // When to come back; zero says nothing.
}

var _ error = (*Refused)(nil)

// Error returns the code and the message.
func (r *Refused) Error() string { return string(r.Code) + ": " + r.Message }

// Head is the root of the configuration in the store.
type Head struct {
	Generation uint64 // Rises with each publish.
	Teams      []TeamVersion
	Publishes  []string // Ids of the last publishes, one per generation, the newest last.
	Retired    []RetiredVersion
}

// TeamVersion names the value of one team.
type TeamVersion struct {
	Team TeamName
	Hash string
}

// TeamConfig is what one team declares.
type TeamConfig struct {
	Team     Team
	Classes  []Class
	Services []Service
	Routes   []Route
	Grants   []Grant // Of the operators' team only.
}

// Configured gives the configuration in force, or nil when there is none yet.
type Configured interface {
	Config() *Config
}
