package cli_test

import (
	"os/exec"
	"strings"
	"testing"

	"onyxsail/internal/testkit"
)

// The script .ci/known-red must turn the list of tests that are known to fail into a -skip
// pattern for exactly these tests and print them, and reject a list with a malformed,
// duplicate or incomplete line, which could hide other failures.
func TestKnownRedListIsValidated(t *testing.T) {
	const good = "TestKnownRedListIsValidated; go test -run TestKnownRedListIsValidated ./cli; 7; it was red; a cause in words; issue 24\n"
	const want = "want \"TestName; command; seed; what was seen; cause; issue N\""
	line := func(name string) string {
		return name + "; go test -run " + name + " ./...; none; red; a; issue 1\n"
	}
	for _, c := range []struct {
		name, list, pattern, wantErr string
	}{
		{"an empty list", "", "", ""},
		{"one test", good, "^(TestKnownRedListIsValidated)$\n", ""},
		{"four tests", good + line("TestSoak") + line("TestStalledCallersDoNotKeepOthersOut") + strings.TrimSpace(line("TestDecodeRejectsMalformedFrames")),
			"^(TestKnownRedListIsValidated|TestSoak|TestStalledCallersDoNotKeepOthersOut|TestDecodeRejectsMalformedFrames)$\n", ""},
		{"a test twice", good + good, "", "TestKnownRedListIsValidated stands twice"},
		{"a line in the old format", "TestKnownRedListIsValidated; a cause; issue 24\n", "", want},
		{"no cause", strings.Replace(good, "a cause in words", "", 1), "", want},
		{"no seed", strings.Replace(good, " 7;", ";", 1), "", want},
		{"no issue", strings.Replace(good, "; issue 24", "", 1), "", want},
		{"another test's command", strings.Replace(good, "-run TestKnownRedListIsValidated", "-run TestSoak", 1), "", "the command of TestKnownRedListIsValidated does not run it"},
		{"a pattern instead of a name", strings.Replace(good, "TestKnownRedListIsValidated;", "Test.*;", 1), "", want},
		{"an empty line", "\n" + good, "", want},
		{"no such test", line("TestNobodyHas"), "", "no test has the name TestNobodyHas"},
	} {
		cmd := exec.Command("../.ci/known-red", testkit.WriteTempFile(t, []byte(c.list)))
		var out, errs strings.Builder
		cmd.Stdout, cmd.Stderr = &out, &errs
		err := cmd.Run()
		if out.String() != c.pattern || (err != nil) != (c.wantErr != "") || !strings.Contains(errs.String(), c.wantErr) {
			t.Errorf("%s: got pattern %q, %v, printed %s", c.name, out.String(), err, errs.String())
		}
		if c.pattern != "" && !strings.Contains(errs.String(), "known red: TestKnownRedListIsValidated; go test -run TestKnownRedListIsValidated ./cli; 7; it was red; a cause in words") {
			t.Errorf("%s: printed %q", c.name, errs.String())
		}
	}
}
