package rganswers

import (
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"ragwortgap/core/rgconfig"
	"ragwortgap/core/rgmodel"
)

// FormatAnswers returns the answers as JSON with the text of the question above each.
func FormatAnswers(ans rgconfig.Answers) ([]byte, error) {
	texts := map[string]string{}
	for _, qus := range rgconfig.TeamQuestions {
		texts[qus.Name] = qus.Text
	}
	for _, ka := range ans.Kinds {
		for _, qus := range rgconfig.KindQuestions {
			texts[rgconfig.QuestionKinds+"/"+ka.Kind+"/"+qus.Name] = qus.Text
		}
	}
	return annotate(ans, texts)
}

// FormatConfig returns the configuration as JSON with the answer that decides it above each setting.
func FormatConfig(tc rgmodel.TeamConfig) ([]byte, error) {
	texts := map[string]string{}
	for name, src := range tc.Sources {
		texts[name] = "from the answer to " + src
	}
	// The comments say the same.
	tc.Sources = nil
	return annotate(tc, texts)
}

// annotate puts a comment above each member whose path is in texts. Elements of an array go by their member "kind".
func annotate(val any, texts map[string]string) ([]byte, error) {
	raw, err := json.Marshal(val)
	if err != nil {
		return nil, errors.Trace(err)
	}
	doc, err := hujson.Parse(raw)
	if err != nil {
		return nil, errors.Trace(err)
	}
	comment(&doc, "", texts)
	doc.Format()
	return doc.Pack(), nil
}

func comment(val *hujson.Value, path string, texts map[string]string) {
	switch node := val.Value.(type) {
	case *hujson.Object:
		for i := range node.Members {
			mem := &node.Members[i]
			name := path + text(mem.Name)
			mem.Name.BeforeExtra = hujson.Extra("\n")
			if txt := texts[name]; txt != "" {
				mem.Name.BeforeExtra = hujson.Extra("\n// " + txt + "\n")
			}
			comment(&mem.Value, name+"/", texts)
		}
	case *hujson.Array:
		for i := range node.Elements {
			comment(&node.Elements[i], path+kindOf(node.Elements[i])+"/", texts)
		}
	}
}

func kindOf(val hujson.Value) string {
	obj, ok := val.Value.(*hujson.Object)
	if !ok {
		return ""
	}
	for _, mem := range obj.Members {
		if text(mem.Name) == "kind" {
			return text(mem.Value)
		}
	}
	return ""
}

func text(val hujson.Value) string {
	lit, ok := val.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return strings.TrimSpace(lit.String())
}
