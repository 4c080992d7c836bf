package rganswers

import (
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"ragwortgap/core/rgconfig"
	"ragwortgap/core/rgmodel"
)

// FormatAnswers returns the answers as JSON with the text of each question as a comment above its answer.
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
	return formatWithComments(ans, texts)
}

// FormatConfig returns the configuration as JSON with a comment above each setting that names the answer it derives from.
func FormatConfig(tc rgmodel.TeamConfig) ([]byte, error) {
	texts := map[string]string{}
	for name, src := range tc.Sources {
		texts[name] = "from the answer to " + src
	}
	// Sources are left out, because the comments contain the same information.
	tc.Sources = nil
	return formatWithComments(tc, texts)
}

// formatWithComments adds a comment above each member whose path is in texts. The path of an array element contains the
// value of its member "kind".
func formatWithComments(val any, texts map[string]string) ([]byte, error) {
	raw, err := json.Marshal(val)
	if err != nil {
		return nil, errors.Trace(err)
	}
	doc, err := hujson.Parse(raw)
	if err != nil {
		return nil, errors.Trace(err)
	}
	addComments(&doc, "", texts)
	doc.Format()
	return doc.Pack(), nil
}

func addComments(val *hujson.Value, path string, texts map[string]string) {
	switch node := val.Value.(type) {
	case *hujson.Object:
		for i := range node.Members {
			mem := &node.Members[i]
			name := path + literalText(mem.Name)
			mem.Name.BeforeExtra = hujson.Extra("\n")
			if txt := texts[name]; txt != "" {
				mem.Name.BeforeExtra = hujson.Extra("\n// " + txt + "\n")
			}
			addComments(&mem.Value, name+"/", texts)
		}
	case *hujson.Array:
		for i := range node.Elements {
			addComments(&node.Elements[i], path+kindName(node.Elements[i])+"/", texts)
		}
	}
}

func kindName(val hujson.Value) string {
	obj, ok := val.Value.(*hujson.Object)
	if !ok {
		return ""
	}
	for _, mem := range obj.Members {
		if literalText(mem.Name) == "kind" {
			return literalText(mem.Value)
		}
	}
	return ""
}

func literalText(val hujson.Value) string {
	lit, ok := val.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return strings.TrimSpace(lit.String())
}
