package rgapi

import (
	"encoding/json"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ragwortgap/core/rgintake"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgserver"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// newIDAt returns a UUIDv7 with the given timestamp.
func newIDAt(at time.Time) string {
	const digits = "0123456789abcdef"
	ms := at.UnixMilli()
	hex := make([]byte, 12)
	for i := range hex {
		hex[i] = digits[ms>>(44-4*i)&15]
	}
	return string(hex[:8]) + "-" + string(hex[8:]) + "-7000-8000-000000000001"
}

// jobBody returns a valid job with the given tasks, followed by further members.
func jobBody(tasks string, members string) string {
	return `{"team":"kitapDostu","kind":"signUps","deadline":"2s","tasks":` + tasks + members + `}`
}

// TestDecodeJobRejects guards against accepting requests with invalid or unknown parts.
func TestDecodeJobRejects(t *testing.T) {
	withID := func(id string) string { return jobBody("[1]", `,"submissionId":"`+id+`"`) }
	tests := map[string]struct {
		body                 string
		field, value, reason string
	}{
		"empty":                   {"", "body", "", "unexpected EOF"},
		"not closed":              {`{"team":"a"`, "body", "", "unexpected EOF"},
		"an array":                {"[]", "body", "[]", "need an object"},
		"null":                    {"null", "team", "", nameRule},
		"text after the object":   {jobBody("[1]", "") + " {}", "body", "{}", "after top-level value"},
		"trailing comma":          {jobBody("[1,]", ""), "tasks", "]}", "invalid character"},
		"not UTF-8":               {"{\"team\":\"\xff\"}", "team", "\uFFFD", "invalid UTF-8"},
		"oversized":               {strings.Repeat(" ", MaxBodyBytes+1), "body", "8388609 bytes or more", "limit is 8388608 bytes"},
		"duplicate field":         {jobBody("[1]", `,"team":"other"`), "team", `"other"`, "duplicate"},
		"duplicate in a task":     {jobBody(`[{"a":1,"a":2}]`, ""), "tasks/0/a", "2", "duplicate"},
		"unknown field":           {jobBody("[1]", `,"prio":3`), "prio", "3", "unknown"},
		"unknown nested field":    {jobBody("[1]", `,"requires":{"disks":1}`), "requires/disks", "1", "unknown"},
		"name in wrong case":      {`{"Team":"a"}`, "Team", `"a"`, "unknown"},
		"number for a string":     {`{"team":5}`, "team", "5", "need a string"},
		"object for an array":     {jobBody("{}", ""), "tasks", "{}", "need an array"},
		"string for a number":     {jobBody("[1]", `,"requires":{"cores":"x"}`), "requires/cores", `"x"`, "need a number"},
		"fraction for an integer": {jobBody("[1]", `,"requires":{"accelerators":1.5}`), "requires/accelerators", "1.5", ""},
		"no team":                 {`{"kind":"signUps","deadline":"2s","tasks":[1]}`, "team", "", nameRule},
		"long team":               {`{"team":"` + strings.Repeat("a", 65) + `"}`, "team", strings.Repeat("a", 64) + "...", nameRule},
		"team with a slash":       {`{"team":"a/b"}`, "team", "a/b", nameRule},
		"team with a line feed":   {`{"team":"a\nb"}`, "team", "a\nb", nameRule},
		"no kind":                 {`{"team":"a","deadline":"2s","tasks":[1]}`, "kind", "", nameRule},
		"wrong urgency":           {jobBody("[1]", `,"urgency":"highest"`), "urgency", "highest", "need low, normal or high"},
		"no deadline":             {`{"team":"a","kind":"b","tasks":[1]}`, "deadline", "0s", "at most 30s"},
		"deadline of zero":        {`{"team":"a","kind":"b","deadline":"0s","tasks":[1]}`, "deadline", "0s", "more than 0s"},
		"deadline over the limit": {`{"team":"a","kind":"b","deadline":"30.001s","tasks":[1]}`, "deadline", "30.001s", "at most 30s"},
		"negative deadline":       {`{"deadline":"-1s"}`, "deadline", `"-1s"`, "negative duration"},
		"deadline without a unit": {`{"deadline":"2"}`, "deadline", `"2"`, "duration"},
		"deadline as a number":    {`{"deadline":2}`, "deadline", "2", "string"},
		"negative run time":       {jobBody("[1]", `,"runTime":"-1ms"`), "runTime", `"-1ms"`, "negative duration"},
		"0 tasks":                 {jobBody("[]", ""), "tasks", "0 tasks", "need 1 to 360"},
		"361 tasks":               {jobBody("[1"+strings.Repeat(",1", 360)+"]", ""), "tasks", "361 tasks", "need 1 to 360"},
		"large payload": {
			jobBody(`["`+strings.Repeat("a", MaxPayloadBytes)+`"]`, ""), "tasks/0", "65538 bytes", "limit is 65536 bytes",
		},
		"negative cores":        {jobBody("[1]", `,"requires":{"cores":-0.5}`), "requires/cores", "-0.5", "zero or more"},
		"negative memory":       {jobBody("[1]", `,"requires":{"memoryBytes":-1}`), "requires/memoryBytes", "-1", "zero or more"},
		"negative accelerators": {jobBody("[1]", `,"requires":{"accelerators":-2}`), "requires/accelerators", "-2", "zero or more"},
		"id that is not a UUID": {withID("seat-12"), "submissionId", "seat-12", "need a UUIDv7"},
		"id of version 4":       {withID("0b9b2d5e-7c3a-4f7e-9d5a-3f1f6a7b8c9d"), "submissionId", "0b9b2d5e", "need a UUIDv7"},
		"id in upper case":      {withID(strings.ToUpper(newIDAt(noon))), "submissionId", strings.ToUpper(newIDAt(noon)), "need a UUIDv7"},
		"id too far ahead": {
			withID(newIDAt(noon.Add(rgmodel.ClockSkewLimit + time.Millisecond))), "submissionId",
			newIDAt(noon.Add(rgmodel.ClockSkewLimit + time.Millisecond)), "more than 2s ahead",
		},
		"id too old": {
			withID(newIDAt(noon.Add(-rgmodel.MaxResubmissionWindow - time.Millisecond))), "submissionId",
			newIDAt(noon.Add(-rgmodel.MaxResubmissionWindow - time.Millisecond)), "older than the resubmission window of 10m0s",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			jb, prb := DecodeJob([]byte(tc.body), noon)
			if prb == nil {
				t.Fatalf("request was accepted as %+v", jb)
			}
			matches := prb.Field == tc.field && strings.HasPrefix(prb.Value, tc.value)
			if !matches || prb.Reason == "" || !strings.Contains(prb.Reason, tc.reason) {
				t.Errorf("got %+v, want field %q, value %q, reason %q", *prb, tc.field, tc.value, tc.reason)
			}
			if want := wantVerdict(name); prb.Verdict != want {
				t.Errorf("verdict %v, want %v", prb.Verdict, want)
			}
		})
	}
}

// wantVerdict returns MayHaveRun for an id that this entry may have accepted before, or another one whose clock is ahead, and for a
// body that was not read to its end.
func wantVerdict(name string) rgmodel.Verdict {
	switch name {
	case "id too old", "id too far ahead", "oversized":
		return rgmodel.MayHaveRun
	default:
		return rgmodel.NotRun
	}
}

// TestDecodeJobVerdict guards against "not run" for a request that is refused here, although an earlier request with its id may
// have been accepted.
func TestDecodeJobVerdict(t *testing.T) {
	id := `,"submissionId":"` + newIDAt(noon) + `"`
	noEntryAccepts := newIDAt(noon.Add(2*rgmodel.ClockSkewLimit + time.Millisecond))
	tests := map[string]struct {
		body string
		want rgmodel.Verdict
	}{
		"no deadline left":                {`{"team":"a","kind":"b","deadline":"0s","tasks":[1]` + id + `}`, rgmodel.MayHaveRun},
		"negative deadline":               {`{"deadline":"-1s"` + id + `}`, rgmodel.MayHaveRun},
		"negative cores":                  {jobBody("[1]", id+`,"requires":{"cores":-0.5}`), rgmodel.MayHaveRun},
		"wrong urgency":                   {jobBody("[1]", id+`,"urgency":"highest"`), rgmodel.MayHaveRun},
		"unknown field after the id":      {jobBody("[1]", id+`,"prio":3`), rgmodel.MayHaveRun},
		"unknown field before the id":     {jobBody("[1]", `,"prio":3`+id), rgmodel.MayHaveRun},
		"not closed":                      {`{"team":"a"` + id, rgmodel.MayHaveRun},
		"oversized":                       {jobBody("[1]", id) + strings.Repeat(" ", MaxBodyBytes), rgmodel.MayHaveRun},
		"no id":                           {`{"team":"a","kind":"b","deadline":"0s","tasks":[1]}`, rgmodel.NotRun},
		"invalid id":                      {`{"team":"a","kind":"b","deadline":"0s","tasks":[1],"submissionId":"seat-12"}`, rgmodel.NotRun},
		"id that no entry accepts so far": {jobBody("[1]", `,"submissionId":"`+noEntryAccepts+`"`), rgmodel.NotRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			jb, prb := DecodeJob([]byte(tc.body), noon)
			if prb == nil {
				t.Fatalf("request was accepted as %+v", jb)
			}
			if prb.Verdict != tc.want {
				t.Errorf("got %+v, want %v", *prb, tc.want)
			}
		})
	}
}

// failingReader returns an error after the text.
// TestRefuseBody guards against "not run" for a request whose id has not been read, and against a refusal that callers do not repeat.
func TestRefuseBody(t *testing.T) {
	tests := map[string]struct {
		err        error
		status     int
		retryAfter string
	}{
		"unreadable": {err: io.ErrUnexpectedEOF, status: 400},
		"too large":  {err: rgserver.ErrTooLarge, status: 400},
		"refused":    {err: rgserver.RefusedError{Cause: rgintake.CauseBudget}, status: 503, retryAfter: "1"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			rec := httptest.NewRecorder()
			RefuseBody(rec, tc.err)
			var prb Problem
			if err := json.Unmarshal(rec.Body.Bytes(), &prb); err != nil {
				t.Fatal(err)
			}
			if prb.Field != "body" || prb.Verdict != rgmodel.MayHaveRun {
				t.Errorf("got %+v, want a problem of the body with the verdict mayHaveRun", prb)
			}
			if got := rec.Header().Get("Retry-After"); rec.Code != tc.status || got != tc.retryAfter {
				t.Errorf("status %d and Retry-After %q, want %d and %q", rec.Code, got, tc.status, tc.retryAfter)
			}
		})
	}
}

// TestDecodeJobAccepts guards against off-by-one errors in limits, and against digests that differ for the same job.
func TestDecodeJobAccepts(t *testing.T) {
	tests := map[string]string{
		"1 task":           jobBody("[null]", ""),
		"360 tasks":        jobBody("[1"+strings.Repeat(",1", 359)+"]", ""),
		"longest deadline": `{"team":"a","kind":"b","deadline":"30s","tasks":[1]}`,
		"newest id":        jobBody("[1]", `,"submissionId":"`+newIDAt(noon.Add(rgmodel.ClockSkewLimit))+`"`),
		"oldest id":        jobBody("[1]", `,"submissionId":"`+newIDAt(noon.Add(-rgmodel.MaxResubmissionWindow))+`"`),
		"high urgency":     jobBody("[1]", `,"urgency":"high"`),
	}
	for name, txt := range tests {
		t.Run(name, func(t *testing.T) {
			jb, prb := DecodeJob([]byte(txt), noon)
			if prb != nil {
				t.Fatalf("refused: %+v", *prb)
			}
			again, _ := DecodeJob([]byte(strings.Replace(txt, "{", `{"requires":{},`, 1)), noon)
			if jb.Digest == 0 || again.Digest != jb.Digest {
				t.Errorf("digest %x, and %x for the same job in another JSON text", jb.Digest, again.Digest)
			}
		})
	}
}

// TestOversizedBodyVerdict guards against "not run" for a body above the limit whose id stands behind the part that was read.
func TestOversizedBodyVerdict(t *testing.T) {
	body := `{"team":"a","kind":"b","deadline":"1s",` + strings.Repeat(" ", MaxBodyBytes) +
		`"tasks":[1],"submissionId":"` + newIDAt(noon) + `"}`
	if _, prb := DecodeJob([]byte(body), noon); prb == nil || prb.Verdict != rgmodel.MayHaveRun {
		t.Errorf("got %+v, want a problem with the verdict mayHaveRun", prb)
	}
}

// TestTooManyTasks guards against decoding tasks that a job may not have, each of which takes many times the size of its JSON.
func TestTooManyTasks(t *testing.T) {
	raw := []byte(jobBody("[1"+strings.Repeat(",1", 9999)+"]", ""))
	_, prb := DecodeJob(raw, noon)
	if prb == nil || prb.Field != "tasks" || prb.Value != "362 tasks or more" || prb.Verdict != rgmodel.NotRun {
		t.Errorf("got %+v", prb)
	}
	var vals TaskValues
	if err := jsonv2.Unmarshal([]byte("[1"+strings.Repeat(",1", 9999)+"]"), &vals); err != nil || len(vals) != rgmodel.MaxTasks+2 {
		t.Errorf("%d tasks decoded, error %v", len(vals), err)
	}
}
