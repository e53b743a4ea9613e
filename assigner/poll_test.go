package assigner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"medlargw.example/medlargw"
)

// slowLister refuses the first reads, and answers the others after a time.
type slowLister struct {
	fakes
	refusals int
	took     time.Duration
}

func (l *slowLister) Hosts(context.Context) (medlargw.HostList, error) {
	if l.refusals > 0 {
		l.refusals--
		return medlargw.HostList{}, errors.New("busy")
	}
	time.Sleep(l.took)
	return l.list, nil
}

// TestRefusedReadIsRepeatedSoon guards against an entry that starts and waits for seconds
// after the platform has refused a single read.
func TestRefusedReadIsRepeatedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slowLister{refusals: 1}
		l.list.Version = 3
		a := newTestAssigner(&l.fakes)
		a.hosts, a.settings.Host = l, l.Self().Host
		began := time.Now()
		a.spawner.Go(a.run)
		for a.HostsVersion() == 0 && time.Since(began) < time.Minute {
			time.Sleep(time.Millisecond)
		}
		if got, want := time.Since(began), 2*minRetryPause; got > want {
			t.Errorf("list in use after %v, want at most %v", got, want)
		}
		a.spawner.Stop()
	})
}

// TestLateListProvesNoFormerEnrolment guards against targets that are claimed from a
// living holder: a list that was read long ago tells of the former enrolment of this
// host, which has ended since.
func TestLateListProvesNoFormerEnrolment(t *testing.T) {
	tests := []struct {
		name string
		took time.Duration
		want bool
	}{
		{"fresh", staleAfter / 2, true},
		{"late", 3 * staleAfter / 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &slowLister{took: test.took}
				self := l.Self()
				l.list = medlargw.HostList{Version: 3, Entries: []medlargw.EntryHost{{Name: self.Host, Zone: self.Zone, Addr: self.Addr, Incarnation: 7}}}
				a := newTestAssigner(&l.fakes)
				a.hosts = l
				a.readList(t.Context())
				if got := l.groups[len(l.groups)-1].HasFormerEnrolment; got != test.want {
					t.Errorf("former enrolment: got %v, want %v", got, test.want)
				}
			})
		})
	}
}
