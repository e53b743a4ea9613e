package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"medlargw.example/medlargw"
)

func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet)
		least float64 // Share of the jobs that complete, at least.
	}{
		{"calm", func(*fleet) {}, 0.95},
		{"a home and holder is lost", func(f *fleet) {
			f.stop(f.entries[0])
			time.Sleep(500 * time.Millisecond)
			f.assign()
		}, 0.6},
		{"a home and holder is lost and comes back", func(f *fleet) {
			f.stop(f.entries[0])
			time.Sleep(400 * time.Millisecond)
			f.assign()
			time.Sleep(600 * time.Millisecond)
			f.add(f.entries[0].host)
			f.assign()
		}, 0.6},
		{"a zone has no entry for a while", func(f *fleet) {
			f.stop(f.entries[2])
			time.Sleep(400 * time.Millisecond)
			f.assign()
			time.Sleep(2 * time.Second)
			f.add(f.entries[2].host)
			f.assign()
		}, 0.5},
		{"planned stop of a holder", func(f *fleet) {
			e := f.entries[0]
			f.assign(e)
			time.Sleep(4 * time.Second)
			f.stop(e)
			f.assign()
		}, 0.9},
		{"planned stop of a holder that takes back what it handed over", func(f *fleet) {
			e := f.entries[0]
			f.assign(e)
			time.Sleep(20 * time.Millisecond)
			f.assign()
			time.Sleep(20 * time.Millisecond)
			f.assign(f.entries[1])
		}, 0.8},
		{"planned stop whose transfers are not answered", func(f *fleet) {
			e := f.entries[0]
			f.w.setCut("a2", "a1", true)
			f.assign(e)
			time.Sleep(300 * time.Millisecond)
			f.w.setCut("a2", "a1", false)
			time.Sleep(3 * time.Second)
			f.stop(e)
			f.assign()
		}, 0.7},
		{"answers of holders are lost for a moment, again and again", func(f *fleet) {
			for range 6 {
				f.w.setCut("b1", "a1", true)
				f.w.setCut("a2", "a1", true)
				time.Sleep(650 * time.Millisecond)
				f.w.setCut("b1", "a1", false)
				f.w.setCut("a2", "a1", false)
				time.Sleep(300 * time.Millisecond)
			}
		}, 0.5},
		{"two entries see each other gone", func(f *fleet) {
			f.cutHost("a1", "a2", true)
			f.assign()
			time.Sleep(3 * time.Second)
			f.cutHost("a1", "a2", false)
			f.assign()
		}, 0.3},
		{"orders carried out 3 s late", func(f *fleet) {
			f.w.targets.Set("a1-t0", medlargw.TargetFaults{Late: 3 * time.Second})
			time.Sleep(2 * time.Second)
			f.w.targets.Set("a1-t0", medlargw.TargetFaults{Late: 0})
		}, 0.8},
		{"orders carried out 12 s late", func(f *fleet) {
			f.w.targets.Set("b1-t0", medlargw.TargetFaults{Late: 12 * time.Second})
			time.Sleep(2 * time.Second)
			f.w.targets.Set("b1-t0", medlargw.TargetFaults{})
		}, 0.8},
		{"targets taken over while orders are on their way", func(f *fleet) {
			for i := range 5 {
				f.w.targets.Set(medlargw.TargetName(fmt.Sprintf("a1-t%d", i)), medlargw.TargetFaults{Late: 700 * time.Millisecond})
			}
			time.Sleep(100 * time.Millisecond)
			f.stop(f.entries[0])
			f.assign()
			time.Sleep(100 * time.Millisecond)
			for i := range 5 {
				f.w.targets.Set(medlargw.TargetName(fmt.Sprintf("a1-t%d", i)), medlargw.TargetFaults{})
			}
		}, 0.6},
		{"target cut off and back", func(f *fleet) {
			for _, host := range []string{"a1", "a2", "b1"} {
				f.cutHost(host, "a1-t1", true)
			}
			time.Sleep(1500 * time.Millisecond)
			for _, host := range []string{"a1", "a2", "b1"} {
				f.cutHost(host, "a1-t1", false)
			}
		}, 0.8},
		{"answers of a target are lost", func(f *fleet) {
			for _, host := range []string{"a1", "a2", "b1"} {
				f.w.setCut("a2-t1", host, true)
			}
			time.Sleep(1500 * time.Millisecond)
			for _, host := range []string{"a1", "a2", "b1"} {
				f.w.setCut("a2-t1", host, false)
			}
		}, 0.8},
		{"new incarnation at the old address", func(f *fleet) {
			f.w.targets.Crash("a1-t0")
			time.Sleep(300 * time.Millisecond)
			f.w.targets.Crash("b1-t0")
		}, 0.8},
		{"a home and a holder are cut off from each other, one way", func(f *fleet) {
			f.w.setCut("a1", "b1", true)
			time.Sleep(1500 * time.Millisecond)
			f.w.setCut("a1", "b1", false)
			time.Sleep(500 * time.Millisecond)
			f.w.setCut("a2", "a1", true)
			time.Sleep(1500 * time.Millisecond)
			f.w.setCut("a2", "a1", false)
		}, 0.5},
		{"a home and holder stands still past every lease", func(f *fleet) {
			f.entries[0].clock.freeze(3 * time.Second)
			time.Sleep(600 * time.Millisecond)
			f.cutHost("a1", "a2", true)
			f.cutHost("a1", "b1", true)
			f.assign()
			time.Sleep(2500 * time.Millisecond)
			f.cutHost("a1", "a2", false)
			f.cutHost("a1", "b1", false)
			f.assign()
		}, 0.4},
		{"a home and holder stands still for less than a lease", func(f *fleet) {
			for range 3 {
				f.entries[1].clock.freeze(600 * time.Millisecond)
				time.Sleep(1500 * time.Millisecond)
			}
		}, 0.6},
		{"targets hang, are slow and fail", func(f *fleet) {
			f.w.targets.Set("a1-t0", medlargw.TargetFaults{Hang: true})
			f.w.targets.Set("a2-t0", medlargw.TargetFaults{Slow: 8})
			f.w.targets.Set("b1-t0", medlargw.TargetFaults{Fail: true})
			time.Sleep(3 * time.Second)
			f.w.targets.Set("a1-t0", medlargw.TargetFaults{})
			f.w.targets.Set("a2-t0", medlargw.TargetFaults{})
			f.w.targets.Set("b1-t0", medlargw.TargetFaults{})
		}, 0.6},
	}
	for _, test := range tests {
		for seed := range seeds() {
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				inFleet(t, seed, []string{"a1", "a2", "b1"}, func(f *fleet) {
					go func() {
						time.Sleep(time.Second)
						test.fault(f)
					}()
					f.load(8*time.Second, 6)
					time.Sleep(8 * time.Second)
					for _, broken := range f.w.targets.Broken() {
						t.Error(broken)
					}
					if f.open != 0 {
						t.Errorf("jobs without an outcome: got %d, want 0", f.open)
					}
					total := 0
					for _, n := range f.ended {
						total += n
					}
					if got := float64(f.ended[""]) / float64(total); got < test.least {
						t.Errorf("share of complete jobs: got %.2f of %d, want at least %.2f: %v", got, total, test.least, f.ended)
					}
				})
			})
		}
	}
}
