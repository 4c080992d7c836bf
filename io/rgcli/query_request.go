package rgcli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxLogLine bounds a line of a log; longer ones end the reading of a file with an error.
const maxLogLine = 1 << 20

type (
	// ExplainRequestQuery prints what the logs of all processes say about a request.
	ExplainRequestQuery struct {
		ID    string   `arg:"positional,required" help:"id of the job, as its caller sent it"`
		Files []string `arg:"positional,required" help:"logs of entries and sidecars"`
	}

	// logLine is a line of a log with the parts that put it in order.
	logLine struct {
		Time    time.Time `json:"time"`
		Message string    `json:"message"`
		Job     string    `json:"job"`
		file    string
		text    string
	}
)

func (qry *ExplainRequestQuery) run(out io.Writer) error {
	var all []logLine
	for _, nam := range qry.Files {
		lins, err := readLog(nam, qry.ID)
		if err != nil {
			return err
		}
		all = append(all, lins...)
	}
	if len(all) == 0 {
		return errors.NotFoundf("request %q in %d logs; requests that succeed are counted only", qry.ID, len(qry.Files))
	}
	slices.SortStableFunc(all, func(one, two logLine) int { return one.Time.Compare(two.Time) })
	for _, lin := range all {
		age := lin.Time.Sub(all[0].Time).Round(100 * time.Microsecond)
		if _, err := fmt.Fprintf(out, "%10s  %s  %s\n            %s\n", age, lin.file, lin.Message, lin.text); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// readLog returns the lines about the job. Text before the first brace of a line, such as that of a log collector, is
// passed over, and so are lines that are no JSON.
func readLog(nam, job string) ([]logLine, error) {
	fil, err := os.Open(nam)
	if err != nil {
		return nil, errors.Annotate(err, "read log")
	}
	// Nothing was written that closing could lose.
	defer func() { _ = fil.Close() }()
	var lins []logLine
	scn := bufio.NewScanner(fil)
	scn.Buffer(nil, maxLogLine)
	for scn.Scan() {
		at := strings.IndexByte(scn.Text(), '{')
		if at < 0 || !strings.Contains(scn.Text(), job) {
			continue
		}
		lin := logLine{file: strings.Join(append(strings.Fields(scn.Text()[:at]), nam), " "), text: scn.Text()[at:]}
		if err := json.Unmarshal([]byte(lin.text), &lin); err == nil && lin.Job == job {
			lins = append(lins, lin)
		}
	}
	return lins, errors.Annotatef(scn.Err(), "read log %s", nam)
}
