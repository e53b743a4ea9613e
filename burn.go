package medlargw

import "time"

// BurnWindow is a time over which a burn rate is given.
type BurnWindow int

// The windows, from the shortest.
const (
	BurnFiveMinutes BurnWindow = iota
	BurnHour
	BurnSixHours
	BurnThreeDays
	BurnWindows // The number of windows.
)

// Length returns the length of the window.
func (w BurnWindow) Length() time.Duration {
	return [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}[w]
}

// String returns the name used in reports.
func (w BurnWindow) String() string { return [...]string{"5m", "1h", "6h", "3d"}[w] }

// JobCounts are ended jobs, and those of them that missed the objective.
type JobCounts struct {
	Jobs   uint64
	Missed uint64
}

// Add adds other counts.
func (c *JobCounts) Add(other JobCounts) {
	c.Jobs += other.Jobs
	c.Missed += other.Missed
}

// Burn returns how many times faster than allowed the error budget is used up;
// one uses it up exactly. Without jobs or without an objective it is zero.
func (c JobCounts) Burn(answered float64) float64 {
	if c.Jobs == 0 || answered <= 0 || answered >= 1 {
		return 0
	}
	return float64(c.Missed) / float64(c.Jobs) / (1 - answered)
}

// BurnSeries is what one team's jobs of one class came to.
type BurnSeries struct {
	Class   ClassName
	Team    TeamName
	Windows [BurnWindows]JobCounts
}

// BurnPoint is what the jobs of one class came to in one step of time.
type BurnPoint struct {
	Class  ClassName
	Start  time.Time
	Counts JobCounts
}

// BurnStatus is what one entry knows of its jobs.
type BurnStatus struct {
	Since   time.Time // Start of its history.
	Taken   time.Time
	Step    time.Duration // Of the points.
	Classes []Class       // With their objectives.
	Series  []BurnSeries
	Points  []BurnPoint // Of the last six hours.
	Other   uint64      // Jobs that found no place in the bounded memory.
}

// Burner gives what is known of the jobs' ends. The part "reporter" does.
type Burner interface {
	Burn(now time.Time) BurnStatus
}

// BurnReport is what all entries together know of the jobs.
type BurnReport struct {
	Taken   time.Time
	Step    time.Duration // Of the points.
	Entries []EntryAnswer
	Covered [BurnWindows]float64 // Share of each window of which the entries know.
	Lines   []BurnLine
	Points  []BurnPoint
	Other   uint64 // Jobs that are in no line.
}

// BurnLine is what the jobs of one class came to, of one team or of all.
type BurnLine struct {
	Class     ClassName
	Team      TeamName // Empty is all teams.
	Objective Objective
	Windows   [BurnWindows]JobCounts
}

// Left returns the share of the error budget of the longest window that is
// left; it is negative when more is used up.
func (l *BurnLine) Left() float64 {
	return 1 - l.Windows[BurnThreeDays].Burn(l.Objective.Answered)
}

// Bound reports whether the class has an objective to burn.
func (l *BurnLine) Bound() bool { return l.Objective.Answered > 0 && l.Objective.Answered < 1 }
