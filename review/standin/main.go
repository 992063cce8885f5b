// Command standin plays one case of the review: it starts processes of the system, the store and the endpoints, disturbs them, and
// checks one rule.
//
//	standin CASE RECORD ROOT
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the environment it leaves
// the disruption out.
package main

import (
	"fmt"
	"os"
)

// play is what a case gets.
type play struct {
	rec     *record
	root    string
	trouble bool
}

// cases maps the names of cases to their functions, which return whether the rule was broken.
var cases = map[string]func(ply *play) (broken bool, err error){
	"crash-same-id": crashSameID,
	"config-grows":  configGrows,
	"crash-expires": crashExpires,
	"foreign-entry": foreignEntry,
	"header-limit":  headerLimit,
}

func main() { os.Exit(play1()) }

func play1() (status int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD ROOT")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	broken, err := cases[os.Args[1]](&play{
		rec:     rec,
		root:    os.Args[3],
		trouble: os.Getenv("TROUBLE") != "0",
	})
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return 2
	case broken:
		rec.say("the rule was broken")
		return 1
	default:
		rec.say("the rule held")
		return 0
	}
}
