// The operator adds a queue whose priority is a large number, and requesters hand jobs in
// there.
package main

import (
	"fmt"
	"net/http"
	"time"

	"medlargw.example/medlargw/review/rig"
)

const (
	priority   = 10_000_000
	memoryMb   = 284                     // Of the sheet: a process that exceeds it is killed.
	retransmit = 1300 * time.Millisecond // RetransmitMs.
	ends       = 3                       // Of processes by themselves, on two machines at least.
	limit      = 50 * time.Second
)

func main() {
	rig.Main(func(r *rig.Rig, trouble bool) ([]string, error) {
		usual := rig.Queue("usual", 0)
		if err := r.Start(2, 4, 32000, usual); err != nil {
			return nil, err
		}
		for _, e := range r.Entries {
			e.GuardMemory(memoryMb)
		}
		if trouble {
			if err := r.Configure(5, usual, rig.Queue("batch", priority)); err != nil {
				return nil, err
			}
		} else if err := r.Configure(5, usual, rig.Queue("batch", 3)); err != nil {
			return nil, err
		}
		time.Sleep(3 * time.Second) // ConfigApplyMs is 2,000.
		body := rig.Body(rig.Step{Count: 2, Cpu: 8000, Ms: 60})
		began := time.Now()
		answered := 0
		for n := 0; time.Since(began) < limit && !allKilled(r) && answered < 40; n++ {
			a := r.Entries[n%2].Send(http.MethodPost, fmt.Sprintf("/batch/%016x", 0xb000+n), body, 1500*time.Millisecond)
			if a.Err != nil {
				time.Sleep(retransmit)
				continue
			}
			answered++
			time.Sleep(100 * time.Millisecond)
		}
		if allKilled(r) {
			return []string{fmt.Sprintf("the processes of both machines were killed for their memory %d times", ends)}, nil
		}
		return nil, nil
	})
}

// allKilled reports whether the process of each machine has ended as often as it takes.
func allKilled(r *rig.Rig) bool {
	for _, e := range r.Entries {
		if e.Killed() < ends {
			return false
		}
	}
	return true
}
