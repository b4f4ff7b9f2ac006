// Command review-harness plays one case of the review: it starts a small deployment of the
// system beside stand-ins for the platform, the minions and the clients, causes the
// disruption unless TROUBLE=0, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// caseLimit is the longest time that a case may take.
const caseLimit = 118 * time.Second

// check plays a case. broken says how the rule was broken; it is empty if the rule held.
type check func(rec *recorder, trouble bool) (broken string, err error)

var cases = map[string]check{
	"count-twice": countTwice, "starve": starve, "cancel-gone": cancelGone, "pending": pending, "crashes": crashes, "completed-twice": completedTwice, "lasting-away": lastingAway,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-harness CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble: %t", os.Args[1], trouble)
	time.AfterFunc(caseLimit, func() {
		rec.log("the case takes too long")
		fmt.Println("could not run: it takes too long")
		os.Exit(2)
	})
	broken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken != "":
		rec.log("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		os.Exit(1)
	}
	rec.log("held")
	fmt.Println("held")
}
