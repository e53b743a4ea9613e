package medlargw

import "math"

// Rating is the speed of a target by nature, as its holders have learned it.
type Rating struct {
	Slowness float64 // Run time of a task on it, divided by that on a target of usual speed.
	Runs     float64 // Number of runs that it was learned from; zero is not rated.
}

// Valid reports whether the rating has values that a holder can have learned.
func (r Rating) Valid() bool {
	return r.Slowness > 0 && !math.IsInf(r.Slowness, 0) && r.Runs > 0 && !math.IsInf(r.Runs, 0)
}
