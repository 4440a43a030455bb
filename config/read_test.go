package config

import (
	"os"
	"syscall"
	"testing"

	"onyxsail/internal/testkit"
)

// A file that can't be read for a moment, for want of a descriptor or as its disk fails, is
// read anew: a start must not end, nor a move of discovery be lost, for that. One that is
// not there, or is wrong, is told at once.
func TestFileThatCannotBeReadForAMoment(t *testing.T) {
	whole := readFile
	t.Cleanup(func() { readFile = whole })
	for _, c := range []struct {
		errno syscall.Errno
		reads int // of which the last succeeds
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

// A file that is empty or cut short at any byte is turned down whole.
func TestFileCutShort(t *testing.T) {
	whole := testkit.Config("127.0.0.1:1", nil, testkit.Settings(nil), nil)
	env := func(string) string { return "" }
	if _, err := Parse(whole, env); err != nil {
		t.Fatal(err)
	}
	for n := range len(whole) {
		if _, err := Parse(whole[:n], env); err == nil {
			t.Errorf("cut off after %d of %d bytes: taken", n, len(whole))
		}
	}
}
