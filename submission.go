package medlargw

import "time"

// Submission is a caller's request to run a job.
type Submission struct {
	Service          ServiceName
	Ticket           string // Empty if the caller uses none.
	Tasks            []Task
	Idempotent       bool          // Whether it is harmless to run a task more than once.
	Deadline         time.Duration // From the arrival; zero is the longest that is allowed.
	EstimatedRuntime time.Duration // The caller's estimate of one task's run time; zero is unknown.
	TaskMemory       int64         // Memory that the caller declares for one task, in bytes; zero is unknown.
}

// RefusedError is the error of a request that is not served.
type RefusedError struct {
	Code       Code
	Message    string        // Details for people.
	RetryAfter time.Duration // When the caller may try again; zero sets no time.
}

var _ error = (*RefusedError)(nil)

// Error returns the code and the message.
func (r *RefusedError) Error() string { return string(r.Code) + ": " + r.Message }

// ConfigHead is the root of the configuration in the store. It refers to one
// immutable version of each team's declarations.
type ConfigHead struct {
	Generation uint64 // Increases with each publish.
	Teams      []TeamVersion
	PublishIDs []string // IDs of the last publishes, one per generation, the newest last.
	Retired    []RetiredVersion
	Evacuated  []ZoneName // Zones whose targets get no new tasks, sorted.
}

// TeamVersion identifies one version of a team's declarations.
type TeamVersion struct {
	Team TeamName
	Hash string // Of the stored value.
}

// TeamConfig is what one team has declared.
type TeamConfig struct {
	Team     Team
	Classes  []Class
	Services []Service
	Routes   []Route
	Grants   []Grant // Only of the operators' team.
}

// ConfigSource returns the configuration that is in use. The component
// "watcher" implements it.
type ConfigSource interface {
	// Config returns nil if there is no configuration yet.
	Config() *Config
}
