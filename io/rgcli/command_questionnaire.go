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
	// QuestionnaireCommand asks for answers or checks them.
	QuestionnaireCommand struct {
		Check string `arg:"--check" help:"check this answers file instead of asking"`
		File  string `arg:"positional" help:"answers file to write"`
	}

	// asker asks questions on a terminal.
	asker struct {
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
		say(out, "%s: answers of team %s about %d kinds are right", cmd.Check, ans.Team, len(ans.Kinds))
		return nil
	}
	ask := asker{lines: bufio.NewScanner(in), out: out}
	ans, err := ask.all()
	if err != nil {
		return err
	}
	// The file is written even if answers contradict each other, so that nothing has to be typed again.
	raw, err := rganswers.FormatAnswers(ans)
	if err != nil {
		return err
	}
	if err := writeNew(cmd.File, raw); err != nil {
		return err
	}
	say(out, "written to %s", cmd.File)
	if prs := rgconfig.Check(ans); len(prs) > 0 {
		return prs
	}
	return nil
}

// writeNew refuses to replace a file.
func writeNew(path string, raw []byte) error {
	fil, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return errors.Annotate(err, "create answers file")
	}
	_, err = fil.Write(raw)
	if clo := fil.Close(); err == nil {
		err = clo
	}
	return errors.Annotatef(err, "write %s", path)
}

func (ask asker) all() (rgconfig.Answers, error) {
	var ans rgconfig.Answers
	for _, qus := range rgconfig.TeamQuestions {
		if err := ask.one(qus, func(txt string) error { return rgconfig.SetTeamAnswer(&ans, qus.Name, txt) }); err != nil {
			return ans, err
		}
	}
	for more := true; more; {
		var ka rgconfig.KindAnswers
		for _, qus := range rgconfig.KindQuestions {
			if err := ask.one(qus, func(txt string) error { return rgconfig.SetKindAnswer(&ka, qus.Name, txt) }); err != nil {
				return ans, err
			}
		}
		ans.Kinds = append(ans.Kinds, ka)
		say(ask.out, "Another kind of work (yes, no)?")
		more = ask.lines.Scan() && strings.HasPrefix(strings.TrimSpace(ask.lines.Text()), "y")
	}
	return ans, nil
}

// one repeats a question until its answer can be read.
func (ask asker) one(qus rgconfig.Question, set func(txt string) error) error {
	for {
		say(ask.out, "%s", qus.Text)
		if !ask.lines.Scan() {
			return errors.BadRequestf("input ended at question %q", qus.Name)
		}
		err := set(strings.TrimSpace(ask.lines.Text()))
		if err == nil {
			return nil
		}
		say(ask.out, "%v", err)
	}
}
