package rgapi

import (
	"bytes"
	"reflect"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/juju/errors"

	"ragwortgap/core/rgmodel"
)

// maxValueBytes bounds how much of a wrong value is repeated in a Problem.
const maxValueBytes = 64

// wants names the JSON values that fit a field.
var wants = map[reflect.Kind]string{
	reflect.String:  "need a string",
	reflect.Struct:  "need an object",
	reflect.Slice:   "need an array",
	reflect.Float64: "need a number",
	reflect.Int64:   "need an integer",
	reflect.Int:     "need an integer",
}

// decodeProblem says which part of the body is not the JSON that is expected.
func decodeProblem(raw []byte, err error) *Problem {
	var sem *json.SemanticError
	var syn *jsontext.SyntacticError
	switch {
	case errors.As(err, &sem):
		rsn := wants[sem.GoType.Kind()]
		if sem.Err != nil {
			rsn = sem.Err.Error()
		}
		return wrong(field(sem.JSONPointer), valueAt(raw, sem.ByteOffset), rsn)
	case errors.As(err, &syn):
		return wrong(field(syn.JSONPointer), valueAt(raw, syn.ByteOffset), syn.Err.Error())
	default:
		return wrong("body", valueAt(raw, 0), err.Error())
	}
}

func field(ptr jsontext.Pointer) string {
	if ptr == "" {
		return "body"
	}
	return strings.TrimPrefix(string(ptr), "/")
}

// valueAt returns the JSON value at or after the offset, or the text there if it is not JSON. If the value is the name
// of a member, it returns the member's value.
func valueAt(raw []byte, off int64) string {
	rest := bytes.TrimLeft(raw[min(max(0, off), int64(len(raw))):], ":, \t\r\n")
	dec := jsontext.NewDecoder(bytes.NewReader(rest), jsontext.AllowDuplicateNames(true))
	val, err := dec.ReadValue()
	if err != nil {
		return string(rest)
	}
	if after := bytes.TrimLeft(rest[dec.InputOffset():], " \t\r\n"); bytes.HasPrefix(after, []byte(":")) {
		return valueAt(after, 1)
	}
	return string(val)
}

func wrong(fld, val, rsn string) *Problem {
	return &Problem{Field: shorten(fld), Value: shorten(val), Reason: rsn, Verdict: rgmodel.NotRun}
}

func shorten(txt string) string {
	if len(txt) > maxValueBytes {
		txt = txt[:maxValueBytes] + "..."
	}
	return strings.ToValidUTF8(txt, "\uFFFD")
}
