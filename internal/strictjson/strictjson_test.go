package strictjson

import (
	"errors"
	"strings"
	"testing"

	"github.com/go-json-experiment/json/jsontext"
)

type item struct {
	Share *float64 `json:"share"`
}

type message struct {
	Text  string `json:"query"`
	Items []item `json:"targets"`
}

// Guards against texts that two readers would understand differently: each must be an error that
// names the field.
func TestAmbiguousTextIsAnErrorThatNamesTheField(t *testing.T) {
	for _, c := range []struct{ name, data, field string }{
		{"high half of a pair", `{"query":"c41e\ud83d77d0"}`, "query"},
		{"low half of a pair", `{"query":"c41e\uDCC8"}`, "query"},
		{"two high halves", `{"query":"a\ud83d\ud83db"}`, "query"},
		{"half a pair at the end of the text", `{"query":"\ud83d"}`, "query"},
		{"invalid UTF-8", "{\"query\":\"a\xff\"}", "query"},
		{"a surrogate in UTF-8", "{\"query\":\"\xed\xa0\xbd\"}", "query"},
		{"half a pair in an ignored field", `{"query":"x","comment":"\ud83d"}`, "comment"},
		{"equal names", `{"query":"a","query":"b"}`, "query"},
		{"equal names, one escaped", `{"query":"a","quer\u0079":"b"}`, "query"},
		{"equal names in an ignored field", `{"query":"a","more":{"x":1,"x":2}}`, "more.x"},
		{"equal names in a list", `{"targets":[{"share":1},{"share":1,"share":0}]}`, "targets[1].share"},
		{"wrong type", `{"targets":[{"share":"1"}]}`, "targets[0].share"},
		{"cut off", `{"query":"a"`, ""},
		{"more behind it", `{"query":"a"}{}`, ""},
	} {
		var m message
		var wrong *Error
		if err := Unmarshal([]byte(c.data), &m); !errors.As(err, &wrong) || wrong.Field != c.field || !strings.HasPrefix(err.Error(), c.field) {
			t.Errorf("%s: got error %v, want one of field %q", c.name, err, c.field)
		}
	}
}

// Texts that look like half a surrogate pair, or like what replaces one, must be decoded unchanged.
func TestLegalTextIsDecodedUnchanged(t *testing.T) {
	for data, want := range map[string]string{
		`"\ud83d\udcc8"`:           "\U0001F4C8",
		`"\uD83D\uDCC8"`:           "\U0001F4C8",
		`"\uD83d\udCC8"`:           "\U0001F4C8",
		`"\\ud83d"`:                `\ud83d`,
		`"\\\ud83d\udcc8"`:         "\\\U0001F4C8",
		`"\ufffd"`:                 "\uFFFD",
		"\"\uFFFD\"":               "\uFFFD",
		`"\u0000a"`:                "\x00a",
		`"\uffff\u2028<&>"`:        "\uFFFF\u2028<&>",
		"\"\U0001F4C8\u0085\x7f\"": "\U0001F4C8\u0085\x7f",
	} {
		var m message
		if err := Unmarshal([]byte(`{"query":`+data+`}`), &m); err != nil || m.Text != want {
			t.Errorf("%s: got %q, error %v, want %q", data, m.Text, err, want)
		}
	}
}

// A field whose name differs in case only is another field, which is ignored.
func TestNamesMatchInExactCase(t *testing.T) {
	var m message
	if err := Unmarshal([]byte(`{"Query":"a","query":"b","QUERY":"c"}`), &m); err != nil || m.Text != "b" {
		t.Errorf("got %q, error %v, want b", m.Text, err)
	}
}

// Only the parts of a message that are no Unicode are lost to UnmarshalParts.
func TestPartsWithoutUnicodeAreToldApart(t *testing.T) {
	type parts struct {
		ID   Text           `json:"id"`
		More jsontext.Value `json:"more"`
	}
	for _, c := range []struct {
		data, id, field string
	}{
		{`{"id":"a\ud83d\udcc8","more":["\ud83d"],"else":"\ud83d"}`, "a\U0001F4C8", ""},
		{`{"id":null,"more":1}`, "", ""},
		{`{"id":"\ud83d"}`, "", "id"},
		{`{"id":7}`, "", "id"},
		{`{"id":"a","id":"b"}`, "a", "id"},
	} {
		var p parts
		var wrong *Error
		err := UnmarshalParts([]byte(c.data), &p)
		if string(p.ID) != c.id || (err != nil) != (c.field != "") {
			t.Errorf("%s: got id %q, error %v, want %q and an error of field %q", c.data, p.ID, err, c.id, c.field)
		}
		if err != nil && (!errors.As(err, &wrong) || wrong.Field != c.field) {
			t.Errorf("%s: got error %v, want one of field %q", c.data, err, c.field)
		}
		if c.field == "" && strings.Contains(c.data, "ud83d\"]") && string(p.More) != `["\ud83d"]` {
			t.Errorf("%s: got %s, want the list unchanged", c.data, p.More)
		}
	}
}

// A field that the value does not have is an error of UnmarshalKnown.
func TestUnknownFieldIsAnErrorOfUnmarshalKnown(t *testing.T) {
	var m message
	var wrong *Error
	if err := UnmarshalKnown([]byte(`{"query":"a","queri":"b"}`), &m); !errors.As(err, &wrong) || wrong.Field != "queri" {
		t.Errorf("got error %v, want one of field queri", err)
	}
}
