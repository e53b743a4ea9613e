package lender

import (
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// pool is a set of owned resources of which any will do.
type pool struct {
	far       bool // Entries of other zones borrow from it as a rule.
	resources map[string]*resource
	names     []string // Of the resources, sorted.
	needs     map[medlargw.HostName]*need
	own       []medlargw.ClassDemand
}

// resource is one target, or one team's limit, that this entry owns.
type resource struct {
	target medlargw.Target
	total  int
	opens  time.Time // Nothing is used or lent anew before.
	used   int       // By this entry.
	grants map[medlargw.HostName]*grant
}

// grant is what one borrower may use, or still does.
type grant struct {
	amount int
	until  time.Time
}

// need is what a borrower said of itself.
type need struct {
	classes []medlargw.ClassDemand // Running counts the slots held here.
	most    int                    // Held and asked for in all.
	until   time.Time              // What waits is forgotten then.
}

func newPool() *pool {
	return &pool{resources: map[string]*resource{}, needs: map[medlargw.HostName]*need{}}
}

// keep makes the pool hold exactly these resources. One that is new opens at
// that time.
func (p *pool) keep(totals map[string]medlargw.Capacity, opens time.Time) {
	for name := range p.resources {
		if _, ok := totals[name]; !ok {
			delete(p.resources, name)
		}
	}
	p.names = p.names[:0]
	for name, c := range totals {
		r := p.resources[name]
		if r == nil {
			r = &resource{opens: opens, grants: map[medlargw.HostName]*grant{}}
			p.resources[name] = r
		}
		r.target = c.Target
		r.total = c.Slots
		p.names = append(p.names, name)
	}
	slices.Sort(p.names)
}

// settle closes all resources until that time.
func (p *pool) settle(opens time.Time) {
	for _, r := range p.resources {
		r.opens = opens
	}
}

// open opens what is closed until later, unless entries that weren't asked may
// hold loans of a limit.
func (p *pool) open(now time.Time) {
	if p.far {
		return
	}
	for _, r := range p.resources {
		if now.Before(r.opens) {
			r.opens = now
		}
	}
}

// setOwn takes this entry's own use over from the demand.
func (p *pool) setOwn(l *Lender, k key) {
	used := 0
	for name, r := range p.resources {
		r.used = l.used[key{unit: k.unit, name: name}]
		used += r.used
	}
	if !k.unit {
		p.own = spread(p.own[:0], l.demand.Classes, used)
		return
	}
	p.own = append(p.own[:0], medlargw.ClassDemand{Running: used})
	for _, t := range l.demand.Teams {
		if string(t.Team) == k.name {
			p.own[0].Tasks = t.Waiting
		}
	}
}

// spread copies the demand into all and scales what runs to the amount that
// is used here. The amount that is in no class counts in the last.
func spread(all, classes []medlargw.ClassDemand, used int) []medlargw.ClassDemand {
	running := 0
	for _, c := range classes {
		running += c.Running
	}
	left := used
	for _, c := range classes {
		if running > 0 {
			c.Running = min(left, (used*c.Running+running-1)/running)
		}
		left -= c.Running
		all = append(all, c)
	}
	if left > 0 {
		all = append(all, medlargw.ClassDemand{Rank: idleRank, Running: left})
	}
	return all
}

// expire forgets the grants and needs whose time has passed.
func (p *pool) expire(now time.Time) {
	for _, r := range p.resources {
		for host, g := range r.grants {
			if !now.Before(g.until) {
				delete(r.grants, host)
			}
		}
	}
	for host, n := range p.needs {
		if now.Before(n.until) {
			continue
		}
		for i := range n.classes {
			n.classes[i].Tasks = 0
		}
		if p.lentTo(host) == 0 {
			delete(p.needs, host)
		}
	}
}

// lentTo returns what counts as lent to the host.
func (p *pool) lentTo(host medlargw.HostName) int {
	sum := 0
	for _, r := range p.resources {
		if g := r.grants[host]; g != nil {
			sum += g.amount
		}
	}
	return sum
}

// total returns what the pool holds.
func (p *pool) total() int {
	sum := 0
	for _, r := range p.resources {
		sum += r.total
	}
	return sum
}

// lent returns what counts as lent.
func (r *resource) lent() int {
	sum := 0
	for _, g := range r.grants {
		sum += g.amount
	}
	return sum
}

// free returns what could be lent now.
func (r *resource) free(now time.Time) int {
	if now.Before(r.opens) || r.target.Leaving {
		return 0
	}
	return max(0, r.total-r.lent()-r.used)
}
