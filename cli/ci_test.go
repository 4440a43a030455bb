package cli_test

import (
	"os/exec"
	"strings"
	"testing"

	"onyxsail/internal/testkit"
)

// CI passes over the tests that are listed as known to fail, prints them, and refuses a
// list that hides more than it says.
func TestKnownRed(t *testing.T) {
	const good = "TestKnownRed; a cause in words; issue 24\n"
	for _, c := range []struct {
		name, list, pattern, fault string
	}{
		{"none", "", "", ""},
		{"one", good, "^(TestKnownRed)$\n", ""},
		{"three", good + "TestFollow; a; issue 1\nTestFrames; b; issue 2", "^(TestKnownRed|TestFollow|TestFrames)$\n", ""},
		{"four", strings.Repeat(good, 4), "", "4 tests, want 3 at most"},
		{"no cause", "TestKnownRed; ; issue 24\n", "", "want \"TestName; cause; issue N\""},
		{"no issue", "TestKnownRed; a cause\n", "", "want \"TestName; cause; issue N\""},
		{"a pattern for a name", "Test.*; a cause; issue 24\n", "", "want \"TestName; cause; issue N\""},
		{"an empty line", "\n" + good, "", "want \"TestName; cause; issue N\""},
		{"no such test", "TestNobodyHas; a cause; issue 24\n", "", "no test has the name TestNobodyHas"},
	} {
		cmd := exec.Command("../.ci/known-red", testkit.WriteFile(t, []byte(c.list)))
		var out, errs strings.Builder
		cmd.Stdout, cmd.Stderr = &out, &errs
		err := cmd.Run()
		if out.String() != c.pattern || (err != nil) != (c.fault != "") || !strings.Contains(errs.String(), c.fault) {
			t.Errorf("%s: %q, %v, %s", c.name, out.String(), err, errs.String())
		}
		if c.pattern != "" && !strings.Contains(errs.String(), "known red: TestKnownRed; a cause in words") {
			t.Errorf("%s: printed %q", c.name, errs.String())
		}
	}
}
