// Package strictjson decodes JSON that other programs have written, as RFC 7493 (I-JSON) demands:
// text must be Unicode, so neither invalid UTF-8 nor half of a surrogate pair, and the names in an
// object must differ. Names of fields match in their exact case. The decoder of encoding/json
// replaces what is no Unicode with U+FFFD, takes the last of several equal names and ignores case,
// so two readers of one message could see different values.
package strictjson

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// maxErrorBytes bounds the text of an error, which quotes names and numbers of the message.
const maxErrorBytes = 256

// Error reports what is wrong with a field of a JSON text.
type Error struct {
	Field string // as in "targets[3].share"; empty: the text as a whole
	Err   error
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Err.Error()
	if e.Field != "" {
		text = e.Field + ": " + text
	}
	if len(text) > maxErrorBytes {
		text = strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
	}
	return text
}

// Unwrap returns what is wrong.
func (e *Error) Unwrap() error { return e.Err }

// Unmarshal decodes a JSON text into the value that v points to. Fields that v does not have are
// ignored. The error is an *Error; v may be partly set then.
func Unmarshal(data []byte, v any) error { return fieldError(json.Unmarshal(data, v)) }

// UnmarshalKnown is like Unmarshal, but a field that v does not have is an error.
func UnmarshalKnown(data []byte, v any) error {
	return fieldError(json.Unmarshal(data, v, json.RejectUnknownMembers(true)))
}

// UnmarshalParts is like Unmarshal, but text that is no Unicode is an error only in strings of type
// Text, and a jsontext.Value holds it unchanged: a message whose other parts can be used is not
// rejected as a whole.
func UnmarshalParts(data []byte, v any) error {
	return fieldError(json.Unmarshal(data, v, jsontext.AllowInvalidUTF8(true)))
}

// Check returns an error unless data is one JSON text as RFC 7493 demands.
func Check(data []byte) error {
	var value jsontext.Value
	return Unmarshal(data, &value)
}

// Text is a string that is Unicode, however its message is decoded; null leaves it empty.
type Text string

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (t *Text) UnmarshalJSONFrom(decoder *jsontext.Decoder) error {
	raw, err := decoder.ReadValue()
	if err != nil {
		return err
	}
	if raw.Kind() == jsontext.KindNull {
		*t = ""
		return nil
	}
	if raw.Kind() != jsontext.KindString {
		return fmt.Errorf("got a %v, want a string", raw.Kind())
	}
	var buffer [64]byte // most names fit, and cost one allocation then
	unquoted, err := jsontext.AppendUnquote(buffer[:0], raw)
	if err != nil {
		return fmt.Errorf("no Unicode text: %v", err) // not wrapped: it would hide the field, which the caller of this method adds
	}
	*t = Text(unquoted)
	return nil
}

// fieldError converts an error of the json packages to one that names the field.
func fieldError(err error) error {
	var syntactic *jsontext.SyntacticError
	var semantic *json.SemanticError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &syntactic):
		return &Error{Field: fieldPath(syntactic.JSONPointer), Err: syntactic.Err}
	case errors.As(err, &semantic):
		pointer := semantic.JSONPointer
		withoutPlace := *semantic // its text would repeat the pointer
		withoutPlace.JSONPointer, withoutPlace.ByteOffset = "", 0
		return &Error{Field: fieldPath(pointer), Err: &withoutPlace}
	}
	return &Error{Err: err}
}

// fieldPath converts a JSON pointer like /targets/3/share to the form targets[3].share.
func fieldPath(pointer jsontext.Pointer) string {
	var path strings.Builder
	for token := range pointer.Tokens() {
		switch _, err := strconv.ParseUint(token, 10, 64); {
		case err == nil:
			path.WriteString("[" + token + "]")
		case path.Len() > 0:
			path.WriteString("." + token)
		default:
			path.WriteString(token)
		}
	}
	return path.String()
}
