package lender

import (
	"cmp"
	"slices"

	"medlargw.example/medlargw"
)

// idleRank is the rank of slots that are held without a running task. It is
// lower in precedence than every class.
const idleRank = 1 << 20

// claimant is an entry that competes for a pool, with its demand by class.
type claimant struct {
	host     medlargw.HostName
	classes  []medlargw.ClassDemand
	limit    int // Upper bound of what it is allotted.
	allotted int
}

// allocate divides the amount among the claimants, class by class in order of
// rank. Within a class each claimant gets a share in proportion to its running
// and waiting tasks, and never more than its limit.
func allocate(amount int, claimants []claimant) {
	slices.SortFunc(claimants, func(a, b claimant) int { return cmp.Compare(a.host, b.host) })
	for _, rank := range ranks(claimants) {
		if amount <= 0 {
			return
		}
		amount -= allocateClass(amount, rank, claimants)
	}
}

func ranks(claimants []claimant) []int {
	var all []int
	for _, cl := range claimants {
		for _, c := range cl.classes {
			all = append(all, c.Rank)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// allocateClass divides the amount among the demands of one class, and returns
// how much of it was allotted.
func allocateClass(amount, rank int, claimants []claimant) int {
	remaining := make([]int, len(claimants))
	sum := 0
	for i := range claimants {
		remaining[i] = claimants[i].classDemand(rank)
		sum += remaining[i]
	}
	granted := 0
	for i := range claimants {
		n := min(remaining[i], claimants[i].limit-claimants[i].allotted)
		if sum > amount {
			n = min(n, amount*remaining[i]/sum)
		}
		claimants[i].allotted += n
		remaining[i] = min(remaining[i]-n, claimants[i].limit-claimants[i].allotted)
		granted += n
	}
	// The remainder left by rounding and limits is allotted one by one in turn.
	for progress := true; progress && granted < amount; {
		progress = false
		for i := range claimants {
			if remaining[i] > 0 && granted < amount {
				remaining[i]--
				claimants[i].allotted++
				granted++
				progress = true
			}
		}
	}
	return granted
}

func (cl *claimant) classDemand(rank int) int {
	for _, c := range cl.classes {
		if c.Rank == rank {
			return c.Tasks + c.Running
		}
	}
	return 0
}

// entitlements returns the fair share of each claimant of the pool. This entry
// is the claimant without a host name.
func (p *pool) entitlements() []claimant {
	total := p.total()
	claimants := []claimant{{classes: p.ownDemand, limit: total}}
	for host, pd := range p.peerDemands {
		claimants = append(claimants, claimant{host: host, classes: pd.classes, limit: pd.limit})
	}
	allocate(total, claimants)
	return claimants
}

// entitlement returns the fair share of the host.
func (p *pool) entitlement(host medlargw.HostName) int {
	for _, cl := range p.entitlements() {
		if cl.host == host {
			return cl.allotted
		}
	}
	return 0
}

// owedToBorrowers returns the amount by which the borrowers' fair shares exceed
// what is lent to them.
func (p *pool) owedToBorrowers() int {
	if len(p.peerDemands) == 0 {
		return 0
	}
	sum := 0
	for _, cl := range p.entitlements() {
		if cl.host != "" {
			sum += max(0, cl.allotted-p.lentTo(cl.host))
		}
	}
	return sum
}
