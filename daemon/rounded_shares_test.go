package daemon_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
)

// Guards against a query failing although all of its parts are answered: the front accepts
// shares that add up to 0.999, as a client may round them to three digits, but the decision
// module and the core demand all but 0.0001 of the answer in a class that needs all parts.
func TestQueryWithRoundedSharesIsServed(t *testing.T) {
	forEachProtocol(t, 2, nil, func(t *testing.T, h *harness) {
		body := `{"targets":[{"partition":0,"share":0.333},{"partition":3,"share":0.333},{"partition":5,"share":0.333}],"query":"c41e77d0"}`
		req, err := http.NewRequest(http.MethodPost, "http://"+h.broker.Addr().String()+"/screen", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Request-Id", "rounded")
		req.Header.Set("X-Class", "screen")
		req.Header.Set("X-Deadline-Ms", "3000")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		var answer struct {
			Whole   bool
			Results []struct{ Partition int }
		}
		err = json.NewDecoder(res.Body).Decode(&answer)
		if res.StatusCode != http.StatusOK || err != nil || !answer.Whole || len(answer.Results) != 3 {
			t.Errorf("got status %d, %+v, %v after %d parts, want 200 with a whole answer of three parts", res.StatusCode, answer, err, len(h.allParts()))
		}
	})
}
