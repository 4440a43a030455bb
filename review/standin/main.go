//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the cases by name; each adds itself.
var cases = map[string]func(*env) (broken []string, err error){}

// servers are the stand-ins that run in a process of their own, by name.
var servers = map[string]func(argument string) (exitCode int){}

// env is what a case has to work with.
type env struct {
	root    string // of the repository
	dir     string // a temporary folder
	trouble bool   // the disruption is played
	rec     *record
}

// main runs the case named by the first argument, with its record in the folder named by the
// second, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 3 && servers[os.Args[1]] != nil {
		return servers[os.Args[1]](os.Args[2])
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER ROOT")
		return exitNotRun
	}
	time.AfterFunc(110*time.Second, func() {
		fmt.Println("the case took too long")
		os.Exit(exitNotRun)
	})
	rec, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	e := &env{root: os.Args[3], dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	rec.say("case %s, disruption %v", os.Args[1], e.trouble)
	broken, err := cases[os.Args[1]](e)
	switch {
	case len(broken) > 0:
		for _, b := range broken {
			rec.say("BROKEN: %s", b)
		}
		return exitBroken
	case err != nil && !errors.Is(err, errSetup):
		rec.say("could not run: %v", err)
		return exitNotRun
	case err != nil:
		rec.say("%v", err)
		return exitNotRun
	}
	rec.say("the rule held")
	return exitHeld
}
