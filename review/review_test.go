//go:build review

// Package review plays the cases of the independent review: go test -tags review ./review. It
// needs bin/gannetchute.
package review

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// runScript runs a script of this folder and fails the test if the rule was broken. A case that
// could not run is skipped.
func runScript(t *testing.T, script string, args ...string) {
	t.Helper()
	output, err := exec.Command("sh", append([]string{script}, args...)...).CombinedOutput()
	t.Logf("%s", output)
	if exit, ok := err.(*exec.ExitError); ok && exit.ExitCode() == 2 {
		t.Skip("the case could not run")
	}
	if err != nil {
		t.Errorf("%s: %v", script, err)
	}
}

func TestReviewCase1SpoiltFlightAnswer(t *testing.T) { runScript(t, "1/run.sh") }

func TestReviewCase2FlightRepeatPastWindow(t *testing.T) { runScript(t, "2/run.sh") }

func TestReviewCase3RequestAheadOfAStop(t *testing.T) { runScript(t, "3/run.sh") }

// What was found beyond the three cases; the report tells of it.

func TestReviewBeyondAnswersBehindASlowOne(t *testing.T) {
	runScript(t, "run-case.sh", "pipeline-answers", t.TempDir())
}

func TestReviewBeyondConfigurationAfterRestart(t *testing.T) {
	runScript(t, "run-case.sh", "config-rollback", t.TempDir())
}

func TestReviewBeyondTwoOfThreeCopiesLost(t *testing.T) {
	runScript(t, "run-case.sh", "store-copies", t.TempDir())
}

func TestReviewBeyondRequestBehindAVanishedClass(t *testing.T) {
	runScript(t, "run-case.sh", "pipeline-reload", t.TempDir())
}

// TestMain skips all tests where the broker is not built.
func TestMain(m *testing.M) {
	if _, err := os.Stat(filepath.Join("..", "bin", "gannetchute")); err != nil {
		os.Stderr.WriteString("bin/gannetchute is not built\n")
		os.Exit(2)
	}
	os.Exit(m.Run())
}
