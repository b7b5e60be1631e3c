// Command stand plays the cases under review/ that can't be put as a day: it starts the
// system's own programs as processes on loopback addresses, beside stand-ins for engines,
// clients and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	if len(os.Args) == 6 && os.Args[1] == "crowd" {
		if err := runCrowd(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
		return
	}
	if len(os.Args) != 4 || os.Args[3] != "with-trouble" && os.Args[3] != "without-trouble" {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER with-trouble|without-trouble")
		os.Exit(exitFailed)
	}
	cases := map[string]func(w *world, trouble bool) (bool, error){"order": order, "drain": drain, "flood": flood, "heads": heads}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitFailed)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		os.Exit(exitFailed)
	}()
	trouble := os.Args[3] == "with-trouble"
	w.note("case %s, trouble %v", os.Args[1], trouble)
	broken, err := play(w, trouble)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
	case broken:
		w.note("the rule was BROKEN")
	default:
		w.note("the rule held")
	}
	w.close()
	switch {
	case err != nil:
		os.Exit(exitFailed)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
