package rgqueryapi

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"ragwortgap/core/rgburn"
	"ragwortgap/core/rgmodel"
)

// TestBurnPage guards against names of teams and kinds that are rendered as markup, against a plot that is not valid XML, and
// against a page or plot that lacks a flow.
func TestBurnPage(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		flows    []rgmodel.Flow
		want     []string
		forbid   []string
		texts    []string
		minPaths int
	}{
		"no jobs": {want: []string{"No job has ended"}, forbid: []string{"<table>"}, minPaths: 10},
		"plain names": {
			flows:    []rgmodel.Flow{{Team: "kitapDostu", Kind: "signUps"}, {Team: "zelenaSkola", Kind: "allocations"}},
			want:     []string{"<td>kitapDostu</td><td>signUps</td>", `class="over"`, "99.00 %"},
			texts:    []string{"kitapDostu/signUps", "zelenaSkola/allocations", "burn rate"},
			minPaths: 12,
		},
		"hostile names": {
			flows:    []rgmodel.Flow{{Team: "<script>alert(1)</script>", Kind: "a\n\x01\"'&\u202e\U0001F600"}},
			forbid:   []string{"<script"},
			minPaths: 10,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var sta rgburn.State
			for _, flo := range tc.flows {
				rgburn.CountJob(&sta, flo, rgburn.Good, now)
				rgburn.CountJob(&sta, flo, rgburn.Failed, now)
			}
			raw, err := renderBurn(newBurnReport("entry0", rgburn.Report(&sta, nil, now)))
			if err != nil {
				t.Fatal(err)
			}
			page := string(raw)
			for _, txt := range tc.want {
				if !strings.Contains(page, txt) {
					t.Errorf("page lacks %q", txt)
				}
			}
			for _, txt := range tc.forbid {
				if strings.Contains(page, txt) {
					t.Errorf("page contains %q", txt)
				}
			}
			paths, texts := readSVG(t, page)
			if paths < tc.minPaths {
				t.Errorf("plot has %d paths, want at least %d", paths, tc.minPaths)
			}
			for _, txt := range tc.texts {
				if !strings.Contains(texts, txt) {
					t.Errorf("plot lacks the text %q", txt)
				}
			}
		})
	}
}

// readSVG returns the number of paths in the plot of the page and its texts.
func readSVG(t *testing.T, page string) (int, string) {
	t.Helper()
	_, rest, _ := strings.Cut(page, "<svg")
	svg, _, found := strings.Cut(rest, "</svg>")
	if !found {
		t.Fatal("page has no svg element")
	}
	dec := xml.NewDecoder(strings.NewReader("<svg" + svg + "</svg>"))
	paths, texts := 0, ""
	for {
		tok, err := dec.Token()
		if errors.Is(err, io.EOF) {
			return paths, texts
		}
		if err != nil {
			t.Fatalf("svg: %v", err)
		}
		switch tok := tok.(type) {
		case xml.StartElement:
			if tok.Name.Local == "path" {
				paths++
			}
		case xml.CharData:
			texts += string(tok)
		}
	}
}
