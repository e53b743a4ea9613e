package attributor_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/attributor"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	quiet = 4 * time.Second
	inUse = 48 // Targets.
)

// observe records runs and crashes at a rate for a while: short, long and rare are
// the kinds of tasks, and the guilty one is on each target that crashes; an empty one
// means that targets crash by themselves. It returns the services that were confined
// at some time.
func observe(a *attributor.Attributor, d time.Duration, crashesPerSecond float64, guilty medlargw.ServiceName) []medlargw.ServiceName {
	kinds := []struct {
		service medlargw.ServiceName
		rate    float64 // Runs per second.
		runTime time.Duration
	}{{"short", 200, 60 * time.Millisecond}, {"long", 25, 900 * time.Millisecond}, {"rare", 5, 200 * time.Millisecond}}
	rnd := rand.New(rand.NewPCG(11, 1))
	var confined []medlargw.ServiceName
	for now := start; now.Sub(start) < d; now = now.Add(10 * time.Millisecond) {
		a.RecordTargets(now, inUse, 10*time.Millisecond)
		for _, k := range kinds {
			for n := k.rate / 100; rnd.Float64() < n; n-- {
				a.RecordRun(now, k.service, k.runTime)
			}
		}
		if rnd.Float64() < crashesPerSecond/100 {
			var suspects []medlargw.CrashSuspect
			for _, k := range kinds { // Neighbours, by the share of the targets with such a run.
				if rnd.Float64() < k.rate*k.runTime.Seconds()/inUse {
					suspects = append(suspects, medlargw.CrashSuspect{Service: k.service, Age: time.Duration(rnd.Float64() * float64(k.runTime))})
				}
			}
			if guilty != "" {
				suspects = append(suspects, medlargw.CrashSuspect{Service: guilty, Age: 12 * time.Millisecond})
			}
			a.RecordCrash(now, suspects, a.Shares(now, suspects))
		}
		a.Update(now)
		for _, service := range a.Confined() {
			if !slices.Contains(confined, service) {
				confined = append(confined, service)
			}
		}
	}
	return confined
}

// TestConfinedServices guards against a service that takes the targets of all others
// with it, and against services that are confined for crashes that they don't cause.
func TestConfinedServices(t *testing.T) {
	tests := []struct {
		name    string
		crashes float64 // Per second.
		guilty  medlargw.ServiceName
		want    []medlargw.ServiceName
	}{
		{"short tasks crash targets", 6, "short", []medlargw.ServiceName{"short"}},
		{"long tasks crash targets", 6, "long", []medlargw.ServiceName{"long"}},
		{"rare tasks crash targets", 5, "rare", []medlargw.ServiceName{"rare"}},
		{"targets crash by themselves", 6, "", nil},
		{"seldom", 0.4, "short", nil},
		{"one in fifty seconds and targets", 1, "short", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := observe(attributor.New(quiet), 20*time.Second, test.crashes, test.guilty); !slices.Equal(got, test.want) {
				t.Errorf("confined: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestConfinedServiceIsReleased asserts that a service is released after a time without
// a crash and not before, and that a setting of zero confines none.
func TestConfinedServiceIsReleased(t *testing.T) {
	a := attributor.New(quiet)
	observe(a, 10*time.Second, 6, "short")
	if !a.IsConfined("short") {
		t.Fatal("confined: got false, want true")
	}
	end := start.Add(10 * time.Second)
	for now := end; now.Before(end.Add(6 * time.Second)); now = now.Add(100 * time.Millisecond) {
		a.RecordRun(now, "short", 60*time.Millisecond)
		a.RecordRun(now, "long", 900*time.Millisecond)
		a.Update(now)
		if since := now.Sub(end); since < quiet/2 && !a.IsConfined("short") {
			t.Fatalf("confined after %v: got false, want true", since)
		}
	}
	if a.IsConfined("short") {
		t.Error("confined after 6s: got true, want false")
	}
	if got := observe(attributor.New(0), 10*time.Second, 6, "short"); len(got) > 0 {
		t.Errorf("confined without a quiet time: got %v, want none", got)
	}
}

// TestCrashesOfPeersCount guards against entries that each wait for crashes of their
// own: one that has seen none confines a service as soon as its peers have, and a peer
// that is silent counts no more.
func TestCrashesOfPeersCount(t *testing.T) {
	peer, a := attributor.New(quiet), attributor.New(quiet)
	observe(peer, 5*time.Second, 6, "short")
	now := start.Add(5 * time.Second)
	a.SetPeer(now, 2, peer.Report(now))
	if a.Update(now); !a.IsConfined("short") {
		t.Error("confined by the crashes of a peer: got false, want true")
	}
	now = now.Add(5 * time.Second)
	if a.Update(now); a.IsConfined("short") {
		t.Error("confined by a peer that is silent: got true, want false")
	}
	if got := a.Report(now); len(got) > 0 {
		t.Errorf("report without crashes: got %v, want none", got)
	}
}
