package holder

import (
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// SetTold takes when targets have reported their resources to the platform, at the
// earliest. A target whose last report is too old gets no new runs: it may have shrunk.
func (h *Holder) SetTold(now time.Time, told map[medlargw.TargetName]time.Time) {
	h.told = told
	for _, t := range h.sorted {
		if at := told[t.info.Name]; at.After(t.toldAt) {
			t.toldAt = at
		}
	}
	h.countUntold(now)
	h.place(now)
}

// Untold returns the number of targets that get no new runs since their last reports are
// too old.
func (h *Holder) Untold() int { return h.untold }

// countUntold counts the targets whose last reports are too old, and logs a change between
// none and some.
func (h *Holder) countUntold(now time.Time) {
	n := 0
	for _, t := range h.sorted {
		if t.isUntold(now, &h.settings) {
			n++
		}
	}
	if (n > 0) != (h.untold > 0) {
		h.log.Info("targets without a recent report", zap.Int("targets", n), zap.Int("held", len(h.sorted)))
	}
	h.untold = n
}
