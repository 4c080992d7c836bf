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

// maxValueBytes is the length limit of the field name and of the value that a Problem repeats.
const maxValueBytes = 64

// expectedTypes holds the reason for a JSON value of the wrong type, by the Go kind of the field.
var expectedTypes = map[reflect.Kind]string{
	reflect.String:  "need a string",
	reflect.Struct:  "need an object",
	reflect.Slice:   "need an array",
	reflect.Float64: "need a number",
	reflect.Int64:   "need an integer",
	reflect.Int:     "need an integer",
}

// decodeProblem converts a decoding error to a problem that names the field and the value.
func decodeProblem(raw []byte, err error) *Problem {
	var sem *json.SemanticError
	var syn *jsontext.SyntacticError
	switch {
	case errors.As(err, &sem):
		rsn := expectedTypes[sem.GoType.Kind()]
		if sem.Err != nil {
			rsn = sem.Err.Error()
		}
		return newProblem(fieldName(sem.JSONPointer), valueAt(raw, sem.ByteOffset), rsn)
	case errors.As(err, &syn):
		return newProblem(fieldName(syn.JSONPointer), valueAt(raw, syn.ByteOffset), syn.Err.Error())
	default:
		return newProblem("body", valueAt(raw, 0), err.Error())
	}
}

func fieldName(ptr jsontext.Pointer) string {
	if ptr == "" {
		return "body"
	}
	return strings.TrimPrefix(string(ptr), "/")
}

// valueAt returns the JSON value at or after the offset, or the rest of the text if that is not valid JSON. At the name of
// an object member, it returns the value of the member.
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

func newProblem(fld, val, rsn string) *Problem {
	return &Problem{Field: truncate(fld), Value: truncate(val), Reason: rsn, Verdict: rgmodel.NotRun}
}

func truncate(txt string) string {
	if len(txt) > maxValueBytes {
		txt = txt[:maxValueBytes] + "..."
	}
	return strings.ToValidUTF8(txt, "\uFFFD")
}
