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
	const good = "TestKnownRed; go test -run TestKnownRed ./cli; 7; it was red; a cause in words; issue 24\n"
	const want = "want \"TestName; command; seed; what was seen; cause; issue N\""
	line := func(name string) string {
		return name + "; go test -run " + name + " ./...; none; red; a; issue 1\n"
	}
	for _, c := range []struct {
		name, list, pattern, fault string
	}{
		{"none", "", "", ""},
		{"one", good, "^(TestKnownRed)$\n", ""},
		{"four", good + line("TestFullListThenChanges") + line("TestFramesAreParsedWithinBounds") + strings.TrimSpace(line("TestParserResultIsIndependentOfStreamSplit")),
			"^(TestKnownRed|TestFullListThenChanges|TestFramesAreParsedWithinBounds|TestParserResultIsIndependentOfStreamSplit)$\n", ""},
		{"one twice", good + good, "", "TestKnownRed stands twice"},
		{"the old form", "TestKnownRed; a cause; issue 24\n", "", want},
		{"no cause", strings.Replace(good, "a cause in words", "", 1), "", want},
		{"no seed", strings.Replace(good, " 7;", ";", 1), "", want},
		{"no issue", strings.Replace(good, "; issue 24", "", 1), "", want},
		{"another test's command", strings.Replace(good, "-run TestKnownRed", "-run TestFullListThenChanges", 1), "", "the command of TestKnownRed does not run it"},
		{"a pattern for a name", strings.Replace(good, "TestKnownRed;", "Test.*;", 1), "", want},
		{"an empty line", "\n" + good, "", want},
		{"no such test", line("TestNobodyHas"), "", "no test has the name TestNobodyHas"},
	} {
		cmd := exec.Command("../.ci/known-red", testkit.WriteTempFile(t, []byte(c.list)))
		var out, errs strings.Builder
		cmd.Stdout, cmd.Stderr = &out, &errs
		err := cmd.Run()
		if out.String() != c.pattern || (err != nil) != (c.fault != "") || !strings.Contains(errs.String(), c.fault) {
			t.Errorf("%s: %q, %v, %s", c.name, out.String(), err, errs.String())
		}
		if c.pattern != "" && !strings.Contains(errs.String(), "known red: TestKnownRed; go test -run TestKnownRed ./cli; 7; it was red; a cause in words") {
			t.Errorf("%s: printed %q", c.name, errs.String())
		}
	}
}
