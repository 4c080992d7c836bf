// Package rganswers reads and writes files of answers and configurations: JSON with comments.
package rganswers

import (
	"io"
	"os"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"ragwortgap/core/rgconfig"
	"ragwortgap/core/rgmodel"
)

// maxFileBytes is the largest value that the store takes.
const maxFileBytes = 1 << 20

// ReadAnswers reads a file of answers. It fails with errors.NotValid when the file is not one, and with
// rgconfig.Problems when answers are wrong.
func ReadAnswers(path string) (rgconfig.Answers, error) {
	raw, err := read(path)
	if err != nil {
		return rgconfig.Answers{}, err
	}
	return parseAnswers(path, raw)
}

// ReadConfig reads a file of answers and generates the configuration, or reads a file that holds a configuration,
// which is recognised by its member "weight". It fails like ReadAnswers.
func ReadConfig(path string) (rgmodel.TeamConfig, error) {
	raw, err := read(path)
	if err != nil {
		return rgmodel.TeamConfig{}, err
	}
	var mbs map[string]jsontext.Value
	if err := json.Unmarshal(raw, &mbs); err != nil {
		return rgmodel.TeamConfig{}, notValid(path, err)
	}
	if _, ok := mbs["weight"]; !ok {
		ans, err := parseAnswers(path, raw)
		if err != nil {
			return rgmodel.TeamConfig{}, err
		}
		return rgconfig.Generate(ans)
	}
	var tc rgmodel.TeamConfig
	if err := json.Unmarshal(raw, &tc, json.RejectUnknownMembers(true)); err != nil {
		return rgmodel.TeamConfig{}, notValid(path, err)
	}
	if prs := rgconfig.CheckConfig(tc); len(prs) > 0 {
		return rgmodel.TeamConfig{}, prs
	}
	return tc, nil
}

func parseAnswers(path string, raw []byte) (rgconfig.Answers, error) {
	var ans rgconfig.Answers
	if err := json.Unmarshal(raw, &ans, json.RejectUnknownMembers(true)); err != nil {
		return rgconfig.Answers{}, notValid(path, err)
	}
	if prs := rgconfig.Check(ans); len(prs) > 0 {
		return rgconfig.Answers{}, prs
	}
	return ans, nil
}

func read(path string) ([]byte, error) {
	fil, err := os.Open(path)
	if err != nil {
		return nil, errors.Annotate(err, "open answers")
	}
	// A file that was only read loses nothing when closing fails.
	defer func() { _ = fil.Close() }()
	raw, err := io.ReadAll(io.LimitReader(fil, maxFileBytes+1))
	if err != nil {
		return nil, errors.Annotatef(err, "read %s", path)
	}
	if len(raw) > maxFileBytes {
		return nil, errors.NotValidf("file %s of more than %d bytes", path, maxFileBytes)
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return nil, notValid(path, err)
	}
	return std, nil
}

func notValid(path string, err error) error {
	return errors.NewNotValid(err, "file "+path)
}
