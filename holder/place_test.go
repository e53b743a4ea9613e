package holder_test

import (
	"slices"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

// TestOrderOfLateTasks queues tasks behind a full target. Late ones must start after
// those of their rank that are on time, and before less urgent ones: a late task is
// mostly the last of a job whose other tasks have run.
func TestOrderOfLateTasks(t *testing.T) {
	x := newFixture(t)
	_, a := x.offer(1, 32000)
	x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{Clock: time.Second}, nil)
	waiting := func(id medlargw.TaskID, rank int, left time.Duration) medlargw.OfferedTask {
		return medlargw.OfferedTask{
			ID: id, Run: medlargw.RunID{Task: string(rune('a' + id)), Attempt: 1}, Pool: "pool", Rank: rank, MayQueue: true,
			Resources: medlargw.Resources{Cores: 32000}, Estimate: 100 * time.Millisecond, TimeToObjective: left, TimeToDeadline: 5 * time.Second,
		}
	}
	const late = 50 * time.Millisecond
	x.h.HandleOffer(x.now, 0, &medlargw.Offer{From: medlargw.Member{Host: "home", Incarnation: 7}, Tasks: []medlargw.OfferedTask{
		waiting(2, 1, late), waiting(3, 2, 2*time.Second), waiting(4, 1, 2*time.Second), waiting(5, 0, late), waiting(6, 2, late),
	}})
	var got []medlargw.TaskID
	running := a.Starts[0].Order.Run
	x.takeActions()
	for end := uint64(1); end <= 5; end++ {
		a := x.report(medlargw.RunReport{Clock: time.Second, IncarnationStart: start, Ended: []medlargw.RunEnd{{Sequence: end, Run: running}}})
		if len(a.Starts) != 1 {
			t.Fatalf("starts after end %d: got %d, want 1", end, len(a.Starts))
		}
		running = a.Starts[0].Order.Run
		got = append(got, medlargw.TaskID(running.Task[0]-'a'))
		x.h.StartAnswered(x.now, &a.Starts[0], medlargw.OrderReply{Clock: time.Second}, nil)
		x.h.ConfirmReports(x.now, a.Reports)
		x.takeActions()
	}
	if want := []medlargw.TaskID{5, 4, 2, 3, 6}; !slices.Equal(got, want) {
		t.Errorf("order of the starts: got %v, want %v", got, want)
	}
}
