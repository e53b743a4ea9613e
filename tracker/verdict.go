package tracker

import (
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/arbiter"
)

// judge returns the verdict on a peer. Its silence counts from the last message
// that came directly, or from its zone if that is another one.
func (v *view) judge(now time.Time, p *peer) medlargw.PeerVerdict {
	return arbiter.New(v.suspectTimeout(p.member.Zone)).Judge(v.evidence(now, p))
}

func (v *view) evidence(now time.Time, p *peer) medlargw.PeerEvidence {
	silence := now.Sub(p.member.LastHeard)
	return medlargw.PeerEvidence{
		Silence: silence,
		Heard:   min(silence, now.Sub(p.lastSighting)),
		OwnLag:  min(v.lag, v.maxLag),
		PeerLag: min(p.digest.Lag, v.maxLag),
	}
}

// isSilent reports whether nothing but the end of the member explains that this
// entry has had no message from it for GroupSettings.Suspect. Only members of this
// entry's zone have a lag that explains it.
func (v *view) isSilent(now time.Time, p *peer) bool {
	if p.member.Zone != v.self.Zone {
		return now.Sub(p.lastDirectMessage) > v.settings.Suspect
	}
	return arbiter.New(v.settings.Suspect).Judge(v.evidence(now, p)) == medlargw.PeerLost
}

// judgement is a verdict on a peer that differs from the one before.
type judgement struct {
	member   medlargw.Member
	verdict  medlargw.PeerVerdict
	evidence medlargw.PeerEvidence
}

// recordVerdict keeps a verdict that has changed, for the log.
func (v *view) recordVerdict(now time.Time, p *peer, verdict medlargw.PeerVerdict) {
	if verdict != p.verdict && p.member.State != medlargw.MemberGone {
		v.judgements = append(v.judgements, judgement{p.member, verdict, v.evidence(now, p)})
	}
	p.verdict = verdict
}

// takeJudgements returns the verdicts that have changed and clears them.
func (v *view) takeJudgements() []judgement {
	all := v.judgements
	v.judgements = nil
	return all
}

// applySightings records when another entry has heard the peers of this one.
func (v *view) applySightings(now time.Time, all []medlargw.Sighting) {
	if v.maxLag == 0 {
		return
	}
	for _, s := range all {
		if p := v.peers[s.Incarnation]; p != nil {
			p.lastSighting = later(p.lastSighting, now.Add(-s.Age))
		}
	}
}

// sightings returns the peers of the zone that this entry has heard and that
// others may not hear: those that lag by half a heartbeat or more, those that others have told to be suspect,
// and those whose last heartbeat was late here.
func (v *view) sightings(now time.Time) []medlargw.Sighting {
	limit := v.suspectTimeout(v.self.Zone)
	var all []medlargw.Sighting
	for _, p := range v.sortedPeers() {
		age := now.Sub(p.lastDirectMessage)
		doubtful := p.digest.Lag > v.settings.Beat/2 || now.Sub(p.lastDoubted) < 2*limit || age > limit/2
		if p.member.Zone != v.self.Zone || age > limit || !doubtful {
			continue
		}
		if all = append(all, medlargw.Sighting{Incarnation: p.member.Incarnation, Age: age}); len(all) == maxSightings {
			break
		}
	}
	return all
}
