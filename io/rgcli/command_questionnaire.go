package rgcli

import (
	"bufio"
	"context"
	"io"
	"os"
	"strings"

	"github.com/juju/errors"

	"ragwortgap/core/rgconfig"
	"ragwortgap/io/rganswers"
)

type (
	// QuestionnaireCommand asks a team's questions and writes the answers to a file, or checks an answers file.
	QuestionnaireCommand struct {
		Check string `arg:"--check" help:"check this answers file instead of asking"`
		File  string `arg:"positional" help:"answers file to write"`
	}

	// prompter prints questions and reads the answers line by line.
	prompter struct {
		lines *bufio.Scanner
		out   io.Writer
	}
)

func (cmd *QuestionnaireCommand) run(_ context.Context, in io.Reader, out io.Writer) error {
	switch {
	case (cmd.Check == "") == (cmd.File == ""):
		return errors.BadRequestf("need either a file to write or --check")
	case cmd.Check != "":
		ans, err := rganswers.ReadAnswers(cmd.Check)
		if err != nil {
			return err
		}
		printLine(out, "%s: answers of team %s about %d kinds are right", cmd.Check, ans.Team, len(ans.Kinds))
		return nil
	}
	pmt := prompter{lines: bufio.NewScanner(in), out: out}
	ans, err := pmt.askAll()
	if err != nil {
		return err
	}
	// The file is written even if answers contradict each other, so the user need not enter them again.
	raw, err := rganswers.FormatAnswers(ans)
	if err != nil {
		return err
	}
	if err := writeNewFile(cmd.File, raw); err != nil {
		return err
	}
	printLine(out, "written to %s", cmd.File)
	if prs := rgconfig.Check(ans); len(prs) > 0 {
		return prs
	}
	return nil
}

// writeNewFile creates a file and fails if it already exists.
func writeNewFile(path string, raw []byte) error {
	fil, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return errors.Annotate(err, "create answers file")
	}
	_, err = fil.Write(raw)
	if closeErr := fil.Close(); err == nil {
		err = closeErr
	}
	return errors.Annotatef(err, "write %s", path)
}

func (pmt prompter) askAll() (rgconfig.Answers, error) {
	var ans rgconfig.Answers
	for _, qus := range rgconfig.TeamQuestions {
		if err := pmt.askOne(qus, func(txt string) error { return rgconfig.SetTeamAnswer(&ans, qus.Name, txt) }); err != nil {
			return ans, err
		}
	}
	for more := true; more; {
		var ka rgconfig.KindAnswers
		for _, qus := range rgconfig.KindQuestions {
			if err := pmt.askOne(qus, func(txt string) error { return rgconfig.SetKindAnswer(&ka, qus.Name, txt) }); err != nil {
				return ans, err
			}
		}
		ans.Kinds = append(ans.Kinds, ka)
		printLine(pmt.out, "Another kind of work (yes, no)?")
		more = pmt.lines.Scan() && strings.HasPrefix(strings.TrimSpace(pmt.lines.Text()), "y")
	}
	return ans, nil
}

// askOne repeats a question until the answer is valid.
func (pmt prompter) askOne(qus rgconfig.Question, set func(txt string) error) error {
	for {
		printLine(pmt.out, "%s", qus.Text)
		if !pmt.lines.Scan() {
			return errors.BadRequestf("input ended at question %q", qus.Name)
		}
		err := set(strings.TrimSpace(pmt.lines.Text()))
		if err == nil {
			return nil
		}
		printLine(pmt.out, "%v", err)
	}
}
