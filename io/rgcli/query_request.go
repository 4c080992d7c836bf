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

// maxLogLineBytes is the length limit of a log line. Reading a file fails at a longer line.
const maxLogLineBytes = 1 << 20

type (
	// ExplainRequestQuery prints the lines about a job from the logs of several processes, ordered by time.
	ExplainRequestQuery struct {
		ID    string   `arg:"positional,required" help:"id of the job, as its caller sent it"`
		Files []string `arg:"positional,required" help:"logs of entries and sidecars"`
	}

	// logLine is a log line with the fields by which lines are selected and sorted.
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
		return errors.NotFoundf("job %q in %d logs; successful jobs are counted but not logged", qry.ID, len(qry.Files))
	}
	slices.SortStableFunc(all, func(one, two logLine) int { return one.Time.Compare(two.Time) })
	for _, lin := range all {
		elapsed := lin.Time.Sub(all[0].Time).Round(100 * time.Microsecond)
		if _, err := fmt.Fprintf(out, "%10s  %s  %s\n            %s\n", elapsed, lin.file, lin.Message, lin.text); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// readLog returns the lines about the job. The text before the first brace, such as the prefix of a log collector, is not
// parsed, and lines that are not JSON are skipped.
func readLog(nam, job string) ([]logLine, error) {
	fil, err := os.Open(nam)
	if err != nil {
		return nil, errors.Annotate(err, "read log")
	}
	// The file was only read, so an error on close loses nothing.
	defer func() { _ = fil.Close() }()
	var lins []logLine
	scn := bufio.NewScanner(fil)
	scn.Buffer(nil, maxLogLineBytes)
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
