// Command standin-2 plays the scripted cases of the second review: it starts gateways as the
// deploy file says, beside stand-ins for the platform, the servers and the clients.
//
// Usage: standin-2 CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// maxRun ends a case that hangs.
const maxRun = 110 * time.Second

const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

var cases = map[string]func(dir string, trouble bool, r *record) (int, error){
	"uploads":    uploads,
	"hot-tenant": hotTenant,
	"moved-key":  movedKey,
	"turn-cold":  turnCold,
}

func main() {
	runtime.LockOSThread() // the processes that it starts end with this thread
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return couldntRun
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-ended:
		case <-time.After(maxRun):
		}
		os.Exit(couldntRun) // the kernel ends the processes that were started
	}()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	code, err := cases[os.Args[1]](dir, os.Getenv("TROUBLE") != "0", r)
	if err != nil {
		r.line("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	r.line("exit %d", code)
	return code
}
