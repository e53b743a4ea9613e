package lender

import (
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// pool is a set of interchangeable resources that this entry owns.
type pool struct {
	sharedAcrossZones bool // There are fewer units than zones, so entries of other zones borrow from it.
	resources         map[string]*resource
	names             []string // Names of the resources, sorted.
	peerDemands       map[medlargw.HostName]*peerDemand
	ownDemand         []medlargw.ClassDemand
}

// resource is one target, or one team's limit, that this entry owns.
type resource struct {
	target medlargw.Target
	total  int
	openAt time.Time // The resource is not used or lent before.
	used   int       // In use by this entry.
	grants map[medlargw.HostName]*grant
}

// grant is the amount of one resource that a borrower may use, or still uses.
type grant struct {
	amount int
	until  time.Time
}

// peerDemand is the demand of a borrower as of its latest request.
type peerDemand struct {
	classes []medlargw.ClassDemand // Running counts what the borrower holds of the pool.
	limit   int                    // Total of what it holds and requests.
	until   time.Time              // The waiting tasks count until then.
}

func newPool() *pool {
	return &pool{resources: map[string]*resource{}, peerDemands: map[medlargw.HostName]*peerDemand{}}
}

// setResources replaces the resources of the pool. The state of those that stay
// is kept; a new one opens at the given time.
func (p *pool) setResources(totals map[string]medlargw.Allocation, openAt time.Time) {
	for name := range p.resources {
		if _, ok := totals[name]; !ok {
			delete(p.resources, name)
		}
	}
	p.names = p.names[:0]
	for name, a := range totals {
		r := p.resources[name]
		if r == nil {
			r = &resource{openAt: openAt, grants: map[medlargw.HostName]*grant{}}
			p.resources[name] = r
		}
		r.target = a.Target
		r.total = a.Slots
		p.names = append(p.names, name)
	}
	slices.Sort(p.names)
}

// closeUntil closes all resources until the given time.
func (p *pool) closeUntil(openAt time.Time) {
	for _, r := range p.resources {
		r.openAt = openAt
	}
}

// open opens the resources that are still closed. A pool that is shared across
// zones is left as it is: entries of other zones may hold loans of it, and they
// are not among those whose reports this entry waits for.
func (p *pool) open(now time.Time) {
	if p.sharedAcrossZones {
		return
	}
	for _, r := range p.resources {
		if now.Before(r.openAt) {
			r.openAt = now
		}
	}
}

// updateOwnDemand copies this entry's use of the pool from its demand.
func (p *pool) updateOwnDemand(l *Lender, k resourceKey) {
	used := 0
	for name, r := range p.resources {
		r.used = l.used[resourceKey{isTeam: k.isTeam, name: name}]
		used += r.used
	}
	if !k.isTeam {
		p.ownDemand = scaleDemand(p.ownDemand[:0], l.demand.Classes, used)
		return
	}
	p.ownDemand = append(p.ownDemand[:0], medlargw.ClassDemand{Running: used})
	for _, t := range l.demand.Teams {
		if string(t.Team) == k.name {
			p.ownDemand[0].Tasks = t.Waiting
		}
	}
}

// scaleDemand appends the demand of the classes to all, with the running tasks
// scaled to the amount that is used of this pool. What is used beyond the
// running tasks is counted under idleRank.
func scaleDemand(all, classes []medlargw.ClassDemand, used int) []medlargw.ClassDemand {
	running := 0
	for _, c := range classes {
		running += c.Running
	}
	unassigned := used
	for _, c := range classes {
		if running > 0 {
			c.Running = min(unassigned, (used*c.Running+running-1)/running)
		}
		unassigned -= c.Running
		all = append(all, c)
	}
	if unassigned > 0 {
		all = append(all, medlargw.ClassDemand{Rank: idleRank, Running: unassigned})
	}
	return all
}

// expire removes the grants that have ended, the waiting tasks of demands that
// are out of date, and such demands of borrowers without a grant.
func (p *pool) expire(now time.Time) {
	for _, r := range p.resources {
		for host, g := range r.grants {
			if !now.Before(g.until) {
				delete(r.grants, host)
			}
		}
	}
	for host, pd := range p.peerDemands {
		if now.Before(pd.until) {
			continue
		}
		for i := range pd.classes {
			pd.classes[i].Tasks = 0
		}
		if p.lentTo(host) == 0 {
			delete(p.peerDemands, host)
		}
	}
}

// lentTo returns the sum of the grants to the host.
func (p *pool) lentTo(host medlargw.HostName) int {
	sum := 0
	for _, r := range p.resources {
		if g := r.grants[host]; g != nil {
			sum += g.amount
		}
	}
	return sum
}

// total returns the sum of the pool's resources.
func (p *pool) total() int {
	sum := 0
	for _, r := range p.resources {
		sum += r.total
	}
	return sum
}

// lent returns the sum of the grants.
func (r *resource) lent() int {
	sum := 0
	for _, g := range r.grants {
		sum += g.amount
	}
	return sum
}

// free returns the amount that can be lent now.
func (r *resource) free(now time.Time) int {
	if now.Before(r.openAt) || r.target.Draining {
		return 0
	}
	return max(0, r.total-r.lent()-r.used)
}
