//go:build review2

package main

import (
	"fmt"
	"os"
	"runtime"
)

// cases are the cases by name.
var cases = map[string]func(*world) (broken []string){
	"flight": playFlight,
	"step":   playSecondStep,
	"roster": playRoster,
	"slots":  playSlots,
	"text":   playText,
	// Beyond the five.
	"traces": playTraces,
}

// init keeps the main goroutine on the process's first thread, which lives as long as the process:
// the brokers are started from it and die with it.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE FOLDER, from the repository's root")
		os.Exit(couldNot)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}
