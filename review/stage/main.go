package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases that this program plays, by name. Each returns what broke the
// rule, or nothing.
var cases = map[string]func(s *stage) []string{
	"cancel":  playCancel,
	"drain":   playDrain,
	"lost":    playLost,
	"refused": playRefused,
	"shrink":  playShrink,
}

func main() {
	log.SetFlags(0)
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		log.Println("usage: stage CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	dir, err := filepath.Abs(os.Args[2])
	check(err)
	s := newStage(dir)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() { fail(fmt.Errorf("ended by a signal: %v", <-interrupted)) }()
	found := cases[os.Args[1]](s)
	s.close()
	for _, f := range found {
		s.record.say("BROKEN: %s", f)
		log.Println("broken:", f)
	}
	if len(found) > 0 {
		os.Exit(1)
	}
	s.record.say("the rule held")
	log.Println("the rule held")
}
