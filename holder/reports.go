package holder

import (
	"time"

	"go.uber.org/zap"

	"medlargw.example/medlargw"
)

// SetReports takes the latest reports of the targets to the platform. A target whose last
// report is too old gets no new runs: it may have shrunk.
func (h *Holder) SetReports(now time.Time, reports map[medlargw.TargetName]medlargw.TargetReport) {
	h.reports = reports
	for _, t := range h.sorted {
		if r, ok := reports[t.info.Name]; ok {
			t.report = r
		}
	}
	h.countUnreported(now)
	h.place(now)
}

// Unreported returns the number of targets that get no new runs since their last reports
// are too old.
func (h *Holder) Unreported() int { return h.unreported }

// countUnreported counts the targets whose last reports are too old, and logs a change
// between none and some.
func (h *Holder) countUnreported(now time.Time) {
	n := 0
	for _, t := range h.sorted {
		if t.claimed && t.lacksReport(now, &h.settings) {
			n++
		}
	}
	if (n > 0) != (h.unreported > 0) {
		h.log.Info("targets without a recent report", zap.Int("targets", n), zap.Int("held", len(h.sorted)))
	}
	h.unreported = n
}
