package rgstore

import (
	"strings"
	"testing"
)

// TestMalformedListing guards against one item of another writer that makes a listing undecodable, and against a listing that is not
// one and counts as empty.
func TestMalformedListing(t *testing.T) {
	const sound = `{"key":"a","value":{"x":[1]},"version":7}`
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	tests := map[string]struct {
		raw         string
		wantItems   int
		wantOdd     int
		wantKey     string
		wantVersion uint64
		wantErr     bool
	}{
		"sound": {raw: `{"items":[` + sound + `],"version":9}`, wantItems: 1, wantVersion: 9},
		"empty": {raw: `{"items":[],"version":9}`, wantVersion: 9},
		"null":  {raw: `{"items":null,"version":9}`, wantVersion: 9},
		"value deeply nested": {
			raw:       listing(`{"key":"b","value":`+nested+`,"version":8}`, sound),
			wantItems: 1, wantOdd: 1, wantKey: "b", wantVersion: 9,
		},
		"key after the value": {
			raw:       listing(sound, `{"value":`+nested+`,"version":8,"key":"b"}`),
			wantItems: 1, wantOdd: 1, wantKey: "b", wantVersion: 9,
		},
		"other member nested": {raw: `{"other":` + nested + `,"items":[` + sound + `],"version":9}`, wantItems: 1, wantVersion: 9},
		"version negative": {
			raw:       listing(sound, `{"key":"b","value":1,"version":-8}`),
			wantItems: 1, wantOdd: 1, wantKey: "b", wantVersion: 9,
		},
		"version out of range": {
			raw:       listing(`{"key":"b","version":36893488147419103232}`, sound),
			wantItems: 1, wantOdd: 1, wantKey: "b", wantVersion: 9,
		},
		"key a number":         {raw: listing(`{"key":7,"version":8}`, sound), wantItems: 1, wantOdd: 1, wantVersion: 9},
		"item null":            {raw: listing(`null`, sound), wantItems: 1, wantOdd: 1, wantVersion: 9},
		"item an array":        {raw: listing(sound, `[[]]`), wantItems: 1, wantOdd: 1, wantVersion: 9},
		"not JSON":             {raw: `{`, wantErr: true},
		"cut off":              {raw: `{"items":[` + sound + `,{"key":"b"`, wantErr: true},
		"an array":             {raw: `[]`, wantErr: true},
		"items an object":      {raw: `{"items":{},"version":9}`, wantErr: true},
		"version of the store": {raw: `{"items":[` + sound + `],"version":"9"}`, wantErr: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			lis, err := decodeListing([]byte(tc.raw))
			if (err != nil) != tc.wantErr {
				t.Fatalf("error %v", err)
			}
			if len(lis.Items) != tc.wantItems || len(lis.Malformed) != tc.wantOdd || lis.Version != tc.wantVersion {
				t.Errorf("%d items, %d malformed, version %d", len(lis.Items), len(lis.Malformed), lis.Version)
			}
			if tc.wantOdd > 0 && (lis.Malformed[0].Key != tc.wantKey || lis.Malformed[0].Err == nil) {
				t.Errorf("malformed item %q: %v", lis.Malformed[0].Key, lis.Malformed[0].Err)
			}
		})
	}
}

func listing(itms ...string) string { return `{"items":[` + strings.Join(itms, ",") + `],"version":9}` }
