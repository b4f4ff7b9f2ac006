// Command reviewcase plays one case of the review: it starts daisyhead's processes as the deploy
// file says, against stand-ins of the store, the minions and the clients on loopback addresses,
// and checks one rule on what these see. It exits with 1 if the rule was broken, with 0 if it
// held, and with 2 if the case could not be played.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseFunc plays a case. It returns how the rule was broken, one text for each time.
type caseFunc func(record *recorder, trouble bool) (broken []string, err error)

var cases = map[string]caseFunc{
	"guarantee": guarantee,
	"hangup":    hangup,
	"gone":      gone,
	"lost":      lost,
	"successor": successor,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// timeLimit is the longest time that a case may take.
	timeLimit = 115 * time.Second
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcase CASE FOLDER")
		os.Exit(exitFailed)
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.write("case", "%s, with the disruption: %t", os.Args[1], trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(timeLimit):
		}
		record.write("case", "ended before it was played")
		killAll()
		os.Exit(exitFailed)
	}()
	broken, err := cases[os.Args[1]](record, trouble)
	switch {
	case err != nil:
		record.write("case", "could not be played: %v", err)
		fmt.Fprintln(os.Stderr, "could not be played:", err)
		os.Exit(exitFailed)
	case len(broken) > 0:
		for _, b := range broken {
			record.write("case", "BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		os.Exit(exitBroken)
	}
	record.write("case", "the rule held")
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
