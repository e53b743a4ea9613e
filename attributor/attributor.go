// Package attributor attributes the crashes of targets to the runs that were there,
// and finds the services whose tasks crash targets.
//
// All runs on a target that crashes are suspects, most of them without guilt, and
// targets crash by themselves too. Two things tell the causes apart. A task that
// crashes targets does so soon after its start, and seldom just when an older run
// happens to be beside it. And the runs of a service that crashes targets are on board
// more often than their number and their run time explain. So each service has a rate
// of crashes, which falls with the age of a run, and the targets have one of their
// own. A crash is divided among its possible causes by these rates, and the shares
// make up the rates.
//
// Entries exchange their sums, so that all of them find the same services.
package attributor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

const (
	// halfLife is the time after which a crash or a run counts half.
	halfLife = 2 * time.Second
	// youth is the age at which the rate of crashes of a run has fallen to a half.
	youth = 20 * time.Millisecond
	// Of a service, and of targets by themselves, before any crash: the blame, and the
	// exposure that it is divided by.
	priorBlame          = 0.02
	priorExposure       = 20
	priorTargetBlame    = 0.05
	priorTargetExposure = 20
	// suspectRate is the rate that a task which has probably crashed a target has in
	// addition to that of its service, in the units of that.
	suspectRate = 0.02
	// minBlame is the blame from which a service is confined, minBlameShare its share of
	// all blame, and minRate its crashes per second and target. With the time that a
	// target takes to start again a fifth of the targets is down then, and confinement
	// costs the others less. Below keptRate a confined service is released.
	minBlame      = 2
	minBlameShare = 0.5
	minRate       = 0.06
	keptRate      = 0.02
	// minOtherExposure is the least share of the exposure that other services have when
	// a service is confined. There is nothing to protect from a service that has all
	// targets for itself.
	minOtherExposure = 0.1
	// maxPeerAge is the age from which the sums of a peer are not counted.
	maxPeerAge = 2 * time.Second
	// minReported is the sum of all blame below which an entry reports nothing.
	minReported = 0.1
	// never is the time since the last crash of a service that has caused none.
	never = time.Hour
)

// targets is the name under which the crashes of targets by themselves are kept.
const targets medlargw.ServiceName = ""

// sums are the decayed sums of one service at this entry.
type sums struct {
	blame, exposure float64
	at              time.Time // Of the last decay.
	lastCrash       time.Time // Zero if there was none.
}

// peerSums are the sums that a peer has reported.
type peerSums struct {
	at       time.Time
	services []medlargw.ServiceCrashes
}

// Attributor is not safe for concurrent use.
type Attributor struct {
	quiet    time.Duration // Time without a crash after which a service is released.
	own      map[medlargw.ServiceName]*sums
	peers    map[medlargw.Incarnation]peerSums
	confined map[medlargw.ServiceName]bool
}

// New returns an attributor that has seen no crash. It releases a service after the
// given time without a crash; if that is zero, it confines none.
func New(quiet time.Duration) *Attributor {
	return &Attributor{
		quiet:    quiet,
		own:      map[medlargw.ServiceName]*sums{},
		peers:    map[medlargw.Incarnation]peerSums{},
		confined: map[medlargw.ServiceName]bool{},
	}
}

// decayed returns the sums of a service at the given time, or at that of their last
// change if it is later: a crash is known some time after it has happened.
func (a *Attributor) decayed(now time.Time, service medlargw.ServiceName) *sums {
	s := a.own[service]
	if s == nil {
		s = &sums{at: now}
		a.own[service] = s
	}
	if now.After(s.at) {
		factor := decay(now.Sub(s.at))
		s.blame *= factor
		s.exposure *= factor
		s.at = now
	}
	return s
}

func decay(age time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / halfLife.Seconds())
}

// RecordRun records the run time of a run that has ended, with or without success.
func (a *Attributor) RecordRun(now time.Time, service medlargw.ServiceName, runTime time.Duration) {
	a.decayed(now, service).exposure += math.Log1p(max(0, runTime.Seconds()) / youth.Seconds())
}

// RecordTargets records that targets were in use for a time.
func (a *Attributor) RecordTargets(now time.Time, n int, d time.Duration) {
	a.decayed(now, targets).exposure += float64(n) * d.Seconds()
}

// Shares returns the share of each run in the crash of the target that they were on.
// The rest is the share of the target itself.
func (a *Attributor) Shares(now time.Time, suspects []medlargw.CrashSuspect) []float64 {
	shares := make([]float64, len(suspects))
	all := a.merge(now)
	own := all[targets]
	total := (own.Blame + priorTargetBlame) / (own.Exposure + priorTargetExposure)
	for i, s := range suspects {
		k := all[s.Service]
		rate := (k.Blame + priorBlame) / (k.Exposure + priorExposure)
		if s.Suspect {
			rate += suspectRate
		}
		shares[i] = rate / (max(0, s.Age) + youth).Seconds()
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// RecordCrash records a crash with the shares of the runs in it.
func (a *Attributor) RecordCrash(now time.Time, suspects []medlargw.CrashSuspect, shares []float64) {
	byService := map[medlargw.ServiceName]float64{}
	rest := 1.0
	for i, s := range suspects {
		byService[s.Service] += shares[i]
		rest -= shares[i]
	}
	byService[targets] += max(0, rest)
	for service, share := range byService {
		s := a.decayed(now, service)
		s.blame += share
		if share > 0.5 {
			s.lastCrash = now
		}
	}
}

// SetPeer replaces the sums of another entry.
func (a *Attributor) SetPeer(now time.Time, peer medlargw.Incarnation, services []medlargw.ServiceCrashes) {
	if len(services) == 0 {
		delete(a.peers, peer)
		return
	}
	a.peers[peer] = peerSums{at: now, services: services}
}

// merge returns the sums of all entries by service.
func (a *Attributor) merge(now time.Time) map[medlargw.ServiceName]medlargw.ServiceCrashes {
	all := map[medlargw.ServiceName]medlargw.ServiceCrashes{}
	add := func(c medlargw.ServiceCrashes, age time.Duration) {
		known, ok := all[c.Service]
		if !ok {
			known.SinceLast = math.MaxInt64
		}
		known.Service = c.Service
		known.Blame += c.Blame * decay(age)
		known.Exposure += c.Exposure * decay(age)
		known.SinceLast = min(known.SinceLast, c.SinceLast+age)
		all[c.Service] = known
	}
	for service := range a.own {
		add(a.ownCrashes(now, service), 0)
	}
	for peer, p := range a.peers {
		age := now.Sub(p.at)
		if age > maxPeerAge {
			delete(a.peers, peer)
			continue
		}
		for _, c := range p.services {
			add(c, age)
		}
	}
	return all
}

func (a *Attributor) ownCrashes(now time.Time, service medlargw.ServiceName) medlargw.ServiceCrashes {
	s := a.decayed(now, service)
	c := medlargw.ServiceCrashes{Service: service, Blame: s.blame, Exposure: s.exposure, SinceLast: never}
	if !s.lastCrash.IsZero() {
		c.SinceLast = min(never, now.Sub(s.lastCrash))
	}
	return c
}

// Update decides which services are confined, and reports whether that has changed.
// A service is confined when it crashes a large part of the targets, and released when
// it has caused no crash for a while or only few.
func (a *Attributor) Update(now time.Time) bool {
	if len(a.confined) == 0 && !a.hasBlame(now) {
		return false
	}
	all := a.merge(now)
	changed := false
	for service, c := range all {
		switch {
		case service == targets:
		case a.confined[service]:
			if c.SinceLast > a.quiet || c.Blame < keptRate*all[targets].Exposure {
				delete(a.confined, service)
				changed = true
			}
		case c.SinceLast < a.quiet && standsOut(service, all):
			a.confined[service] = true
			changed = true
		}
	}
	for service := range a.confined {
		if _, known := all[service]; !known {
			delete(a.confined, service)
			changed = true
		}
	}
	return changed
}

// standsOut reports whether a service crashes so many targets that it must be confined.
func standsOut(service medlargw.ServiceName, all map[medlargw.ServiceName]medlargw.ServiceCrashes) bool {
	c := all[service]
	exposure, blame := 0.0, 0.0
	for other, sums := range all {
		blame += sums.Blame
		if other != targets {
			exposure += sums.Exposure
		}
	}
	return c.Blame >= minBlame && c.Blame >= minBlameShare*blame && c.Blame >= minRate*all[targets].Exposure &&
		exposure-c.Exposure >= minOtherExposure*exposure
}

// hasBlame reports whether this entry or a peer has seen crashes lately.
func (a *Attributor) hasBlame(now time.Time) bool {
	sum := 0.0
	for _, s := range a.own {
		sum += s.blame * decay(now.Sub(s.at))
	}
	for _, p := range a.peers {
		for _, c := range p.services {
			sum += c.Blame * decay(now.Sub(p.at))
		}
	}
	return sum >= minReported
}

// IsConfined reports whether the tasks of a service are confined to the targets that
// are set apart.
func (a *Attributor) IsConfined(service medlargw.ServiceName) bool { return a.confined[service] }

// Confined returns the confined services, sorted.
func (a *Attributor) Confined() []medlargw.ServiceName {
	if len(a.confined) == 0 {
		return nil
	}
	all := make([]medlargw.ServiceName, 0, len(a.confined))
	for service := range a.confined {
		all = append(all, service)
	}
	slices.Sort(all)
	return all
}

// Report returns the sums of this entry for its peers, sorted by service. It is empty
// while neither this entry nor a peer has seen crashes.
func (a *Attributor) Report(now time.Time) []medlargw.ServiceCrashes {
	if !a.hasBlame(now) {
		return nil
	}
	all := make([]medlargw.ServiceCrashes, 0, len(a.own))
	for service := range a.own {
		all = append(all, a.ownCrashes(now, service))
	}
	slices.SortFunc(all, func(x, y medlargw.ServiceCrashes) int { return cmp.Compare(x.Service, y.Service) })
	return all
}
