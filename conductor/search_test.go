package conductor_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"pgregory.net/rapid"

	"medlargw.example/medlargw"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("17")
	}
	os.Exit(m.Run())
}

// searchFault is a fault or a change of the group. Entry, Other and Target are
// the numbers of an entry, of another entry and of a target.
type searchFault struct {
	Kind   disturbance
	At     time.Duration // After the start of the jobs.
	Entry  int
	Other  int
	Target int
	Length time.Duration
	Return time.Duration // Until a stopped entry starts again.
}

// Times of a check. Jobs and faults begin within searchActive, and the messages
// are disturbed until then.
const (
	searchWarmUp   = 1200 * time.Millisecond
	searchActive   = 4 * time.Second
	searchLast     = 5 * time.Second // Time without jobs in which the last messages arrive.
	searchLongest  = time.Minute
	searchEntries  = 3
	searchMaxSteps = 1 << 20
	searchSpread   = 3                // Factor of the times of jobs while targets are resized.
	searchDeadline = 15 * time.Second // Of a job that crashes targets.
	maxAvoided     = 4
	searchSlack    = 50                      // Of a job that crashes targets.
	resetLead      = 20 * time.Millisecond   // From the reset of connections to a cut.
	searchReported = 4300 * time.Millisecond // How long the resources in the host list are relied on: 4.5 s less the time of an order.
	refusalLead    = 300 * time.Millisecond  // From the first order that is carried out late to a cut that refuses connections.
)

// TestRulesOfTargetsUnderFaults checks that no target starts a task while another
// one runs it, nor after its job was answered as not run, nor beyond the target's
// resources; that all tasks of a complete job have succeeded; that all jobs get an
// outcome; and that the actions after an event come to an end. Offers, reports,
// transfers, orders, renewals and their answers are lost, late or overtake each
// other, and entries and targets stop, start and are cut off.
func TestRulesOfTargetsUnderFaults(t *testing.T) {
	t.Parallel()
	search(t, rapid.Bool(), func(w *searchWorld) []string { return slices.Concat(w.targets.Violations(), w.problems, w.endless) })
}

// TestRulesOfTargetsWithLateGrants guards against a run that starts, or goes on, after
// the time in its order has passed: targets carry start orders and renewals out
// seconds late, and count their leases from then.
func TestRulesOfTargetsWithLateGrants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		runSearch(t, &searchPlan{idempotent: rapid.Bool().Draw(t, "idempotent"), kinds: drawnWithLateGrants}, func(w *searchWorld) []string {
			return slices.Concat(w.targets.Violations(), w.problems, w.endless)
		})
	})
}

// TestNoRunAfterAcknowledgedSuccess checks that no task is started after a run of
// it has succeeded in the same submission of its job, if that end is acknowledged
// to the target: a holder has then read an end of which the home does not know.
// The jobs are not idempotent.
func TestNoRunAfterAcknowledgedSuccess(t *testing.T) {
	t.Parallel()
	search(t, rapid.Just(false), func(w *searchWorld) []string { return w.targets.Repeats() })
}

// TestRulesOfTargetsThatCrashAndResize checks the same rules while tasks crash the
// targets that start them, and while the resources of targets shrink and grow with
// runs on them and at times nobody can read the host list: no task is started a third time
// after its third crash, and no start brings a target over resources that it has had for
// longer than holders need to learn of them.
func TestRulesOfTargetsThatCrashAndResize(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		runSearch(t, &searchPlan{idempotent: rapid.Bool().Draw(t, "idempotent"), crashAndResize: true, kinds: drawnWithResizes}, func(w *searchWorld) []string {
			return slices.Concat(w.targets.Violations(), w.problems, w.endless)
		})
	})
}

// search plays drawn courses of events, each until a rule is broken.
func search(t *testing.T, idempotent *rapid.Generator[bool], broken func(w *searchWorld) []string) {
	rapid.Check(t, func(t *rapid.T) {
		runSearch(t, &searchPlan{idempotent: idempotent.Draw(t, "idempotent"), kinds: drawnDisturbances}, broken)
	})
}

// searchPlan says what is drawn in a search.
type searchPlan struct {
	idempotent     bool          // The jobs are idempotent.
	crashAndResize bool          // Tasks crash targets, and targets are resized.
	returns        bool          // Callers of refused jobs submit them again.
	kinds          []disturbance // Of the faults.
}

// runSearch plays one drawn course of events. It fails at the first broken rule.
func runSearch(t *rapid.T, p *searchPlan, broken func(w *searchWorld) []string) *searchWorld {
	w := newSearchWorld(rapid.Uint64().Draw(t, "seed"), t.Logf)
	w.idempotent, w.returns, w.reports = p.idempotent, p.returns, p.crashAndResize
	w.suspect = drawDuration(t, 300, 1200, "suspect")
	w.indirect = rapid.Bool().Draw(t, "indirect")
	w.listed = rapid.Bool().Draw(t, "listed")
	w.unused = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "unhealthy")
	fates := drawFates(t)
	zones := rapid.SampledFrom([][]string{{"a", "a", "a"}, {"a", "a", "b"}}).Draw(t, "zones")
	targets := rapid.IntRange(1, 4).Draw(t, "targets")
	if p.crashAndResize {
		targets += maxAvoided // A task avoids that many of those that it has crashed.
	}
	for i := range targets {
		name := medlargw.TargetName(fmt.Sprintf("t%d", i))
		w.names = append(w.names, name)
		w.targets.Add(medlargw.Target{
			Name: name, Zone: medlargw.ZoneName(zones[i%searchEntries]), Pool: "pool",
			Resources: medlargw.Resources{Cores: 32000, Memory: 1 << 20},
		})
		w.targets.SetClockRate(name, []float64{1, 0.98}[i%2])
	}
	log := searchLogger(t)
	for i := range searchEntries {
		w.addEntry(fmt.Sprintf("e%d", i), zones[i], i, log)
	}
	jobs := rapid.SliceOfN(rapid.Custom(drawJob), 1, 10).Draw(t, "jobs")
	faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) searchFault { return drawFault(t, p.kinds) }), 0, 8).Draw(t, "faults")
	if p.crashAndResize {
		w.drawCrashes(t, jobs)
	}
	w.after(searchWarmUp, func() {
		w.fates = fates
		for _, j := range jobs {
			w.addCaller(j)
		}
		for _, f := range faults {
			w.after(f.At, func() { w.disturb(f, log) })
		}
	})
	w.after(searchWarmUp+searchActive+2*time.Second, func() { w.calm(log) })
	w.run(t, broken)
	return w
}

// run runs all events until the callers have their answers and nothing is under
// way.
func (w *searchWorld) run(t *rapid.T, broken func(w *searchWorld) []string) {
	last := w.start.Add(w.longest)
	for range searchMaxSteps {
		w.step()
		if all := broken(w); len(all) > 0 {
			t.Fatalf("after %v: %s", w.now.Sub(w.start), all[0])
		}
		if last.Sub(w.now) > searchLast && w.now.Sub(w.start) > searchWarmUp+searchActive && w.allEnded() {
			last = w.now.Add(searchLast)
		}
		if w.now.After(last) {
			break
		}
	}
	for _, c := range w.callers {
		if !c.ended {
			t.Fatalf("%s: got no outcome in %v, want one", c.key, w.now.Sub(w.start))
		}
	}
}

func (w *searchWorld) allEnded() bool {
	for _, c := range w.callers {
		if !c.ended {
			return false
		}
	}
	return len(w.callers) > 0
}

func drawDuration(t *rapid.T, least, most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * time.Millisecond
}

func drawJob(t *rapid.T) searchJob {
	return searchJob{
		At:       drawDuration(t, 0, int(searchActive.Milliseconds()), "at"),
		Entry:    rapid.IntRange(0, 1).Draw(t, "entry"),
		Tasks:    rapid.IntRange(1, 3).Draw(t, "tasks"),
		Work:     drawDuration(t, 100, 1200, "work"),
		Cores:    int64(rapid.SampledFrom([]int{8000, 16000}).Draw(t, "cores")),
		Deadline: time.Duration(rapid.SampledFrom([]int{1500, 4000, 6000}).Draw(t, "deadline")) * time.Millisecond,
		Slack:    rapid.SampledFrom([]float64{1.6, 12}).Draw(t, "slack"),
	}
}

func drawFault(t *rapid.T, kinds []disturbance) searchFault {
	return searchFault{
		Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
		At:     drawDuration(t, 0, int(searchActive.Milliseconds()), "at"),
		Entry:  rapid.IntRange(0, searchEntries-1).Draw(t, "entry"),
		Other:  rapid.IntRange(1, searchEntries-1).Draw(t, "other"),
		Target: rapid.IntRange(0, 3).Draw(t, "target"),
		Length: drawDuration(t, 10, 2500, "length"),
		Return: drawDuration(t, 50, 3000, "return"),
	}
}

// drawFates draws what happens to all messages, and to up to two kinds of calls
// more often.
func drawFates(t *rapid.T) [messageKinds]messageFate {
	var fates [messageKinds]messageFate
	base := messageFate{
		lost: rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "lost"),
		late: rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "late"),
		slow: rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "slow"),

		starved: rapid.SampledFrom([]float64{0, 0, 0.05, 0.2}).Draw(t, "starved"),
	}
	base.maxDelay = drawDuration(t, 5, 900, "delay")
	for k := range fates {
		fates[k] = base
	}
	for range rapid.IntRange(0, 2).Draw(t, "special") {
		k := 2 * rapid.IntRange(0, int(messageKinds)/2).Draw(t, "message")
		for i := k; i < min(k+2, int(messageKinds)); i++ {
			fates[i] = messageFate{
				lost:     rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "lost"),
				late:     rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "late"),
				slow:     rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "slow"),
				starved:  rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "starved"),
				maxDelay: drawDuration(t, 5, 900, "delay"),
			}
		}
	}
	return fates
}

// drawCrashes draws which jobs have a task that crashes targets, and when targets are
// resized.
func (w *searchWorld) drawCrashes(t *rapid.T, jobs []searchJob) {
	w.silentCrashes = rapid.Bool().Draw(t, "silent")
	w.longest = 2 * searchLongest
	w.downtime = drawDuration(t, 500, 3000, "downtime")
	for i := range jobs {
		jobs[i].At *= searchSpread // Some start after holders must have learned of all resizes.
		if jobs[i].Deadly = rapid.SampledFrom([]bool{true, false, false}).Draw(t, "deadly"); jobs[i].Deadly {
			jobs[i].Deadline, jobs[i].Slack = searchDeadline, searchSlack
		}
	}
	type resize struct {
		target int
		at     time.Duration
		cores  int64
	}
	resizes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) resize {
		return resize{
			rapid.IntRange(0, len(w.names)-1).Draw(t, "target"), drawDuration(t, 0, int(searchActive.Milliseconds()), "at"),
			int64(rapid.SampledFrom([]int{0, 8000, 16000, 32000, 48000}).Draw(t, "cores")),
		}
	}), 0, 6).Draw(t, "resizes")
	for _, r := range resizes {
		w.after(searchWarmUp+r.at, func() {
			w.log("%s has %d thousandths of a core", w.names[r.target], r.cores)
			w.targets.SetResources(w.names[r.target], medlargw.Resources{Cores: r.cores, Memory: 1 << 20})
		})
	}
}

// restart starts an entry that has stopped as a new incarnation.
func (w *searchWorld) restart(number int, log *zap.Logger) {
	if old := w.entries[number]; old.stopped {
		w.addEntry(old.host, string(old.peer.Zone), number, log)
	}
}

// calm ends all faults.
func (w *searchWorld) calm(log *zap.Logger) {
	w.log("calm")
	w.fates = [messageKinds]messageFate{}
	clear(w.cuts)
	clear(w.delayed)
	clear(w.lateGrants)
	clear(w.unlisted)
	for i := range w.entries {
		w.restart(i, log)
		if e := w.entries[i]; e.peer.Leaving {
			e.setLeaving(false)
		}
	}
	for _, name := range w.names {
		w.targets.SetFaults(name, medlargw.TargetFaults{})
	}
}

// searchLogger returns a logger that writes to the log of the check if
// MEDLARGW_TRACE is set.
func searchLogger(t *rapid.T) *zap.Logger {
	if os.Getenv("MEDLARGW_TRACE") == "" {
		return zap.NewNop()
	}
	encoder := zapcore.NewConsoleEncoder(zapcore.EncoderConfig{MessageKey: "msg", NameKey: "logger", EncodeName: zapcore.FullNameEncoder})
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(t.Output()), zap.DebugLevel))
}
