package apportioner_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/apportioner"
)

// targetNames returns names like those that a platform gives.
func targetNames(n int) []medlargw.TargetName {
	r := rand.New(rand.NewPCG(1, 2))
	var all []medlargw.TargetName
	for range n {
		all = append(all, medlargw.TargetName(fmt.Sprintf("i-%010x", r.Uint64()>>24)))
	}
	return all
}

func peers(capacities ...int64) []medlargw.Peer {
	var all []medlargw.Peer
	for i, c := range capacities {
		all = append(all, medlargw.Peer{
			Host: medlargw.HostName(fmt.Sprintf("entry-%d", i)), Zone: "z", Incarnation: medlargw.Incarnation(1 + i), Capacity: c,
		})
	}
	return all
}

// mixedZone has hosts that differ by 5.6 times in processor, in one zone.
func mixedZone() []medlargw.Peer {
	return peers(800, 800, 480, 480, 480, 144, 144, 144, 144, 144, 144, 144)
}

func ownersOf(targets []medlargw.TargetName, entries []medlargw.Peer) map[medlargw.TargetName]medlargw.HostName {
	a := apportioner.New()
	a.Update("z", targets, entries)
	owners := map[medlargw.TargetName]medlargw.HostName{}
	for _, t := range targets {
		if p, ok := a.Owner("z", t); ok {
			owners[t] = p.Host
		}
	}
	return owners
}

// TestEqualCapacity compares the owners with those of the builds without
// capacities, which the entries of such builds still compute during a planned
// replacement.
func TestEqualCapacity(t *testing.T) {
	tests := []struct {
		name    string
		entries []medlargw.Peer
	}{
		{"not stated", peers(0, 0, 0, 0, 0, 0)},
		{"equal", peers(480, 480, 480, 480, 480, 480)},
		{"one not stated", peers(800, 800, 0, 144, 144, 144)},
		{"one below zero", peers(800, 800, -1, 144, 144, 144)},
		{"one entry", peers(480)},
		{"no entry", nil},
	}
	targets := targetNames(350)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := ownersOf(targets, test.entries)
			for _, target := range targets {
				var want medlargw.HostName
				var highest uint64
				for _, p := range test.entries {
					if h := xxhash.Sum64String(string(target) + "/" + string(p.Host)); h >= highest {
						want, highest = p.Host, h
					}
				}
				if got[target] != want {
					t.Fatalf("owner of %s: got %q, want %q", target, got[target], want)
				}
			}
		})
	}
}

// TestShares checks that each entry gets about its share by capacity, and never
// more than the bound, in a zone whose hosts differ by 5.6 times in processor.
// With equal shares the small ones have no processor left in a burst.
func TestShares(t *testing.T) {
	entries := mixedZone()
	for _, n := range []int{1, 3, 17, 117, 350, 1100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			a := apportioner.New()
			a.Update("z", targetNames(n), entries)
			owned := 0
			for i := range entries {
				s := a.Share("z", entries[i].Incarnation)
				owned += s.Owned
				if got, most := float64(s.Owned), math.Ceil(1.25*(1+1.0/8)*s.Due); got > most {
					t.Errorf("targets of %s: got %v, want at most %v, its share is %.1f", entries[i].Host, got, most, s.Due)
				}
				if got, least := float64(s.Owned), s.Due/2-2; got < least {
					t.Errorf("targets of %s: got %v, want at least %.1f, its share is %.1f", entries[i].Host, got, least, s.Due)
				}
			}
			if owned != n {
				t.Errorf("targets owned: got %d, want %d", owned, n)
			}
		})
	}
}

// TestOwnersDoNotDependOnOrder checks that entries which list each other and the
// targets in another order agree on the owners, also after another history.
func TestOwnersDoNotDependOnOrder(t *testing.T) {
	entries, targets := mixedZone(), targetNames(117)
	want := ownersOf(targets, entries)
	r := rand.New(rand.NewPCG(3, 4))
	a := apportioner.New()
	for range 20 {
		some := slices.Clone(targets)
		r.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
		r.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		a.Update("z", some[:r.IntN(len(some))], entries[:1+r.IntN(len(entries))])
		a.Update("z", some, entries)
		for _, target := range targets {
			if got, _ := a.Owner("z", target); got.Host != want[target] {
				t.Fatalf("owner of %s: got %s, want %s", target, got.Host, want[target])
			}
		}
	}
}

// TestMovement counts the targets that get another owner when the entries, their
// capacities or the targets change. A target that moves is handed over with its
// runs, which costs messages.
func TestMovement(t *testing.T) {
	const n = 117
	targets := targetNames(n + 20)
	tests := []struct {
		name   string
		change func(i int) (targets []medlargw.TargetName, entries []medlargw.Peer)
		most   float64 // Mean number of targets that move without need.
	}{
		{"small entry gone", func(i int) ([]medlargw.TargetName, []medlargw.Peer) {
			return targets[:n], slices.Delete(mixedZone(), 5+i%7, 6+i%7)
		}, 2},
		{"large entry gone", func(i int) ([]medlargw.TargetName, []medlargw.Peer) {
			return targets[:n], slices.Delete(mixedZone(), i%2, 1+i%2)
		}, 4},
		{"capacity lowered by a quarter", func(i int) ([]medlargw.TargetName, []medlargw.Peer) {
			entries := mixedZone()
			entries[i%5].Capacity = entries[i%5].Capacity * 3 / 4
			return targets[:n], entries
		}, 6},
		{"target gone", func(i int) ([]medlargw.TargetName, []medlargw.Peer) {
			return slices.Delete(slices.Clone(targets[:n]), i, i+1), mixedZone()
		}, 1},
		{"target added", func(i int) ([]medlargw.TargetName, []medlargw.Peer) {
			return append(slices.Clone(targets[:n]), targets[n+i]), mixedZone()
		}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := ownersOf(targets[:n], mixedZone())
			const changes = 20
			moved, lost, worst := 0, 0, 0
			for i := range changes {
				some, entries := test.change(i)
				after := ownersOf(some, entries)
				m := 0
				for target, owner := range after {
					present := slices.ContainsFunc(entries, func(p medlargw.Peer) bool { return p.Host == before[target] })
					switch {
					case before[target] == "" || before[target] == owner:
					case !present:
						lost++
					default:
						m++
					}
				}
				moved += m
				worst = max(worst, m)
			}
			mean := float64(moved) / changes
			t.Logf("moved between entries that stay: %.1f, at most %d; owner gone: %.1f", mean, worst, float64(lost)/changes)
			if mean > test.most {
				t.Errorf("targets moved: got %.1f, want at most %.1f", mean, test.most)
			}
		})
	}
}

func TestCapacity(t *testing.T) {
	settings := func(cores float64, memory, link int64) medlargw.Settings {
		s := medlargw.Settings{Capacity: medlargw.CapacitySettings{Shares: medlargw.SharesByCapacity, Cores: cores, Memory: memory}}
		s.Lease.Link = link
		return s
	}
	off := settings(0.8, 536, 0)
	off.Capacity.Shares = medlargw.SharesEqual
	tests := []struct {
		name     string
		settings medlargw.Settings
		want     int64
	}{
		{"processor only", settings(0.8, 0, 0), 800},
		{"processor binds", settings(0.144, 144, 19*medlargw.BytesPerMegabit), 144},
		{"link binds", settings(0.8, 536, 10*medlargw.BytesPerMegabit), 500},
		{"memory binds", settings(0.8, 96, 0), 500},
		{"hardly any memory", settings(0.8, 16, 0), 1},
		{"not stated", settings(0, 536, 1e6), 0},
		{"too much", settings(1e9, 0, 0), medlargw.MaxCapacity},
		{"turned off", off, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := apportioner.Capacity(&test.settings); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

// BenchmarkUpdate measures the cost of a change of the entries of one zone.
func BenchmarkUpdate(b *testing.B) {
	for _, size := range []struct{ entries, targets int }{{12, 117}, {100, 367}} {
		for _, weighted := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/targets=%d/weighted=%v", size.entries, size.targets, weighted), func(b *testing.B) {
				var entries []medlargw.Peer
				for i := range size.entries {
					p := peers(480)[0]
					p.Host = medlargw.HostName(fmt.Sprintf("entry-%d", i))
					if weighted && i%2 == 0 {
						p.Capacity = 144
					}
					entries = append(entries, p)
				}
				targets := targetNames(size.targets)
				slices.Sort(targets)
				a := apportioner.New()
				for i := range b.N {
					a.Update("z", targets, entries[i%2:])
				}
			})
		}
	}
}
