package rgcli

import (
	"fmt"
	"io"

	"github.com/juju/errors"

	"ragwortgap/core/rgconfig"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rganswers"
)

type (
	// GenerateQuery prints the configuration that is generated from answers.
	GenerateQuery struct {
		Answers string `arg:"positional,required" help:"answers file, JSON with comments"`
	}

	// ExplainQuery prints the settings that differ between two sets of answers, with the reasons.
	ExplainQuery struct {
		Before string `arg:"positional,required" help:"answers file before the change"`
		After  string `arg:"positional,required" help:"answers file after the change"`
	}
)

func (qry *GenerateQuery) run(out io.Writer) error {
	ans, err := rganswers.ReadAnswers(qry.Answers)
	if err != nil {
		return err
	}
	tc, err := rgconfig.Generate(ans)
	if err != nil {
		return err
	}
	return printConfig(out, tc)
}

func (qry *ExplainQuery) run(out io.Writer) error {
	bef, err := rganswers.ReadAnswers(qry.Before)
	if err != nil {
		return err
	}
	aft, err := rganswers.ReadAnswers(qry.After)
	if err != nil {
		return err
	}
	chs, err := rgconfig.CompareAnswers(bef, aft)
	if err != nil {
		return err
	}
	printChanges(out, chs)
	return nil
}

func printConfig(out io.Writer, tc rgmodel.TeamConfig) error {
	raw, err := rganswers.FormatConfig(tc)
	if err != nil {
		return err
	}
	_, err = out.Write(raw)
	return errors.Trace(err)
}

func printChanges(out io.Writer, chs []rgconfig.Change) {
	if len(chs) == 0 {
		printLine(out, "no setting changes")
	}
	for _, chg := range chs {
		printLine(out, "%s: %s -> %s (%s)", chg.Setting, chg.Before, chg.After, chg.Reason)
	}
}

func printLine(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}
