package medlargw

import "time"

// CrashState is what is known of the crash of a target under a run.
type CrashState int

const (
	// CrashNone means that the target has not crashed, or that its end was planned.
	CrashNone CrashState = iota
	// CrashPossible means that the run ended with the last lease of a silent target,
	// which may have crashed or may be cut off.
	CrashPossible
	// CrashProven means that the process of the target has ended under the run, and
	// nobody had planned it.
	CrashProven
	// CrashLikely means that the target refused connections until its last lease ended.
	// Its process has ended, or a cut rejects connections to it.
	CrashLikely
)

// String returns the name used in logs.
func (s CrashState) String() string {
	switch s {
	case CrashNone:
		return "none"
	case CrashPossible:
		return "possible"
	case CrashProven:
		return "proven"
	case CrashLikely:
		return "likely"
	}
	return "unknown"
}

// CrashSuspect is a run on a target that has crashed.
type CrashSuspect struct {
	Service ServiceName
	Age     time.Duration // From the start of the run to the crash.
	Suspect bool          // Its task has probably crashed a target before.
}

// ServiceCrashes is what an entry has seen of the crashes under the runs of one
// service, or by the targets themselves if the service is empty. Both sums are
// decayed, so that they tell of the last seconds.
type ServiceCrashes struct {
	Service   ServiceName
	Blame     float64       // Sum of the shares in crashes.
	Exposure  float64       // What the blame is compared with: of a service, grows with the number and run time of its runs; of targets, the sum of their seconds in use.
	SinceLast time.Duration // Since the last crash in which its runs had most of the blame.
}
