package daemon

import (
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Guards against a filter that is read as another one: half a surrogate pair was replaced, and the
// last of two equal fields counted.
func TestAmbiguousFiltersAreRejected(t *testing.T) {
	for _, body := range []string{`{"class":"a\ud83d"}`, `{"class":"a","class":"b"}`, `{"Class":"a"}`, `{"limit":1}{}`} {
		if filter, err := ParseFilter([]byte(body)); status.Code(err) != codes.InvalidArgument {
			t.Errorf("%s: got %+v, error %v, want InvalidArgument", body, filter, err)
		}
	}
	filter, err := ParseFilter([]byte(`{"class":"a","since":"2026-12-04T19:00:00Z","reason":"failed","limit":7}`))
	if err != nil || filter.Class != "a" || filter.Since.IsZero() || filter.Reasons == 0 || filter.Limit != 7 {
		t.Errorf("got %+v, error %v, want what the filter says", filter, err)
	}
}
