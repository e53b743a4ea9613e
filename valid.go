package medlargw

import (
	"errors"
	"math"
	"time"
)

// Bounds of what a target states of itself. No machine has as much, and the sums over all
// targets, and of the work that they do, don't wrap below them. The memory is at most
// MaxMemory.
const (
	MaxTargetCores        = 1 << 16
	MaxTargetAccelerators = 1 << 16
	MaxTargetSlots        = 1 << 20
	MaxTimeLeft           = 365 * 24 * time.Hour // Until a target is warm, or has left.
)

// lastTime is the last time that can be counted in nanoseconds since 1970.
var lastTime = time.Unix(0, math.MaxInt64)

// IsPossible reports whether a machine can have the resources.
func (r Resources) IsPossible() bool {
	return r.Cores >= 0 && r.Cores <= 1000*MaxTargetCores && r.Memory >= 0 && r.Memory <= MaxMemory &&
		r.Accelerators >= 0 && r.Accelerators <= MaxTargetAccelerators
}

// Validate returns an error for a target that can't be used, whoever has described it.
func (t *Target) Validate() error {
	switch {
	case !t.Resources.IsPossible() || t.Memory < 0:
		return errors.New("resources are more than a machine has, or below zero")
	case t.Slots < 0 || t.Slots > MaxTargetSlots:
		return errors.New("slots are more than a machine has, or below zero")
	case !t.IncarnationStart.IsZero() && (t.IncarnationStart.Unix() < 0 || t.IncarnationStart.After(lastTime)):
		return errors.New("start of the incarnation is out of range")
	}
	return nil
}
