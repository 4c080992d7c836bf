// Package rganswers reads and formats the files of answers and configurations, which are JSON with comments.
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

// maxFileBytes is the size limit of a value in the store.
const maxFileBytes = 1 << 20

// ReadAnswers reads a file of answers. It fails with errors.NotValid if the file cannot be decoded, and with
// rgconfig.Problems if answers are invalid.
func ReadAnswers(path string) (rgconfig.Answers, error) {
	raw, err := readFile(path)
	if err != nil {
		return rgconfig.Answers{}, err
	}
	return parseAnswers(path, raw)
}

// ReadConfig reads a configuration from a file, or generates it from a file of answers. A file is treated as a
// configuration if it has the member "weight". The errors are the same as for ReadAnswers.
func ReadConfig(path string) (rgmodel.TeamConfig, error) {
	raw, err := readFile(path)
	if err != nil {
		return rgmodel.TeamConfig{}, err
	}
	var mbs map[string]jsontext.Value
	if err := json.Unmarshal(raw, &mbs); err != nil {
		return rgmodel.TeamConfig{}, newNotValid(path, err)
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
		return rgmodel.TeamConfig{}, newNotValid(path, err)
	}
	if prs := rgconfig.CheckConfig(tc); len(prs) > 0 {
		return rgmodel.TeamConfig{}, prs
	}
	return tc, nil
}

func parseAnswers(path string, raw []byte) (rgconfig.Answers, error) {
	var ans rgconfig.Answers
	if err := json.Unmarshal(raw, &ans, json.RejectUnknownMembers(true)); err != nil {
		return rgconfig.Answers{}, newNotValid(path, err)
	}
	if prs := rgconfig.Check(ans); len(prs) > 0 {
		return rgconfig.Answers{}, prs
	}
	return ans, nil
}

func readFile(path string) ([]byte, error) {
	fil, err := os.Open(path)
	if err != nil {
		return nil, errors.Annotate(err, "open file")
	}
	// The file was only read, so an error on close loses nothing.
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
		return nil, newNotValid(path, err)
	}
	return std, nil
}

func newNotValid(path string, err error) error {
	return errors.NewNotValid(err, "file "+path)
}
