package medlargw

import "time"

// BurnWindow is a length of time over which a burn rate is computed.
type BurnWindow int

// The windows, the shortest first.
const (
	BurnFiveMinutes BurnWindow = iota
	BurnHour
	BurnSixHours
	BurnThreeDays
	BurnWindowCount // Number of windows.
)

// Length returns the length of the window.
func (w BurnWindow) Length() time.Duration {
	return [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}[w]
}

// String returns the name used in reports.
func (w BurnWindow) String() string { return [...]string{"5m", "1h", "6h", "3d"}[w] }

// JobCounts are the numbers of ended jobs, and of those that missed the
// objective of their class.
type JobCounts struct {
	Jobs   uint64
	Missed uint64
}

// Add adds the other counts to c.
func (c *JobCounts) Add(other JobCounts) {
	c.Jobs += other.Jobs
	c.Missed += other.Missed
}

// BurnRate returns the burn rate of the error budget, given the share of jobs
// that must return all results. At a rate of 1 the budget is used up exactly at
// the end of the window. The rate is zero without jobs or without an objective.
func (c JobCounts) BurnRate(successRatio float64) float64 {
	if c.Jobs == 0 || successRatio <= 0 || successRatio >= 1 {
		return 0
	}
	return float64(c.Missed) / float64(c.Jobs) / (1 - successRatio)
}

// BurnSeries counts the jobs of one team in one class, by window.
type BurnSeries struct {
	Class   ClassName
	Team    TeamName
	Windows [BurnWindowCount]JobCounts
}

// BurnPoint counts the jobs of one class that ended in one step of time.
type BurnPoint struct {
	Class  ClassName
	Start  time.Time
	Counts JobCounts
}

// BurnStatus is what one entry has recorded of the jobs that ended there.
type BurnStatus struct {
	Since     time.Time     // Start of its history.
	TakenAt   time.Time     // When the entry took this snapshot.
	Step      time.Duration // Time that each point covers.
	Classes   []Class       // With their objectives.
	Series    []BurnSeries
	Points    []BurnPoint // Of the last six hours.
	Uncounted uint64      // Jobs not counted in Series, since the number of series is limited.
}

// BurnInspector returns the counts of ended jobs from which error budgets are
// computed. The component "reporter" implements it.
type BurnInspector interface {
	BurnStatus(now time.Time) BurnStatus
}

// BurnReport sums up the BurnStatus of all entries.
type BurnReport struct {
	TakenAt   time.Time     // When the report was made.
	Step      time.Duration // Time that each point covers.
	Entries   []EntryResponse
	Coverage  [BurnWindowCount]float64 // Share of each window that the entries' histories cover, 0 to 1.
	Rows      []BurnRow
	Points    []BurnPoint
	Uncounted uint64 // Jobs that are not counted in Rows.
}

// BurnRow counts the jobs of one class, of one team or of all teams.
type BurnRow struct {
	Class     ClassName
	Team      TeamName // Empty is all teams.
	Objective Objective
	Windows   [BurnWindowCount]JobCounts
}

// BudgetLeft returns the share of the error budget of the longest window that
// is not used up. It is negative when the budget is exceeded.
func (r *BurnRow) BudgetLeft() float64 {
	return 1 - r.Windows[BurnThreeDays].BurnRate(r.Objective.SuccessRatio)
}

// HasObjective reports whether the class has an objective, and so an error
// budget.
func (r *BurnRow) HasObjective() bool {
	return r.Objective.SuccessRatio > 0 && r.Objective.SuccessRatio < 1
}
