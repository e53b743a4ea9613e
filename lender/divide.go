package lender

import (
	"cmp"
	"slices"

	"medlargw.example/medlargw"
)

// idleRank is the rank of what is held without use; it comes after all classes.
const idleRank = 1 << 20

// wish is what one party would use of a pool.
type wish struct {
	host    medlargw.HostName
	classes []medlargw.ClassDemand
	most    int // Never gets more.
	got     int
}

// divide gives out the amount in order of class. Inside a class each party
// gets in proportion to what it runs and has waiting, and never more than it
// can use.
func divide(amount int, wishes []wish) {
	slices.SortFunc(wishes, func(a, b wish) int { return cmp.Compare(a.host, b.host) })
	for _, rank := range ranks(wishes) {
		if amount <= 0 {
			return
		}
		amount -= divideClass(amount, rank, wishes)
	}
}

func ranks(wishes []wish) []int {
	var all []int
	for _, w := range wishes {
		for _, c := range w.classes {
			all = append(all, c.Rank)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// divideClass returns what one class got.
func divideClass(amount, rank int, wishes []wish) int {
	wanted := make([]int, len(wishes))
	sum := 0
	for i := range wishes {
		wanted[i] = wishes[i].wants(rank)
		sum += wanted[i]
	}
	given := 0
	for i := range wishes {
		n := min(wanted[i], wishes[i].most-wishes[i].got)
		if sum > amount {
			n = min(n, amount*wanted[i]/sum)
		}
		wishes[i].got += n
		wanted[i] = min(wanted[i]-n, wishes[i].most-wishes[i].got)
		given += n
	}
	// What rounding and the bounds left over goes round one by one.
	for moved := true; moved && given < amount; {
		moved = false
		for i := range wishes {
			if wanted[i] > 0 && given < amount {
				wanted[i]--
				wishes[i].got++
				given++
				moved = true
			}
		}
	}
	return given
}

func (w *wish) wants(rank int) int {
	for _, c := range w.classes {
		if c.Rank == rank {
			return c.Tasks + c.Running
		}
	}
	return 0
}

// entitlements returns what each party of the pool should have. This entry is
// the one without a name.
func (p *pool) entitlements() []wish {
	total := p.total()
	wishes := []wish{{classes: p.own, most: total}}
	for host, n := range p.needs {
		wishes = append(wishes, wish{host: host, classes: n.classes, most: n.most})
	}
	divide(total, wishes)
	return wishes
}

// entitled returns what the host should have.
func (p *pool) entitled(host medlargw.HostName) int {
	for _, w := range p.entitlements() {
		if w.host == host {
			return w.got
		}
	}
	return 0
}

// reserve returns what the borrowers should have beyond what they have.
func (p *pool) reserve() int {
	if len(p.needs) == 0 {
		return 0
	}
	sum := 0
	for _, w := range p.entitlements() {
		if w.host != "" {
			sum += max(0, w.got-p.lentTo(w.host))
		}
	}
	return sum
}
