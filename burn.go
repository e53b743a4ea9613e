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
	BurnWindows // Number of windows.
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

// Burn returns the burn rate of the error budget, given the share of jobs that
// must succeed. At a rate of 1 the budget is used up exactly at the end of the
// window. The rate is zero without jobs or without an objective.
func (c JobCounts) Burn(answered float64) float64 {
	if c.Jobs == 0 || answered <= 0 || answered >= 1 {
		return 0
	}
	return float64(c.Missed) / float64(c.Jobs) / (1 - answered)
}

// BurnSeries counts the jobs of one team in one class, by window.
type BurnSeries struct {
	Class   ClassName
	Team    TeamName
	Windows [BurnWindows]JobCounts
}

// BurnPoint counts the jobs of one class that ended in one step of time.
type BurnPoint struct {
	Class  ClassName
	Start  time.Time
	Counts JobCounts
}

// BurnStatus is what one entry has recorded of the jobs that ended there.
type BurnStatus struct {
	Since   time.Time     // Start of its history.
	Taken   time.Time     // When the entry took this snapshot.
	Step    time.Duration // Time that each point covers.
	Classes []Class       // With their objectives.
	Series  []BurnSeries
	Points  []BurnPoint // Of the last six hours.
	Other   uint64      // Jobs not counted in Series, since the number of series is limited.
}

// Burner returns the counts of ended jobs that error budgets are computed from.
// The component "reporter" implements it.
type Burner interface {
	Burn(now time.Time) BurnStatus
}

// BurnReport sums up the BurnStatus of all entries.
type BurnReport struct {
	Taken   time.Time     // When the report was made.
	Step    time.Duration // Time that each point covers.
	Entries []EntryAnswer
	Covered [BurnWindows]float64 // Share of each window that the entries' histories cover, 0 to 1.
	Lines   []BurnLine
	Points  []BurnPoint
	Other   uint64 // Jobs that are not counted in Lines.
}

// BurnLine counts the jobs of one class, of one team or of all teams.
type BurnLine struct {
	Class     ClassName
	Team      TeamName // Empty is all teams.
	Objective Objective
	Windows   [BurnWindows]JobCounts
}

// Left returns the share of the error budget of the longest window that is not
// used up. It is negative when the budget is exceeded.
func (l *BurnLine) Left() float64 {
	return 1 - l.Windows[BurnThreeDays].Burn(l.Objective.Answered)
}

// Bound reports whether the class has an objective, and so an error budget.
func (l *BurnLine) Bound() bool { return l.Objective.Answered > 0 && l.Objective.Answered < 1 }
