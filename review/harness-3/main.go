// Review3 plays the cases of the third review: it starts the project's processes on loopback
// addresses, with stand-ins for the platform's store, the minions and the clients, and checks one
// rule.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one run of a case.
type play struct {
	log     *record
	store   *store
	fleet   *fleet
	system  *system
	client  *client
	trouble bool
}

// cases are the cases by name.
var cases = map[string]func(p *play){
	"sharing": playSharing,
	"kinds":   playKinds,
	"starts":  playStarts,
	"gangs":   playGangs,
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "could not run:", err)
	os.Exit(exitNotRun)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fatal(fmt.Errorf("usage: review3 CASE RECORD"))
	}
	p := &play{log: newRecord(os.Args[2]), store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	p.log.line("case %s, trouble %t", os.Args[1], p.trouble)
	time.AfterFunc(115*time.Second, func() {
		if p.system != nil {
			p.system.stop()
		}
		fatal(fmt.Errorf("out of time"))
	})
	cases[os.Args[1]](p)
	p.system.stop()
	if len(p.log.broken) > 0 {
		fmt.Println("the rule was broken:", p.log.broken[0])
		os.Exit(exitBroken)
	}
	p.log.line("the rule held")
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}

// begin starts the stand-ins and the system.
func (p *play) begin(minions, instances, attempts int, kind func(i int) string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	go http.Serve(l, p.store)
	configure(p.store, attempts)
	p.fleet = newFleet(p.log, p.store, minions, kind)
	p.system = startSystem(p.log, l.Addr().String(), "", instances)
	p.client = &client{log: p.log, system: p.system}
	time.Sleep(3 * time.Second)
}
