// Command stand3 holds the stand-ins and the scripts of the third review.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases maps the name of a script to what it does. It reports whether the rule held.
var cases = map[string]func(rec *record, trouble bool) (held bool, err error){}

// limit bounds the time of a script.
const limit = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", os.Args[1], trouble)
	time.AfterFunc(limit, func() {
		rec.printf("could not run: the time is over")
		os.Exit(2) // The processes end with this one.
	})
	held, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case !held:
		rec.printf("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
}
