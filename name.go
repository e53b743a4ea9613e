package medlargw

// TeamName names a team of callers, unique in a deployment.
type TeamName string

// ClassName names a priority class, unique in a deployment.
type ClassName string

// ServiceName names a service, unique in a deployment.
type ServiceName string

// TargetName names a target, unique in a deployment.
type TargetName string

// HostName names an entry host, unique in a deployment.
type HostName string

// ZoneName names an availability zone, unique in a deployment.
type ZoneName string

// JobID identifies a job within one incarnation of its home entry.
type JobID uint64

// AttemptID identifies one attempt. It is random, and the target must return it
// with its answer.
type AttemptID string

// Incarnation identifies one process of an entry host, from its start to its
// end. It is random.
type Incarnation uint64
