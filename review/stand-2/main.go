// Program stand-2 plays the scripted cases of review/6 to review/10: it starts a small
// deployment of oleanderramp on loopback addresses, and stands in for its clients, its
// servers, its operator and the provider.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// limit ends a case that takes too long.
const limit = 115 * time.Second

// caseFunc plays a case and reports whether its rule was broken. trouble is false to play
// it without the disruption.
type caseFunc func(c *play) (bool, error)

var cases = map[string]caseFunc{
	"parts": partsCase, "crash": crashCase, "nominated": nominatedCase, "order": orderCase, "expiry": expiryCase,
}

// play is a case that is being played.
type play struct {
	rec     *recorder
	root    string
	trouble bool
	site    *site
	engines []*engine
}

// begin starts a deployment.
func (c *play) begin(config siteConfig) error {
	s, err := newSite(c.rec, c.root, config)
	if err != nil {
		return err
	}
	c.site = s
	return s.start()
}

func (c *play) engine(number int, service string, slots int, work workFunc) *engine {
	e := c.site.newEngine(number, service, slots, work)
	c.engines = append(c.engines, e)
	return e
}

func (c *play) close() {
	for _, e := range c.engines {
		e.close()
	}
	if c.site != nil {
		c.site.close()
	}
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE REPOSITORY FOLDER")
		os.Exit(failed)
	}
	rec, flush, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	c := &play{rec: rec, root: os.Args[2], trouble: os.Getenv("TROUBLE") != "0"}
	var once sync.Once
	exit := func(code int) {
		once.Do(func() {
			c.close()
			flush()
			os.Exit(code)
		})
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		rec.say("the case was ended")
		exit(failed)
	}()
	rec.say("case %s, with the disruption: %v", os.Args[1], c.trouble)
	wrong, err := cases[os.Args[1]](c)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		exit(failed)
	case wrong:
		rec.say("RULE BROKEN")
		exit(broken)
	default:
		rec.say("rule held")
		exit(held)
	}
}
