package config

import (
	"os"
	"syscall"
	"testing"

	"onyxsail/internal/testkit"
)

// Guards against a start failing, or a move of discovery being lost, because the file cannot
// be read for a moment, for lack of descriptors or because of a disk error: such reads are
// retried. A missing or inaccessible file is an error at once.
func TestTransientReadErrorsAreRetried(t *testing.T) {
	original := readFile
	t.Cleanup(func() { readFile = original })
	for _, c := range []struct {
		errno syscall.Errno
		reads int // the number of reads, of which the last succeeds; 0: none succeeds
	}{{syscall.EMFILE, 4}, {syscall.ENFILE, 4}, {syscall.EIO, 4}, {syscall.EINTR, 4}, {syscall.ENOMEM, 4}, {syscall.ENOENT, 0}, {syscall.EACCES, 0}} {
		reads := 0
		readFile = func(name string) ([]byte, error) {
			if reads++; reads < c.reads || c.reads == 0 {
				return nil, &os.PathError{Op: "open", Path: name, Err: c.errno}
			}
			return []byte("{}"), nil
		}
		_, err := Load("file", func(string) string { return "" })
		switch {
		case c.reads > 0 && reads != c.reads:
			t.Errorf("%v: %d reads, want %d (%v)", c.errno, reads, c.reads, err)
		case c.reads == 0 && (reads != 1 || err == nil):
			t.Errorf("%v: %d reads, %v, want the error at once", c.errno, reads, err)
		}
	}
}

// Guards against accepting a file that is empty or truncated at any byte.
func TestTruncatedFileIsRejected(t *testing.T) {
	complete := testkit.Config("127.0.0.1:1", nil, testkit.Settings(nil), nil)
	env := func(string) string { return "" }
	if _, err := Parse(complete, env); err != nil {
		t.Fatal(err)
	}
	for n := range len(complete) {
		if _, err := Parse(complete[:n], env); err == nil {
			t.Errorf("truncated after %d of %d bytes: accepted", n, len(complete))
		}
	}
}
