package query

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"onyxsail/broker"
)

// bodyWithText returns the body of a query whose text is a JSON string, escapes included.
func bodyWithText(text string) []byte {
	return []byte(`{"targets":[{"partition":3,"share":1}],"query":` + text + `}`)
}

// Guards against serving a text that no client asked for: a text with half a surrogate pair was
// passed on with U+FFFD in its place.
func TestTextWithHalfSurrogatePairIsRejected(t *testing.T) {
	for _, text := range []string{`"c41e\ud83d77d0"`, `"c41e\uDCC877d0"`, `"\ud83d"`, `"a\ud83d\ud83db"`, `"\\\ud83d"`, `"\udcc8\ud83d"`} {
		q := &broker.Query{}
		if err := DecodeBody(q, bodyWithText(text), 0); err == nil || !strings.Contains(err.Error(), "query") {
			t.Errorf("text %s: got text %q, error %v, want an error that names the field query", text, q.Text, err)
		}
	}
}

// Legal texts must be decoded unchanged, those too that look like half a surrogate pair or like
// what replaces one.
func TestLegalTextsAreDecodedUnchanged(t *testing.T) {
	for text, want := range map[string]string{
		`"c41e\ud83d\uDCC877d0"`: "c41e\U0001F4C877d0",
		`"\\ud83d"`:              `\ud83d`,
		`"\ufffd"`:               "\uFFFD",
		"\"\uFFFD\"":             "\uFFFD",
		`"a\u0000b"`:             "a\x00b",
		`""`:                     "",
	} {
		q := &broker.Query{}
		if err := DecodeBody(q, bodyWithText(text), 0); err != nil || string(q.Text) != want {
			t.Errorf("text %s: got %q, error %v, want %q", text, q.Text, err, want)
		}
	}
}

// Guards against bodies of which two readers take different texts: equal names, or names that
// differ in case only.
func TestAmbiguousBodyIsRejectedOrReadByExactNames(t *testing.T) {
	q := &broker.Query{}
	if err := DecodeBody(q, []byte(`{"targets":[{"partition":3,"share":1}],"query":"a","query":"b"}`), 0); err == nil {
		t.Errorf("two texts: got %q, want an error", q.Text)
	}
	q = &broker.Query{}
	if err := DecodeBody(q, []byte(`{"targets":[{"partition":3,"share":1}],"query":"a","QUERY":"b"}`), 0); err != nil || string(q.Text) != "a" {
		t.Errorf("texts under query and QUERY: got %q, error %v, want a", q.Text, err)
	}
}

// Shares that a client has rounded must add up to 1 after decoding: a query all of whose parts were
// answered counted as incomplete.
func TestRoundedSharesAddUpToOne(t *testing.T) {
	for _, share := range []string{"0.333", "0.3333333", "0.3335"} {
		var targets []string
		for i := range 3 {
			targets = append(targets, fmt.Sprintf(`{"partition":%d,"share":%s}`, i, share))
		}
		q := &broker.Query{}
		if err := DecodeBody(q, []byte(`{"targets":[`+strings.Join(targets, ",")+`],"query":"x"}`), 0); err != nil {
			t.Fatalf("three shares of %s: %v", share, err)
		}
		sum := 0.0
		for _, part := range q.Parts {
			sum += part.Share
		}
		if math.Abs(sum-1) > 1e-12 {
			t.Errorf("three shares of %s add up to %v, want 1", share, sum)
		}
	}
}

// BenchmarkDecodeBody decodes a query of ten parts.
func BenchmarkDecodeBody(b *testing.B) {
	var targets []string
	for i := range 10 {
		targets = append(targets, fmt.Sprintf(`{"partition":%d,"share":0.1,"est_us":9000,"route":"00ff00ff00ff00ff"}`, i))
	}
	body := []byte(`{"targets":[` + strings.Join(targets, ",") + `],"query":"c41e77d0"}`)
	b.ReportAllocs()
	for b.Loop() {
		if err := DecodeBody(&broker.Query{}, body, 0); err != nil {
			b.Fatal(err)
		}
	}
}
