// Command standin plays one case of the review: it starts hosts of the project as separate
// processes, with stand-ins for the platform, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name.
var cases = map[string]func(p *platform, trouble bool) (int, error){
	"bodies":  playBodies,
	"foreign": playForeign,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], r, os.Getenv("TROUBLE") != "0"))
}

// play plays a case, ends its processes and returns the exit code.
func play(name string, r *record, trouble bool) int {
	p, err := newPlatform(r)
	if err != nil {
		return fail(r, err)
	}
	defer p.close()
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-terminated
		p.close()
		os.Exit(failed)
	}()
	code, err := cases[name](p, trouble)
	if err != nil {
		return fail(r, err)
	}
	return code
}

// fail records why a case could not run.
func fail(r *record, err error) int {
	r.printf("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return failed
}
