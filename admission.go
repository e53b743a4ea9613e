package medlargw

import "time"

// Prospect is what a job that asks for resources can expect.
type Prospect int

const (
	// ProspectOnTime means that the job is expected to meet its objective.
	ProspectOnTime Prospect = iota
	// ProspectLate means that the job is expected to miss its objective and to end
	// before its deadline.
	ProspectLate
	// ProspectUseless means that the job can't end before its deadline.
	ProspectUseless
)

// String returns the name used in logs.
func (p Prospect) String() string { return [...]string{"on-time", "late", "useless"}[p] }

// RefusalReason is the rule by which a job is refused before a task of it was
// started.
type RefusalReason string

// The reasons, as they are used in logs and metrics.
const (
	RefusalNone       RefusalReason = ""
	RefusalWait       RefusalReason = "wait"       // Its expected start is too late.
	RefusalCongestion RefusalReason = "congestion" // A job that goes before it has waited too long.
	RefusalPrecedence RefusalReason = "precedence" // A more urgent job was refused a moment ago.
	RefusalTooLate    RefusalReason = "too-late"   // It was admitted and has not started in time.
	RefusalHopeless   RefusalReason = "hopeless"   // One task takes longer than the time until the deadline.
	RefusalEvacuated  RefusalReason = "evacuated"  // All zones of its pool are evacuated.
	RefusalUnreported RefusalReason = "unreported" // None of its targets has reported its resources recently.
	RefusalTooLarge   RefusalReason = "too-large"  // No target of its pool has the resources for one task.
	RefusalUnread     RefusalReason = "unread"     // Its request may have waited unread for too long.
	RefusalMemory     RefusalReason = "memory"     // Its home holds as many tasks as its memory allows.
)

// Message returns the message for the caller.
func (r RefusalReason) Message() string {
	switch r {
	case RefusalEvacuated:
		return "all zones of the targets are evacuated"
	case RefusalUnreported:
		return "no target has reported its resources to the platform recently"
	case RefusalTooLarge:
		return "no target has the resources for a task"
	case RefusalUnread:
		return "the request was read late"
	case RefusalMemory:
		return "the entry holds too many tasks"
	default:
		return "no room in time"
	}
}

// AdmissionRequest is a job that asks for resources, with all that its home knows
// of them.
type AdmissionRequest struct {
	Pool        PoolName
	Rank        int
	Tasks       int
	Owed        bool          // Whether the job was admitted by the minimum share of its class.
	Resources   Resources     // That one task takes of a target.
	Estimate    time.Duration // Expected run time of one task.
	Arrived     time.Time
	LatestStart time.Time // Latest start with which it meets its objective.
	Deadline    time.Time
	Learning    bool             // Whether the home has just started, and knows few of the holders' resources.
	Starting    bool             // Whether the home has started in the last seconds.
	Evacuated   bool             // Whether all targets of the pool are in evacuated zones.
	TooLarge    bool             // Whether no target of the host list has the resources for one task.
	Unreported  bool             // Whether targets of this entry have not reported their resources recently.
	LinkWait    time.Duration    // Time until the home's network link can take its tasks.
	Holders     []*PoolResources // The latest reports of the holders that accept offers.
	Waiting     []WaitingJob     // The home's other jobs of the pool that wait for resources.
}

// WaitingJob is a job of which no task has started, and for which no holder had
// resources when it was offered.
type WaitingJob struct {
	Rank            int
	Since           time.Time     // When its home learned that no holder had resources.
	TimeToObjective time.Duration // From its arrival.
}

// Admission is the answer to an AdmissionRequest.
type Admission struct {
	Prospect Prospect
	Wait     time.Duration // Expected time until the first start; zero if resources are free.
	Refusal  RefusalReason // RefusalNone if the job is admitted.
	Owed     bool          // Whether it is admitted only by the minimum share of its class.
}

// InvitationRequest is a refused job whose caller is to be told when to come back.
type InvitationRequest struct {
	Pool PoolName
	Rank int
	Work int64         // Of all tasks, in thousandths of a core times milliseconds.
	Wait time.Duration // Expected time until a start, were the job admitted now.

	Learning bool             // As in AdmissionRequest.
	Holders  []*PoolResources // The latest reports of the holders that accept offers.
	Peers    []*PoolResources // The recent reports of all other entries, as homes.
}
