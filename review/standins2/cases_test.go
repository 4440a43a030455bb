//go:build review2

package main

import (
	"errors"
	"os/exec"
	"testing"
)

// check fails the test if a case found that its rule was broken, or could not run.
func check(t *testing.T, out []byte, err error) {
	t.Helper()
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit) && exit.ExitCode() == ruleBroken:
		t.Errorf("the rule was broken:\n%s", out)
	case err != nil:
		t.Fatalf("the case could not run: %v\n%s", err, out)
	}
}

// runScript runs the script of a case.
func runScript(t *testing.T, folder string) {
	t.Helper()
	out, err := exec.Command("../" + folder + "/run.sh").CombinedOutput()
	check(t, out, err)
}

// The cases of the second review, by their folders; each needs the deploy file's build and
// review/build-2.sh.

func TestReview2RestingFlightClientsLeaveRoom(t *testing.T) { runScript(t, "6") }

func TestReview2SecondStepIsNotLeftOut(t *testing.T) { runScript(t, "7") }

func TestReview2KilledFollowerKeepsToDrain(t *testing.T) { runScript(t, "8") }

func TestReview2ThirdOfDescriptorsIsAnswered(t *testing.T) { runScript(t, "9") }

func TestReview2HalfSurrogateGetsAnError(t *testing.T) { runScript(t, "10") }

// Beyond the five.

func TestReview2ReplacementKeepsTraces(t *testing.T) {
	command := exec.Command("bin/review2-standins", "traces", t.TempDir())
	command.Dir = "../.."
	out, err := command.CombinedOutput()
	check(t, out, err)
}
